// Package demonstrator runs a whole deployment on loopback in one process and checks the guarantees of the service with
// a demo scenario of several steps. It also runs fleets of nodes of the relay tree for tests and benchmarks.
package demonstrator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/runner"
	"github.com/mimosalb/mimosalb/internal/standin/link"
	"github.com/mimosalb/mimosalb/internal/standin/platform"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// loopback is a listen address for which the system chooses a free port.
const loopback = "127.0.0.1:0"

// operatorFile and pepperFile are the names of the files with the operators' token and the pepper in the deployment's folder.
const (
	operatorFile = "operator"
	pepperFile   = "pepper"
)

// BackEnd is one back end of a deployment.
type BackEnd struct {
	Name    string
	Service string
	// Kind is model or plain.
	Kind   string
	Zone   string
	Region string
}

// Plan describes a deployment.
type Plan struct {
	BackEnds []BackEnd
	// Entries holds the location of each entry.
	Entries []Location
	// TokenTime is the time that a stand-in engine takes to generate one token.
	TokenTime time.Duration
	// Period is the time between two probes of a peer.
	Period time.Duration
	// Linger is how long a stopping entry still accepts requests after it reports that it is not ready; zero means two
	// periods.
	Linger time.Duration
	// Workers is the maximum number of concurrent requests at each entry; zero means the default.
	Workers int
	// Linked puts a stand-in for a network link between the entries and each agent.
	Linked bool
	// Usage sets the timing of usage reports.
	Usage loader.Usage
	// KeyGrace is how long API keys work after the last proof that the configuration is fresh; zero means the default.
	KeyGrace time.Duration
	// Orders sets how the entries order targets from the platform.
	Orders loader.Orders
	// TLS holds the files for mutual TLS between the processes; the zero value disables TLS.
	TLS loader.TLS
}

// tls returns the TLS settings of each process. The settings of a process must disable TLS explicitly.
func (p Plan) tls() loader.TLS {
	if p.TLS == (loader.TLS{}) {
		return loader.TLS{Plain: true}
	}
	return p.TLS
}

// Location is an availability zone and the region that contains it.
type Location struct {
	Zone   string
	Region string
}

// Deployment is a running deployment on loopback.
type Deployment struct {
	Standin *runner.Standin
	Agents  map[string]*runner.Agent
	Entries []*runner.Entry
	// OperatorToken is the bearer token for the operators' listener.
	OperatorToken string
	// Links holds the link in front of each agent by the name of the agent's back end. It is empty unless Plan.Linked is
	// set.
	Links map[string]*link.Link
	// Usage is the timing of usage reports.
	Usage loader.Usage

	plan   Plan
	log    *logger.Logger
	folder string
	// startedEntries is the number of entries that were started; it names the next one.
	startedEntries int
}

// NewDeployment starts the stand-ins, agents and entries of a plan. Close stops them.
func NewDeployment(p Plan, log io.Writer) (*Deployment, error) {
	d := &Deployment{
		Agents: make(map[string]*runner.Agent), Links: make(map[string]*link.Link), Usage: p.Usage, plan: p,
	}
	d.log = logger.NewLogger("demo", "info", log)
	err := d.start(p, d.log)
	if err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *Deployment) start(p Plan, log *logger.Logger) error {
	folder, err := os.MkdirTemp("", "mimosalb-demo-")
	if err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	d.folder = folder
	if err := os.WriteFile(filepath.Join(folder, pepperFile), []byte(rand.Text()), 0o600); err != nil {
		return fmt.Errorf("write pepper: %w", err)
	}
	d.OperatorToken = rand.Text()
	operator := filepath.Join(folder, operatorFile)
	if err := os.WriteFile(operator, []byte(d.OperatorToken), 0o600); err != nil {
		return fmt.Errorf("write operator token: %w", err)
	}
	if err := d.startStandin(p, log); err != nil {
		return err
	}
	for _, b := range p.BackEnds {
		if err := d.addAgent(p, b); err != nil {
			return err
		}
	}
	for _, location := range p.Entries {
		if err := d.AddEntry(location); err != nil {
			return err
		}
	}
	return nil
}

// AddEntry starts another entry and lists it on the platform.
func (d *Deployment) AddEntry(location Location) error {
	p := d.plan
	d.startedEntries++
	name := "entry-" + strconv.Itoa(d.startedEntries)
	entry, err := runner.StartEntry(loader.Settings{
		Name: name, Zone: location.Zone, Region: location.Region,
		Callers: loopback, Operators: loopback, Peers: loopback,
		Store: "http://" + d.Standin.Addresses["store"], Platform: "http://" + d.Standin.Addresses["platform"],
		Pepper: filepath.Join(d.folder, pepperFile), Operator: filepath.Join(d.folder, operatorFile), Workers: p.Workers,
		Period: loader.Duration(p.Period), Linger: loader.Duration(p.Linger), Usage: p.Usage, Orders: p.Orders,
		KeyGrace: loader.Duration(p.KeyGrace), TLS: p.tls(),
	}, d.log)
	if err != nil {
		return fmt.Errorf("start entry %s: %w", name, err)
	}
	d.Entries = append(d.Entries, entry)
	d.Standin.Platform.AddVM(platform.VM{
		Name: name, Role: "entry", Zone: location.Zone, Region: location.Region, State: "live", Address: entry.Peers,
	})
	return nil
}

func (d *Deployment) startStandin(p Plan, log *logger.Logger) error {
	s := loader.Standin{Store: loopback, Platform: loopback, Weights: loopback}
	for _, b := range p.BackEnds {
		t := loader.StandinTarget{Name: b.Name, Address: loopback, Token: loader.Duration(p.TokenTime)}
		if b.Kind == "model" {
			s.Engines = append(s.Engines, t)
		} else {
			s.Services = append(s.Services, t)
		}
	}
	standin, err := runner.StartStandin(s, log)
	if err != nil {
		return fmt.Errorf("start stand-ins: %w", err)
	}
	d.Standin = standin
	return nil
}

// addAgent starts the agent of a back end, with a link in front of it if the plan asks for links, and adds its VM to the
// platform's list.
func (d *Deployment) addAgent(p Plan, b BackEnd) error {
	agent, err := d.startAgent(b)
	if err != nil {
		return err
	}
	address := agent.Peers
	if p.Linked {
		if d.Links[b.Name], err = link.NewLink(agent.Peers); err != nil {
			return fmt.Errorf("start link to the agent of %s: %w", b.Name, err)
		}
		address = d.Links[b.Name].Address()
	}
	d.Standin.Platform.AddVM(platform.VM{
		Name: "vm-" + b.Name, Role: "target", Zone: b.Zone, Region: b.Region, State: "live",
		Address: address, Service: b.Service, Target: b.Name,
	})
	return nil
}

// startAgent starts the agent of a back end and records it in Agents.
func (d *Deployment) startAgent(b BackEnd) (*runner.Agent, error) {
	agent, err := runner.StartAgent(loader.Settings{
		Name: "vm-" + b.Name, Zone: b.Zone, Region: b.Region, Peers: loopback, Operators: loopback,
		Platform: "http://" + d.Standin.Addresses["platform"], Weights: "http://" + d.Standin.Addresses["weights"],
		Period: loader.Duration(d.plan.Period), TLS: d.plan.tls(),
		Target: loader.Target{Name: b.Name, Service: b.Service, Kind: b.Kind, Address: "http://" + d.Standin.Addresses[b.Name]},
	}, d.log)
	if err != nil {
		return nil, fmt.Errorf("start agent of %s: %w", b.Name, err)
	}
	d.Agents[b.Name] = agent
	return agent, nil
}

// StopAgent stops the agent of a back end. If ctx has already ended, the agent stops without a drain and its link breaks
// its connections, as in a crash.
func (d *Deployment) StopAgent(ctx context.Context, name string) error {
	agent := d.Agents[name]
	delete(d.Agents, name)
	if l := d.Links[name]; l != nil && ctx.Err() != nil {
		defer l.Cut()
	}
	return agent.Stop(ctx) //nolint:wrapcheck // the error names the agent
}

// RestartAgent starts a new agent for a back end, without a record of earlier attempts, and redirects the link to it. The
// deployment must have links.
func (d *Deployment) RestartAgent(name string) error {
	for _, b := range d.plan.BackEnds {
		if b.Name != name {
			continue
		}
		agent, err := d.startAgent(b)
		if err != nil {
			return err
		}
		d.Links[name].Redirect(agent.Peers)
	}
	return nil
}

// StopEntry stops the entry with index i and removes it from Entries. If ctx has already ended, the entry stops without
// a drain, as in a crash.
func (d *Deployment) StopEntry(ctx context.Context, i int) error {
	entry := d.Entries[i]
	d.Entries = slices.Delete(d.Entries, i, i+1)
	return entry.Stop(ctx) //nolint:wrapcheck // the error names the entry
}

// stopTimeout bounds the time in which all processes of a deployment stop. net/http waits up to 5 s for a connection
// without a request, and HTTP clients open such connections in advance.
const stopTimeout = 7 * time.Second

// agentStopTimeout bounds the drain of the agents after the entries have stopped.
const agentStopTimeout = time.Second

// Close stops every process and removes the deployment's files.
func (d *Deployment) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var err error
	for _, e := range d.Entries {
		err = errors.Join(err, e.Stop(ctx))
	}
	// The agents wait for entries to confirm their usage records, which cannot happen after the entries have stopped.
	agentsCtx, cancelAgents := context.WithTimeout(ctx, agentStopTimeout)
	defer cancelAgents()
	for _, a := range d.Agents {
		err = errors.Join(err, a.Stop(agentsCtx))
	}
	for _, l := range d.Links {
		l.Close()
	}
	if d.Standin != nil {
		err = errors.Join(err, d.Standin.Stop(ctx))
	}
	if d.folder != "" {
		err = errors.Join(err, os.RemoveAll(d.folder))
	}
	return err
}
