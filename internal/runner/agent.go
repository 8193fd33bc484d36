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

// defaultConcurrency limits the concurrent attempts on a target whose settings give no limit.
const defaultConcurrency = 64

// Agent is a running agent process.
type Agent struct {
	// Peers is the address that the agent listens on.
	Peers string
	// Health is the address of the health routes; empty when the settings do not include one.
	Health string

	log        *logger.Logger
	clock      *timer.System
	gatekeeper *gatekeeper.Gatekeeper
	executor   *executor.Executor
	records    *meter.RecordBuffer
	receiver   *rpcserver.Agent
	server     *rpcserver.Server
	health     *httpserver.Server
	tree       *treeNode
	peers      *rpcclient.Client
	guards     *guards
	metrics    *exporter.Agent
}

// target is the back end that an agent sends attempts to.
type target interface {
	executor.Target
	Version() identifier.Version
}

// StartAgent starts an agent. The caller must call Stop.
func StartAgent(s loader.Settings, log *logger.Logger) (*Agent, error) {
	clock := timer.NewSystem()
	peers, err := newPeerOptions(s.TLS, clock, log)
	if err != nil {
		clock.Close()
		return nil, err
	}
	a := &Agent{log: log, clock: clock, guards: newGuards(clock, log), metrics: exporter.NewAgent()}
	concurrency := s.Target.Concurrency
	if concurrency == 0 {
		concurrency = defaultConcurrency
	}
	// The start time makes the incarnation unique: a process can't start twice in one nanosecond.
	incarnation := identifier.Incarnation(a.clock.Now().UnixNano())
	a.gatekeeper = gatekeeper.NewGatekeeper(incarnation, gatekeeper.WithConcurrency(concurrency))
	statuses := reportStatuses(log, a.metrics, "target")
	var backEnd target = engineclient.NewEngine(s.Target.Address, statuses)
	if s.Target.Kind == "plain" {
		backEnd = engineclient.NewService(s.Target.Address, statuses)
	}
	a.records = &meter.RecordBuffer{}
	a.executor = executor.NewExecutor(a.gatekeeper, backEnd, a.clock, concurrency, executor.WithRegion(identifier.Region(s.Region)),
		executor.WithEndHandler(a.metrics.Ended), executor.WithEndHandler(newRecordHandler(a.records, a.clock)))
	a.server = rpcserver.NewServer(append(peers.server, rpcserver.WithGuard(a.guards.peers))...)
	a.receiver = rpcserver.NewAgent(a.gatekeeper, a.executor, a.clock, backEnd.Version, identifier.Release(s.Target.Release))
	if err := a.server.Register("Agent", a.receiver); err != nil {
		a.close()
		return nil, fmt.Errorf("serve agent: %w", err)
	}
	if err := a.server.Register("Usage", rpcserver.NewUsage(a.records, a.executor)); err != nil {
		a.close()
		return nil, fmt.Errorf("serve usage: %w", err)
	}
	engine, _ := backEnd.(rpcserver.Engine)
	if err := a.server.Register("Target", rpcserver.NewTarget(a.gatekeeper, engine, a.clock)); err != nil {
		a.close()
		return nil, fmt.Errorf("serve orders: %w", err)
	}
	if err := a.registerWeights(s, backEnd, peers.client); err != nil {
		a.close()
		return nil, err
	}
	l, err := listen(s.Peers)
	if err != nil {
		a.close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	a.Peers = l.Addr().String()
	if err := a.join(s, l, backEnd, peers.client); err != nil {
		a.close()
		return nil, err
	}
	if err := a.serveHealth(s.Operators); err != nil {
		err = errors.Join(err, a.leave())
		a.close()
		return nil, fmt.Errorf("listen for health: %w", err)
	}
	log.Emit(logger.ProcessStarted, "role", "agent", "name", s.Name, "target", s.Target.Name, "peers", a.Peers)
	return a, nil
}

// Stop drains the agent until ctx ends and releases its resources.
func (a *Agent) Stop(ctx context.Context) error {
	a.log.Emit(logger.DrainStarted)
	a.drain(ctx)
	a.awaitConfirmed(ctx)
	a.receiver.Close()
	a.guards.stop()
	err := a.leave()
	if a.health != nil {
		err = errors.Join(err, a.health.Stop(ctx))
	}
	a.close()
	a.log.Emit(logger.ProcessStopped)
	return err
}

// Load returns the number of running attempts and whether the agent is draining.
func (a *Agent) Load() (running int, draining bool) { return a.gatekeeper.Load() }

// close releases the resources that the RPC server uses.
func (a *Agent) close() {
	a.executor.Close()
	if a.peers != nil {
		a.peers.Close()
	}
	a.guards.stop()
	a.clock.Close()
}
