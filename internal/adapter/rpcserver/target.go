package rpcserver

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Engine executes orders to an inference engine.
type Engine interface {
	Apply(ctx context.Context, o orderer.EngineOrder) orderer.Outcome
}

// Target is the net/rpc receiver "Target": it executes the orders to one target. The agent checks the fencing number of
// each order itself, so that an engine that ignores fencing numbers gets no stale order either.
type Target struct {
	fences *orderer.FenceGuard
	gate   *gatekeeper.Gatekeeper
	engine Engine
	clock  timer.Service
}

// NewTarget returns the receiver for orders to the target whose attempts gate admits. engine is nil for a plain
// service.
func NewTarget(gate *gatekeeper.Gatekeeper, engine Engine, clock timer.Service) *Target {
	return &Target{fences: &orderer.FenceGuard{}, gate: gate, engine: engine, clock: clock}
}

// Drain stops the admission of new attempts and reports whether the target is idle. A drain that an operator asked for
// has no fencing number and is always admitted.
func (t *Target) Drain(args messenger.DrainRequest, reply *messenger.DrainReply) error {
	reply.Envelope = args.Envelope
	if !args.Operator && !t.fences.Admit(args.Fence) {
		reply.Stale = true
		return nil
	}
	t.gate.Drain()
	running, _ := t.gate.Load()
	reply.Idle = running == 0
	return nil
}

// engineTimeout limits an order to the engine. Loading weights takes seconds.
const engineTimeout = time.Minute

// Engine passes an order to the engine, unless there is none or the fencing number is stale.
func (t *Target) Engine(args messenger.EngineRequest, reply *messenger.EngineReply) error {
	reply.Envelope = args.Envelope
	switch {
	case t.engine == nil:
		reply.Outcome = orderer.Rejected
	case !t.fences.Admit(args.Order.Fence):
		reply.Outcome = orderer.Stale
	default:
		ctx, cancel := timer.WithTimeout(args.Context(), t.clock, engineTimeout)
		defer cancel()
		reply.Outcome = t.engine.Apply(ctx, args.Order)
	}
	return nil
}
