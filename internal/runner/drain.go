package runner

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// drainPatience is how long a draining agent lets streams run when nothing bounds its drain.
	drainPatience = 15 * time.Second
	// collectTime bounds the wait for entries to read the ends of streams. Entries read all the time; one that has not
	// done so for this long is gone.
	collectTime = 2 * time.Second
	// noticePeriods is how many periods an entry that is not ready goes on serving, so that the balancer sees it first,
	// when the settings name no linger.
	noticePeriods = 2
)

// drain takes no new attempts and waits for the running ones. Those that would outlast half of the time that ctx leaves
// are given up so that they go on at another target; calls that may not be repeated get the whole time.
func (a *Agent) drain(ctx context.Context) {
	patience := drainPatience
	if deadline, ok := ctx.Deadline(); ok {
		patience = min(patience, max(0, deadline.Sub(a.clock.Now())/2))
	}
	idle := a.gate.Drain()
	alarm := a.clock.After(patience)
	defer alarm.Stop()
	select {
	case <-idle:
	case <-alarm.C():
		a.runs.CancelRepeatable()
		select {
		case <-idle:
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
	collect, cancel := timer.WithTimeout(ctx, a.clock, collectTime)
	defer cancel()
	select {
	case <-a.gate.AllRead():
	case <-collect.Done():
	}
	a.server.Drain(collect)
}

// accepts reports whether the entry takes new work.
func (e *Entry) accepts() bool { return e.ready.Load() && !e.stopping.Load() }

// notice is how long the entry goes on serving after it is not ready.
func (e *Entry) notice() time.Duration {
	if e.linger > 0 {
		return e.linger
	}
	return noticePeriods * e.period
}

// drain turns the entry not ready, goes on serving until the balancer has noticed, and then finishes what it accepted.
func (e *Entry) drain(ctx context.Context) error {
	e.stopping.Store(true)
	notice := e.clock.After(e.notice())
	defer notice.Stop()
	select {
	case <-notice.C():
	case <-ctx.Done():
	}
	e.dispatcher.Drain(ctx)
	return errors.Join(e.callers.Stop(ctx), e.operators.Stop(ctx))
}
