// Package demonstrator runs a whole deployment on loopback in one process and drives it through the main job.
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

// loopback lets the system choose a free port.
const loopback = "127.0.0.1:0"

// operatorFile is the file of the operators' token in the deployment's folder.
const operatorFile = "operator"

// BackEnd is one back end of a deployment.
type BackEnd struct {
	Name    string
	Service string
	// Kind is model or plain.
	Kind   string
	Zone   string
	Region string
}

// Plan lists what a deployment consists of.
type Plan struct {
	BackEnds []BackEnd
	// Entries holds the availability zone of each entry.
	Entries []Location
	// TokenTime is the time that an engine takes for one token.
	TokenTime time.Duration
	// Period is the time between probes.
	Period time.Duration
	// Linger is how long a stopping entry goes on; zero means two periods.
	Linger time.Duration
	// Workers bounds the requests that run at a time at each entry; zero is the default.
	Workers int
	// Linked puts a link stand-in between the entries and each agent.
	Linked bool
	// Usage is the timing of usage reports.
	Usage loader.Usage
	// KeyGrace is how long keys work without proof of freshness; zero means the usual time.
	KeyGrace time.Duration
	// Orders says how the entries order targets.
	Orders loader.Orders
	// TLS protects the connections between the processes; the zero value leaves them in plain text.
	TLS loader.TLS
}

func (p Plan) tls() loader.TLS {
	if p.TLS == (loader.TLS{}) {
		return loader.TLS{Plain: true}
	}
	return p.TLS
}

// Location is an availability zone and its region.
type Location struct {
	Zone   string
	Region string
}

// Deployment is a running deployment on loopback.
type Deployment struct {
	Standin *runner.Standin
	Agents  map[string]*runner.Agent
	Entries []*runner.Entry
	// OperatorToken is the operators' bearer token.
	OperatorToken string
	// Links holds the link to each agent by the name of its back end.
	Links map[string]*link.Link
	// Usage is the timing of usage reports.
	Usage loader.Usage

	plan   Plan
	log    *logger.Logger
	folder string
}

// NewDeployment starts the stand-ins, agents and entries of a plan. Close ends them.
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
		return fmt.Errorf("make folder: %w", err)
	}
	d.folder = folder
	pepper := filepath.Join(folder, "pepper")
	if err := os.WriteFile(pepper, []byte(rand.Text()), 0o600); err != nil {
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
		if err := d.startAgent(p, b); err != nil {
			return err
		}
	}
	for i, place := range p.Entries {
		name := "entry-" + strconv.Itoa(i+1)
		entry, err := runner.StartEntry(loader.Settings{
			Name: name, Zone: place.Zone, Region: place.Region,
			Callers: loopback, Operators: loopback, Peers: loopback,
			Store: "http://" + d.Standin.Addresses["store"], Platform: "http://" + d.Standin.Addresses["platform"],
			Pepper: pepper, Operator: operator, Workers: p.Workers, Period: loader.Duration(p.Period),
			Linger: loader.Duration(p.Linger), Usage: p.Usage, Orders: p.Orders, KeyGrace: loader.Duration(p.KeyGrace),
			TLS: p.tls(),
		}, log)
		if err != nil {
			return fmt.Errorf("start entry: %w", err)
		}
		d.Entries = append(d.Entries, entry)
		d.Standin.Platform.AddVM(platform.VM{
			Name: name, Role: "entry", Zone: place.Zone, Region: place.Region, State: "live", Address: entry.Peers,
		})
	}
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

func (d *Deployment) startAgent(p Plan, b BackEnd) error {
	agent, err := d.runAgent(b)
	if err != nil {
		return err
	}
	address := agent.Peers
	if p.Linked {
		if d.Links[b.Name], err = link.NewLink(agent.Peers); err != nil {
			return fmt.Errorf("start link: %w", err)
		}
		address = d.Links[b.Name].Address()
	}
	d.Standin.Platform.AddVM(platform.VM{
		Name: "vm-" + b.Name, Role: "target", Zone: b.Zone, Region: b.Region, State: "live",
		Address: address, Service: b.Service, Target: b.Name,
	})
	return nil
}

// runAgent starts the process of the agent beside a back end.
func (d *Deployment) runAgent(b BackEnd) (*runner.Agent, error) {
	agent, err := runner.StartAgent(loader.Settings{
		Name: "vm-" + b.Name, Zone: b.Zone, Region: b.Region, Peers: loopback,
		Platform: "http://" + d.Standin.Addresses["platform"], Weights: "http://" + d.Standin.Addresses["weights"],
		Period: loader.Duration(d.plan.Period), TLS: d.plan.tls(),
		Target: loader.Target{Name: b.Name, Service: b.Service, Kind: b.Kind, Address: "http://" + d.Standin.Addresses[b.Name]},
	}, d.log)
	if err != nil {
		return nil, fmt.Errorf("start agent: %w", err)
	}
	d.Agents[b.Name] = agent
	return agent, nil
}

// StopAgent stops the agent beside a back end. When ctx has ended before, it dies in the middle of its work.
func (d *Deployment) StopAgent(ctx context.Context, name string) error {
	agent := d.Agents[name]
	delete(d.Agents, name)
	if l := d.Links[name]; l != nil && ctx.Err() != nil {
		defer l.Cut()
	}
	return agent.Stop(ctx) //nolint:wrapcheck // the agent names itself
}

// RestartAgent starts the agent of a linked deployment anew, with an empty ledger.
func (d *Deployment) RestartAgent(name string) error {
	for _, b := range d.plan.BackEnds {
		if b.Name != name {
			continue
		}
		agent, err := d.runAgent(b)
		if err != nil {
			return err
		}
		d.Links[name].Redirect(agent.Peers)
	}
	return nil
}

// StopEntry stops an entry and forgets it. When ctx has ended before, it dies in the middle of its work.
func (d *Deployment) StopEntry(ctx context.Context, i int) error {
	entry := d.Entries[i]
	d.Entries = slices.Delete(d.Entries, i, i+1)
	return entry.Stop(ctx) //nolint:wrapcheck // the entry names itself
}

// stopTimeout bounds the drain of a deployment's processes when it ends. net/http waits 5 s for a connection on which
// no request has come yet, and HTTP clients open such connections ahead.
const stopTimeout = 7 * time.Second

// agentStopTimeout bounds the drain of the agents after the entries have ended.
const agentStopTimeout = time.Second

// Close stops every process and removes the deployment's files.
func (d *Deployment) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var err error
	for _, e := range d.Entries {
		err = errors.Join(err, e.Stop(ctx))
	}
	// With the entries gone nobody confirms the agents' usage records, so waiting for that is in vain.
	agents, cancelAgents := context.WithTimeout(ctx, agentStopTimeout)
	defer cancelAgents()
	for _, a := range d.Agents {
		err = errors.Join(err, a.Stop(agents))
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
