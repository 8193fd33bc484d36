// Package interpreter reads the state of targets from their answers, on every path that calls them.
package interpreter

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Interpreter is a forwarder.TargetClient that reads the state of the target from each answer before the caller gets the answer.
type Interpreter struct {
	client  forwarder.TargetClient
	limiter *limiter.Limiter
	// departures holds the targets that leave; onLeaving is called when one is added.
	departures *registrar.Departures
	onLeaving  func(router.Target)
	// evacuator says to which zones nothing is sent; it may be nil.
	evacuator *evacuator.Evacuator
	// onRestart is called with each target in whose place another one answered; it may be nil.
	onRestart func(router.Target)
	// onFault is called with each target to which a call failed other than by its time or its caller; it may be nil.
	onFault func(router.Target, forwarder.Fault)
	clock   timer.Service
	log     *logger.Logger
}

// Option sets a property of an Interpreter.
type Option func(*Interpreter)

// WithLimiter passes the rates that answers name to l.
func WithLimiter(l *limiter.Limiter) Option { return func(i *Interpreter) { i.limiter = l } }

// WithDepartures adds the targets whose answers say that they leave to d, and calls onLeaving for each.
func WithDepartures(d *registrar.Departures, onLeaving func(router.Target)) Option {
	return func(i *Interpreter) { i.departures, i.onLeaving = d, onLeaving }
}

// WithEvacuator makes calls to targets of zones that e evacuates end unsent. A target that was chosen before the order arrived may be
// called much later, after a question for its start or on a repeated connection.
func WithEvacuator(e *evacuator.Evacuator) Option { return func(i *Interpreter) { i.evacuator = e } }

// WithRestarts calls onRestart with each target in whose place another one answered.
func WithRestarts(onRestart func(router.Target)) Option {
	return func(i *Interpreter) { i.onRestart = onRestart }
}

// WithFaults calls onFault with each target to which a call failed other than by its time or its caller.
func WithFaults(onFault func(router.Target, forwarder.Fault)) Option {
	return func(i *Interpreter) { i.onFault = onFault }
}

// NewInterpreter returns an Interpreter of the answers that client gets.
func NewInterpreter(client forwarder.TargetClient, clock timer.Service, log *logger.Logger, opts ...Option) *Interpreter {
	i := &Interpreter{client: client, clock: clock, log: log}
	for _, o := range opts {
		o(i)
	}
	return i
}

// Call sends c and takes in what its answer says.
func (i *Interpreter) Call(ctx context.Context, c forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	if i.evacuator.Evacuated(c.Target.Zone) {
		return forwarder.Answer{}, forwarder.Unsent
	}
	sent := i.clock.Monotonic()
	a, fault := i.client.Call(ctx, c)
	if fault == forwarder.NoFault && !a.Foreign {
		i.recordRate(c, a, sent)
		i.recordDeparture(c, a)
	}
	if fault == forwarder.NoFault && a.Foreign && i.onRestart != nil {
		i.onRestart(c.Target)
	}
	if fault != forwarder.NoFault && fault != forwarder.Excluded && ctx.Err() == nil && i.onFault != nil {
		i.onFault(c.Target, fault)
	}
	return a, fault
}

// recordDeparture takes in that the target says that it leaves.
func (i *Interpreter) recordDeparture(c forwarder.Call, a forwarder.Answer) {
	if a.Leaving && i.departures != nil && i.departures.Record(c.Target.ID, c.Target.Incarnation, i.clock.Monotonic()) {
		i.log.Emit(logger.TargetLeaving, "target", c.Target.ID, "incarnation", c.Target.Incarnation, "request", c.ID)
		i.onLeaving(c.Target)
	}
}

// recordRate takes in the rate of requests that the target names.
func (i *Interpreter) recordRate(c forwarder.Call, a forwarder.Answer, sent time.Duration) {
	switch i.limiter.Record(c.Target, a.Rate, sent) {
	case limiter.Limited:
		i.log.Emit(logger.TargetLimited, "target", c.Target.ID, "rate", a.Rate.Rate, "request", c.ID)
	case limiter.Lifted:
		i.log.Emit(logger.TargetUnlimited, "target", c.Target.ID, "request", c.ID)
	case limiter.Unreadable:
		i.log.Emit(logger.RateUnreadable, "target", c.Target.ID, "rate", a.Rate.Text, "request", c.ID)
	case limiter.NoChange:
	}
}
