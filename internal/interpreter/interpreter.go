// Package interpreter takes in what the answers of targets say about the targets themselves, whichever path made the call.
package interpreter

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Interpreter is a forwarder.TargetClient that takes in what each answer says, before who made the call sees it or throws it
// away.
type Interpreter struct {
	client  forwarder.TargetClient
	limiter *limiter.Limiter
	clock   timer.Service
	log     *logger.Logger
}

// NewInterpreter returns an Interpreter of the answers that client gets.
func NewInterpreter(client forwarder.TargetClient, l *limiter.Limiter, clock timer.Service, log *logger.Logger) *Interpreter {
	return &Interpreter{client: client, limiter: l, clock: clock, log: log}
}

// Call sends c and takes in what its answer says.
func (i *Interpreter) Call(ctx context.Context, c forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	sent := i.clock.Monotonic()
	a, fault := i.client.Call(ctx, c)
	if fault == forwarder.NoFault && !a.Foreign {
		i.recordRate(c, a, sent)
	}
	return a, fault
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
