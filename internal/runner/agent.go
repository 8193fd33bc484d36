package runner

import (
	"context"
	"fmt"

	"github.com/mimosalb/mimosalb/internal/adapter/engineclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// defaultConcurrency bounds the attempts on a target whose settings give no bound.
const defaultConcurrency = 64

// Agent is a running agent process.
type Agent struct {
	// Peers is the address that the agent listens on.
	Peers string

	log    *logger.Logger
	clock  *timer.System
	gate   *gatekeeper.Gatekeeper
	runs   *executor.Executor
	server *rpcserver.Server
	peers  *rpcclient.Client
}

// target is the back end beside an agent.
type target interface {
	executor.Target
	Version() identifier.Version
}

// StartAgent starts an agent. Stop ends it.
func StartAgent(s loader.Settings, log *logger.Logger) (*Agent, error) {
	a := &Agent{log: log, clock: timer.NewSystem()}
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
	a.runs = executor.NewExecutor(a.gate, back, a.clock, size)
	a.server = rpcserver.NewServer()
	if err := a.server.Register("Agent", rpcserver.NewAgent(a.gate, a.runs, a.clock, back.Version)); err != nil {
		a.close()
		return nil, fmt.Errorf("serve agent: %w", err)
	}
	if err := a.registerWeights(s, back); err != nil {
		a.close()
		return nil, err
	}
	l, err := listen(s.Peers)
	if err != nil {
		a.close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	a.Peers = l.Addr().String()
	a.server.Start(l)
	log.Emit(logger.ProcessStarted, "role", "agent", "name", s.Name, "target", s.Target.Name, "peers", a.Peers)
	return a, nil
}

// Stop takes no new attempts, waits for the running ones until ctx ends, and ends the process's parts.
func (a *Agent) Stop(ctx context.Context) error {
	a.log.Emit(logger.DrainStarted)
	select {
	case <-a.gate.Drain():
	case <-ctx.Done():
	}
	err := a.server.Close()
	a.close()
	a.log.Emit(logger.ProcessStopped)
	return err
}

// close ends what runs below the server.
func (a *Agent) close() {
	a.runs.Close()
	if a.peers != nil {
		a.peers.Close()
	}
	a.clock.Close()
}
