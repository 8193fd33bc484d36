package rpcserver

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Engine carries out orders.
type Engine interface {
	Apply(ctx context.Context, o orderer.EngineOrder) orderer.Outcome
}

// Target serves the orders to one target under the name "Target". Each order passes the agent's own gate for fencing
// numbers first, so that targets that ignore the numbers are guarded too.
type Target struct {
	orders *orderer.FenceGuard
	gate   *gatekeeper.Gatekeeper
	engine Engine
	clock  timer.Service
}

// NewTarget returns the receiver for orders to the target behind gate. engine is nil for a plain service.
func NewTarget(gate *gatekeeper.Gatekeeper, engine Engine, clock timer.Service) *Target {
	return &Target{orders: &orderer.FenceGuard{}, gate: gate, engine: engine, clock: clock}
}

// Drain makes the target take no new work and tells whether it is idle.
func (t *Target) Drain(args messenger.DrainRequest, reply *messenger.DrainReply) error {
	reply.Envelope = args.Envelope
	if !args.Operator && !t.orders.Admit(args.Fence) {
		reply.Stale = true
		return nil
	}
	t.gate.Drain()
	running, _ := t.gate.Load()
	reply.Idle = running == 0
	return nil
}

// engineTimeout bounds an order to the engine; loading weights takes seconds.
const engineTimeout = time.Minute

// Engine passes an order to the engine.
func (t *Target) Engine(args messenger.EngineRequest, reply *messenger.EngineReply) error {
	reply.Envelope = args.Envelope
	switch {
	case t.engine == nil:
		reply.Outcome = orderer.Rejected
	case !t.orders.Admit(args.Order.Fence):
		reply.Outcome = orderer.Stale
	default:
		ctx, cancel := timer.WithTimeout(args.Context(), t.clock, engineTimeout)
		defer cancel()
		reply.Outcome = t.engine.Apply(ctx, args.Order)
	}
	return nil
}
