// Package loader reads the YAML settings of the daemons and validates all of them before a daemon starts.
package loader

import "time"

// Settings are the settings of one process. Which fields are required depends on the role.
type Settings struct {
	// Name identifies the process to the other processes. It is the name of its VM in the platform's VM list.
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
	// Log is the minimum log level: debug, info, warn or error.
	Log string `yaml:"log"`
	// Period is the time between two probes of a peer; zero means DefaultPeriod.
	Period Duration `yaml:"period"`
	// KeyGrace is how long keys are accepted after the last confirmation that no key withdrawal was missed; zero means
	// 15 minutes.
	KeyGrace Duration `yaml:"keygrace"`
	// Linger is how long a stopping entry reports that it is not ready but still accepts requests, so that the load
	// balancer removes it first; zero means two periods.
	Linger Duration `yaml:"linger"`
	// Workers limits the number of requests that run concurrently.
	Workers int      `yaml:"workers"`
	TLS     TLS      `yaml:"tls"`
	Trace   Trace    `yaml:"trace"`
	Usage   Usage    `yaml:"usage"`
	Orders  Orders   `yaml:"orders"`
	Target  Target   `yaml:"target"`
	Standin *Standin `yaml:"standin"`
}

// MaxLinger is the maximum of Settings.Linger. A shutdown takes at most 30 s in total, and open requests need the
// remaining time to complete.
const MaxLinger = 20 * time.Second

// DefaultPeriod is the time between two probes of a peer if the settings leave it zero.
const DefaultPeriod = time.Second

// TLS holds the files for mutual TLS between the system's own processes. All three are required unless Plain is set,
// which disables TLS.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
	Plain       bool   `yaml:"plain"`
}

// Trace sets the destination of spans: the URL of an OTLP receiver or, if that is empty, a file.
type Trace struct {
	File string `yaml:"file"`
	OTLP string `yaml:"otlp"`
}

// Usage sets the timing of usage reports. It is the same at every entry; zero fields take the defaults.
type Usage struct {
	// Window is the length of a usage window, and Grace the time between its end and its closing.
	Window Duration `yaml:"window"`
	Grace  Duration `yaml:"grace"`
	// Flush is the interval at which an entry writes its counts.
	Flush Duration `yaml:"flush"`
}

// Orders sets how targets are planned and ordered. It is the same at every entry of a region; zero fields take the
// defaults.
type Orders struct {
	// Enabled lets the entry order targets. If it is false, plans are only shown.
	Enabled bool `yaml:"enabled"`
	// Fenced states that the platform refuses orders with an old fencing number.
	Fenced bool `yaml:"fenced"`
	// Period is the planning interval.
	Period Duration `yaml:"period"`
	// Startup is the time that a target takes to start, Hold how long a target must have been surplus before it is
	// stopped, and Drain the time after which a target that has not drained is reported.
	Startup Duration `yaml:"startup"`
	Hold    Duration `yaml:"hold"`
	Drain   Duration `yaml:"drain"`
	// Capacity is the number of concurrent attempts that fully use a target. Smallest is the number of targets that the
	// smallest team's service needs.
	Capacity int         `yaml:"capacity"`
	Smallest int         `yaml:"smallest"`
	Zones    []ZoneOrder `yaml:"zones"`
}

// ZoneOrder holds the hourly price of a target in an availability zone and the maximum number of targets of one
// service there.
type ZoneOrder struct {
	Name  string  `yaml:"name"`
	Price float64 `yaml:"price"`
	Limit int     `yaml:"limit"`
}

// Target describes the target of an agent and the back end that serves it.
type Target struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// Kind is model or plain.
	Kind string `yaml:"kind"`
	// Address is the base URL of the back end.
	Address string `yaml:"address"`
	// Release is the software version of the back end. An answer that breaks off goes on only at targets with the same one;
	// targets without one go on with each other's.
	Release string `yaml:"release"`
	// Concurrency limits the number of attempts that run on the target concurrently.
	Concurrency int `yaml:"concurrency"`
	// Fenced states that the back end refuses orders with an old fencing number.
	Fenced bool `yaml:"fenced"`
}

// Standin holds the settings of a process that serves stand-ins for the store, the platform, the weight store, engines
// and services.
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
	// Token is the time that an engine takes to generate one token.
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
