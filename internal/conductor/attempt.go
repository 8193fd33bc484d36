package conductor

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/pacer"
	"github.com/mimosalb/mimosalb/internal/router"
)

const (
	// watchPeriod is the interval at which a running attempt is checked for a stall.
	watchPeriod = 300 * time.Millisecond
	// minEventsBeforeMove is the number of events that an attempt has to receive before its item may move to a faster
	// target.
	minEventsBeforeMove = 2
)

// HTTP status codes with which a target answers an item.
const (
	statusOK            = 200
	statusUnprocessable = 422
	statusFailed        = 500
)

var (
	errEventOverdue = errors.New("target sent no event within the timeout")
	errEnded        = errors.New("job ended during the attempt")
	errConfined     = errors.New("the configuration allows the attempt no longer")
)

// eventTimings records when the events of an attempt arrived, by the monotonic clock. The zero value has no events.
type eventTimings struct {
	events, first, last atomic.Int64
	// left is the outstanding work that the router counts for the attempt. Only the attempt's own goroutine uses it.
	left time.Duration
}

// record adds an event and returns the time since the previous one, or zero for the first.
func (t *eventTimings) record(now time.Duration) time.Duration {
	before := time.Duration(t.last.Swap(int64(now)))
	if t.events.Add(1) == 1 {
		t.first.Store(int64(now))
		return 0
	}
	return now - before
}

// timeToFirst returns the time from the start of the attempt to its first event, or zero if there was none.
func (t *eventTimings) timeToFirst(began time.Duration) time.Duration {
	if t.events.Load() == 0 {
		return 0
	}
	return time.Duration(t.first.Load()) - began
}

// overdue reports whether the next event is overdue by the limits of the target.
func (t *eventTimings) overdue(now time.Duration, limits pacer.Limits) bool {
	limit := limits.Next
	if t.events.Load() == 0 {
		limit = limits.First
	}
	return now-time.Duration(t.last.Load()) > limit
}

// runAttempt sends an item to its target and appends the events of the answer to the item's text. If the outcome is
// outpaced, it also returns the faster target on which the item continues, with a slot reserved there.
func (c *Conductor) runAttempt(ctx context.Context, a assignment, t *eventTimings) (attemptOutcome, router.Target) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.last.Store(int64(c.Clock.Monotonic()))
	a.ledJob.job.Begin(a.task.Index, a.target.Release)
	done := make(chan struct{})
	defer close(done)
	go c.watchAttempt(a, t, done, cancel)

	if !c.Forwarder.ConfirmStart(ctx, a.target, a.task.Events > 0) {
		if outcome := cancelOutcome(ctx); outcome != 0 {
			return outcome, router.Target{}
		}
		return attemptUnsent, router.Target{}
	}
	if !c.mayRun(a) {
		return attemptStopped, router.Target{}
	}
	answer, fault, _ := forwarder.Send(ctx, c.Caller, func() forwarder.Call { return c.itemCall(a) })
	if fault == forwarder.NoFault {
		defer answer.Body.Close() //nolint:errcheck // the body was read to its end or is discarded
	}
	if outcome := cancelOutcome(ctx); outcome != 0 {
		return outcome, router.Target{}
	}
	if outcome := answerOutcome(answer, fault); outcome != attemptComplete {
		return outcome, router.Target{}
	}
	if !c.Forwarder.ConfirmAnswer(ctx, a.target, answer) {
		if outcome := cancelOutcome(ctx); outcome != 0 {
			return outcome, router.Target{}
		}
		return attemptUnsent, router.Target{}
	}
	return c.readEvents(ctx, a, answer, t)
}

// answerOutcome returns the outcome that the status and header of an answer decide, or attemptComplete if the events
// decide it.
func answerOutcome(answer forwarder.Answer, fault forwarder.Fault) attemptOutcome {
	switch {
	case fault == forwarder.Unsent:
		return attemptUnsent
	case fault == forwarder.Excluded:
		return attemptStopped
	case fault != forwarder.NoFault:
		return attemptBroken
	case answer.NotRun:
		return attemptRefused
	case answer.Status == statusUnprocessable:
		return attemptUnprocessable
	case answer.Status == statusFailed:
		return attemptFailed
	case answer.Status != statusOK, !answer.Stream:
		return attemptBroken
	default:
		return attemptComplete
	}
}

// cancelOutcome returns the outcome of an attempt that watchAttempt cancelled, or zero if it did not.
func cancelOutcome(ctx context.Context) attemptOutcome {
	switch {
	case errors.Is(context.Cause(ctx), errEventOverdue):
		return attemptTimedOut
	case errors.Is(context.Cause(ctx), errEnded), errors.Is(context.Cause(ctx), errConfined):
		return attemptStopped
	default:
		return 0
	}
}

// readEvents appends the events of an answer to the item's text until the answer ends or the attempt has to stop.
func (c *Conductor) readEvents(ctx context.Context, a assignment, answer forwarder.Answer, t *eventTimings) (attemptOutcome, router.Target) {
	job, spec := a.ledJob.job, a.ledJob.job.Spec()
	version := answer.Version
	c.Registrar.RecordVersion(a.target.ID, spec.Model, version)
	events := c.Opener.Open(answer.Body)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return attemptComplete, router.Target{}
		}
		if err != nil {
			if outcome := cancelOutcome(ctx); outcome != 0 {
				return outcome, router.Target{}
			}
			return attemptBroken, router.Target{}
		}
		if e.Version != 0 {
			version = e.Version
			c.Registrar.RecordVersion(a.target.ID, spec.Model, version)
		}
		now := c.Clock.Monotonic()
		if gap := t.record(now); gap > 0 {
			c.Registrar.RecordInterval(a.target.ID, gap, now)
		}
		c.recordProgress(a, t)
		if !job.Append(a.task.Index, e.Number, e.Data, version, a.route.SingleVersion) {
			if job.Finished() {
				return attemptStopped, router.Target{}
			}
			return attemptStale, router.Target{}
		}
		if c.worthMoving(a, t, now) {
			if next, ok := c.chooseFasterTarget(a, now); ok {
				return attemptOutpaced, next
			}
		}
	}
}

// stallLimits returns the limits of the waits for the events of an attempt.
func (c *Conductor) stallLimits(a assignment, now time.Duration) pacer.Limits {
	if !c.BySlack {
		return pacer.StallLimits(pacer.Pace{}, pacer.Pace{})
	}
	return pacer.StallLimits(c.Registrar.Paces(a.target.ID, now))
}

// worthMoving reports whether the text of an attempt is complete sooner at another target.
func (c *Conductor) worthMoving(a assignment, t *eventTimings, now time.Duration) bool {
	events := int(t.events.Load())
	if events < minEventsBeforeMove || !c.Registrar.IsSlow(a.target.ID, now) {
		return false
	}
	if !c.BySlack {
		return true
	}
	own, peers := c.Registrar.Paces(a.target.ID, now)
	return pacer.WorthMoving(own, peers, a.task.Item.Hint, a.task.Events+events)
}

// chooseFasterTarget reserves a slot on a target that is not slow and can continue the text.
func (c *Conductor) chooseFasterTarget(a assignment, now time.Duration) (router.Target, bool) {
	spec := a.ledJob.job.Spec()
	cost := a.cost.withEvents(a.ledJob.job.CurrentTask(a.task.Index).Events)
	return c.Forwarder.Limiter.Choose(c.Router, cost.add(router.Requirements{
		Service: a.target.Service, Zone: c.Zone, Region: c.Region, Release: a.target.Release, Spread: true,
		Regions: c.scope(a.ledJob).Regions,
		Avoid:   append(c.Registrar.TargetsToAvoid(a.target.Service, spec.Model, spec.Least, now), c.Registrar.SlowTargets(a.target.Service, now)...),
	}))
}

// watchAttempt cancels an attempt whose next event is overdue, whose job has finished or which a new configuration does not allow.
func (c *Conductor) watchAttempt(a assignment, t *eventTimings, done <-chan struct{}, cancel context.CancelCauseFunc) {
	ticks := c.Clock.Every(watchPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-done:
			return
		case <-a.ledJob.job.Done():
			cancel(errEnded)
			return
		case <-ticks.C():
			now := c.Clock.Monotonic()
			if t.overdue(now, c.stallLimits(a, now)) {
				cancel(errEventOverdue)
				return
			}
			if !c.mayRun(a) {
				cancel(errConfined)
				return
			}
		}
	}
}
