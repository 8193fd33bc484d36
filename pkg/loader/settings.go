// Package loader reads the YAML settings of the daemons and checks them whole before anything starts.
package loader

import "time"

// Settings are the settings of one process. Which fields are required depends on the role.
type Settings struct {
	// Name identifies the process. It is the name of its VM in the platform's VM list, by which the others know it.
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Callers, Operators and Peers are the addresses that an entry listens on, such as 127.0.0.1:8080. An agent listens
	// on Peers and, for its health routes, on Operators.
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
	// Store and Platform are the base URLs of the key-value service and of the platform's interfaces.
	Store    string `yaml:"store"`
	Platform string `yaml:"platform"`
	// Weights is the base URL of the weight store, from which agents fetch weights.
	Weights string `yaml:"weights"`
	// Pepper is the file with the secret under which keys are hashed.
	Pepper string `yaml:"pepper"`
	// Operator is the file with the bearer token that operators present.
	Operator string `yaml:"operator"`
	// Data is the folder for bulk data; empty means that the VM has no disk.
	Data string `yaml:"data"`
	// Log is the lowest level that is logged: debug, info, warn or error.
	Log string `yaml:"log"`
	// Period is the time between two probes of a peer; zero means DefaultPeriod.
	Period Duration `yaml:"period"`
	// KeyGrace is how long keys work after the last proof that no withdrawal was missed; zero means 15 minutes.
	KeyGrace Duration `yaml:"keygrace"`
	// Linger is how long a stopping entry answers that it is not ready before it takes no new requests, so that the
	// balancer takes it out first; zero means two periods.
	Linger Duration `yaml:"linger"`
	// Workers bounds the requests that run at a time.
	Workers int      `yaml:"workers"`
	TLS     TLS      `yaml:"tls"`
	Trace   Trace    `yaml:"trace"`
	Usage   Usage    `yaml:"usage"`
	Orders  Orders   `yaml:"orders"`
	Target  Target   `yaml:"target"`
	Standin *Standin `yaml:"standin"`
}

// MaxLinger bounds the linger of an entry. A stop takes at most 30 s as a whole, and open requests need the rest.
const MaxLinger = 20 * time.Second

// DefaultPeriod is the time between two probes when the settings give none.
const DefaultPeriod = time.Second

// TLS holds the files for mutual TLS between the system's own processes. Plain must be set to do without.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
	Plain       bool   `yaml:"plain"`
}

// Trace chooses where spans go.
type Trace struct {
	File string `yaml:"file"`
	OTLP string `yaml:"otlp"`
}

// Usage sets the timing of usage reports. It is the same at every entry; zero fields take the defaults.
type Usage struct {
	// Window is the length of a window, and Grace the time between its end and its closing.
	Window Duration `yaml:"window"`
	Grace  Duration `yaml:"grace"`
	// Flush is the time between two writes of an entry's counts.
	Flush Duration `yaml:"flush"`
}

// Orders sets how targets are planned and ordered. It is the same at every entry of a region; zero fields take the
// defaults.
type Orders struct {
	// Enabled lets the entry order targets. Without it plans are only shown.
	Enabled bool `yaml:"enabled"`
	// Fenced says that the platform refuses orders with an old fencing number.
	Fenced bool `yaml:"fenced"`
	// Period is the time between two plans.
	Period Duration `yaml:"period"`
	// Startup is the time that a target takes to start, Hold the time for which it must have been spare before it is
	// stopped, and Drain the time after which one that does not drain is reported.
	Startup Duration `yaml:"startup"`
	Hold    Duration `yaml:"hold"`
	Drain   Duration `yaml:"drain"`
	// Capacity is the number of attempts that keep a target just busy; Smallest the targets that the smallest team needs.
	Capacity int         `yaml:"capacity"`
	Smallest int         `yaml:"smallest"`
	Zones    []ZoneOrder `yaml:"zones"`
}

// ZoneOrder is the price of a target per hour in an availability zone, and the most targets of one service there.
type ZoneOrder struct {
	Name  string  `yaml:"name"`
	Price float64 `yaml:"price"`
	Limit int     `yaml:"limit"`
}

// Target describes the back end beside an agent.
type Target struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// Kind is model or plain.
	Kind string `yaml:"kind"`
	// Address is the base URL of the back end.
	Address string `yaml:"address"`
	// Concurrency bounds the attempts that run on the target at a time.
	Concurrency int `yaml:"concurrency"`
	// Fenced says that the back end refuses orders with an old fencing number.
	Fenced bool `yaml:"fenced"`
}

// Standin lists the stand-ins that one process serves.
type Standin struct {
	Store    string `yaml:"store"`
	Platform string `yaml:"platform"`
	// Weights is the address of the weight store and WeightRate its limit in bytes per second; zero is no limit.
	Weights    string          `yaml:"weights"`
	WeightRate float64         `yaml:"weightrate"`
	VMs        []VM            `yaml:"vms"`
	Engines    []StandinTarget `yaml:"engines"`
	Services   []StandinTarget `yaml:"services"`
}

// StandinTarget is a stand-in back end and the address that it listens on.
type StandinTarget struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
	// Token is the time that an engine takes for one token.
	Token Duration `yaml:"token"`
}

// VM is one row of the stand-in's VM list.
type VM struct {
	Name    string `yaml:"name"`
	Role    string `yaml:"role"`
	Zone    string `yaml:"zone"`
	Region  string `yaml:"region"`
	State   string `yaml:"state"`
	Address string `yaml:"address"`
	Service string `yaml:"service"`
	Target  string `yaml:"target"`
}
