package runner

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// drainGrace is the longest time for which a draining agent lets repeatable attempts run.
	drainGrace = 15 * time.Second
	// collectTimeout limits the wait for entries to read the ends of streams. Entries read continuously; one that has not
	// done so for this long has failed.
	collectTimeout = 2 * time.Second
	// lingerPeriods is the number of periods for which an entry that is no longer ready continues to serve if the settings
	// give no linger time. The balancer needs this time to notice that the entry is not ready.
	lingerPeriods = 2
)

// drain accepts no new attempts and waits for the running ones. Repeatable attempts are cancelled after drainGrace or half
// of the time until the deadline of ctx, so that they are resumed on another target; calls that must not be repeated may
// run until ctx ends.
func (a *Agent) drain(ctx context.Context) {
	grace := drainGrace
	if deadline, ok := ctx.Deadline(); ok {
		grace = min(grace, max(0, deadline.Sub(a.clock.Now())/2))
	}
	idle := a.gatekeeper.Drain()
	graceTimer := a.clock.After(grace)
	defer graceTimer.Stop()
	select {
	case <-idle:
	case <-graceTimer.C():
		a.executor.CancelRepeatable()
		select {
		case <-idle:
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
	collectCtx, cancel := timer.WithTimeout(ctx, a.clock, collectTimeout)
	defer cancel()
	select {
	case <-a.gatekeeper.AllRead():
	case <-collectCtx.Done():
	}
	a.server.Drain(collectCtx)
}

// accepts reports whether the entry accepts new requests.
func (e *Entry) accepts() bool { return e.ready.Load() && !e.stopping.Load() }

// lingerTime returns how long the entry continues to serve after it has become not ready.
func (e *Entry) lingerTime() time.Duration {
	if e.linger > 0 {
		return e.linger
	}
	return lingerPeriods * e.period
}

// drain makes the entry not ready, continues to serve for the linger time so that the balancer notices, and then finishes
// the accepted requests.
func (e *Entry) drain(ctx context.Context) error {
	e.stopping.Store(true)
	lingerTimer := e.clock.After(e.lingerTime())
	defer lingerTimer.Stop()
	select {
	case <-lingerTimer.C():
	case <-ctx.Done():
	}
	e.dispatcher.Drain(ctx)
	return errors.Join(e.callers.Stop(ctx), e.operators.Stop(ctx))
}
