package runner

import (
	"context"
	"errors"
	"fmt"

	"github.com/mimosalb/mimosalb/internal/adapter/engineclient"
	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// defaultConcurrency bounds the attempts on a target whose settings give no bound.
const defaultConcurrency = 64

// Agent is a running agent process.
type Agent struct {
	// Peers is the address that the agent listens on.
	Peers string
	// Health is the address of the health routes; empty when the settings name none.
	Health string

	log    *logger.Logger
	clock  *timer.System
	gate   *gatekeeper.Gatekeeper
	runs   *executor.Executor
	keeper *meter.RecordBuffer
	calls  *rpcserver.Agent
	server *rpcserver.Server
	health *httpserver.Server
	tree   *tree
	peers  *rpcclient.Client
}

// target is the back end beside an agent.
type target interface {
	executor.Target
	Version() identifier.Version
}

// StartAgent starts an agent. Stop ends it.
func StartAgent(s loader.Settings, log *logger.Logger) (*Agent, error) {
	clock := timer.NewSystem()
	peers, err := newPeerOptions(s.TLS, clock, log)
	if err != nil {
		clock.Close()
		return nil, err
	}
	a := &Agent{log: log, clock: clock}
	size := s.Target.Concurrency
	if size == 0 {
		size = defaultConcurrency
	}
	// The start time makes the incarnation unique: a process can't start twice in one nanosecond.
	incarnation := identifier.Incarnation(a.clock.Now().UnixNano())
	a.gate = gatekeeper.NewGatekeeper(incarnation, gatekeeper.WithConcurrency(size))
	var back target = engineclient.NewEngine(s.Target.Address)
	if s.Target.Kind == "plain" {
		back = engineclient.NewService(s.Target.Address)
	}
	metrics := exporter.NewAgent()
	a.keeper = &meter.RecordBuffer{}
	a.runs = executor.NewExecutor(a.gate, back, a.clock, size, executor.WithRegion(identifier.Region(s.Region)),
		executor.WithEndHandler(metrics.Ended), executor.WithEndHandler(keep(a.keeper, a.clock)))
	a.server = rpcserver.NewServer(peers.server...)
	a.calls = rpcserver.NewAgent(a.gate, a.runs, a.clock, back.Version)
	if err := a.server.Register("Agent", a.calls); err != nil {
		a.close()
		return nil, fmt.Errorf("serve agent: %w", err)
	}
	if err := a.server.Register("Usage", rpcserver.NewUsage(a.keeper, a.runs)); err != nil {
		a.close()
		return nil, fmt.Errorf("serve usage: %w", err)
	}
	engine, _ := back.(rpcserver.Engine)
	if err := a.server.Register("Target", rpcserver.NewTarget(a.gate, engine, a.clock)); err != nil {
		a.close()
		return nil, fmt.Errorf("serve orders: %w", err)
	}
	if err := a.registerWeights(s, back, peers.client); err != nil {
		a.close()
		return nil, err
	}
	l, err := listen(s.Peers)
	if err != nil {
		a.close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	a.Peers = l.Addr().String()
	if err := a.join(s, l, back, peers.client); err != nil {
		a.close()
		return nil, err
	}
	if err := a.serveHealth(s.Operators, metrics); err != nil {
		err = errors.Join(err, a.leave())
		a.close()
		return nil, fmt.Errorf("listen for health: %w", err)
	}
	log.Emit(logger.ProcessStarted, "role", "agent", "name", s.Name, "target", s.Target.Name, "peers", a.Peers)
	return a, nil
}

// Stop drains the agent until ctx ends, and ends the process's parts.
func (a *Agent) Stop(ctx context.Context) error {
	a.log.Emit(logger.DrainStarted)
	a.drain(ctx)
	a.awaitConfirmed(ctx)
	a.calls.Close()
	err := a.leave()
	if a.health != nil {
		err = errors.Join(err, a.health.Stop(ctx))
	}
	a.close()
	a.log.Emit(logger.ProcessStopped)
	return err
}

// Load returns the number of running attempts and whether the agent is draining.
func (a *Agent) Load() (running int, draining bool) { return a.gate.Load() }

// close ends what runs below the server.
func (a *Agent) close() {
	a.runs.Close()
	if a.peers != nil {
		a.peers.Close()
	}
	a.clock.Close()
}
