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
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/runner"
	"github.com/mimosalb/mimosalb/internal/standin/platform"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// loopback lets the system choose a free port.
const loopback = "127.0.0.1:0"

// Back is one back end of a deployment.
type Back struct {
	Name    string
	Service string
	// Kind is model or plain.
	Kind   string
	Zone   string
	Region string
}

// Plan lists what a deployment consists of.
type Plan struct {
	Backs []Back
	// Entries holds the availability zone of each entry.
	Entries []Place
	// Token is the time that an engine takes for one token.
	Token time.Duration
	// Period is the time between probes.
	Period time.Duration
}

// Place is an availability zone and its region.
type Place struct {
	Zone   string
	Region string
}

// Deployment is a running deployment on loopback.
type Deployment struct {
	Standin *runner.Standin
	Agents  map[string]*runner.Agent
	Entries []*runner.Entry

	folder string
}

// NewDeployment starts the stand-ins, agents and entries of a plan. Close ends them.
func NewDeployment(p Plan, log io.Writer) (*Deployment, error) {
	d := &Deployment{Agents: make(map[string]*runner.Agent)}
	err := d.start(p, logger.NewLogger("demo", "info", log))
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
	if err := d.startStandin(p, log); err != nil {
		return err
	}
	for _, b := range p.Backs {
		if err := d.startAgent(p, b, log); err != nil {
			return err
		}
	}
	for i, place := range p.Entries {
		entry, err := runner.StartEntry(loader.Settings{
			Name: "entry-" + strconv.Itoa(i+1), Zone: place.Zone, Region: place.Region,
			Callers: loopback, Operators: loopback, Peers: loopback,
			Store: "http://" + d.Standin.Addresses["store"], Platform: "http://" + d.Standin.Addresses["platform"],
			Pepper: pepper, Period: loader.Duration(p.Period), TLS: loader.TLS{Plain: true},
		}, log)
		if err != nil {
			return fmt.Errorf("start entry: %w", err)
		}
		d.Entries = append(d.Entries, entry)
	}
	return nil
}

func (d *Deployment) startStandin(p Plan, log *logger.Logger) error {
	s := loader.Standin{Store: loopback, Platform: loopback, Weights: loopback}
	for _, b := range p.Backs {
		t := loader.StandinTarget{Name: b.Name, Address: loopback, Token: loader.Duration(p.Token)}
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

func (d *Deployment) startAgent(p Plan, b Back, log *logger.Logger) error {
	agent, err := runner.StartAgent(loader.Settings{
		Name: "agent-" + b.Name, Zone: b.Zone, Region: b.Region, Peers: loopback,
		Period: loader.Duration(p.Period), TLS: loader.TLS{Plain: true},
		Target:  loader.Target{Name: b.Name, Service: b.Service, Kind: b.Kind, Address: "http://" + d.Standin.Addresses[b.Name]},
		Weights: "http://" + d.Standin.Addresses["weights"],
	}, log)
	if err != nil {
		return fmt.Errorf("start agent: %w", err)
	}
	d.Agents[b.Name] = agent
	d.Standin.Platform.AddVM(platform.VM{
		Name: "vm-" + b.Name, Role: "target", Zone: b.Zone, Region: b.Region, State: "live",
		Address: agent.Peers, Service: b.Service, Target: b.Name,
	})
	return nil
}

// stopTimeout bounds the drain of each process when a deployment ends.
const stopTimeout = 5 * time.Second

// Close stops every process and removes the deployment's files.
func (d *Deployment) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var err error
	for _, e := range d.Entries {
		err = errors.Join(err, e.Stop(ctx))
	}
	for _, a := range d.Agents {
		err = errors.Join(err, a.Stop(ctx))
	}
	if d.Standin != nil {
		err = errors.Join(err, d.Standin.Stop(ctx))
	}
	if d.folder != "" {
		err = errors.Join(err, os.RemoveAll(d.folder))
	}
	return err
}
