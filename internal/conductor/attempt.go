package conductor

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/router"
)

const (
	// firstEvent and nextEvent are how long an attempt waits for its first and for each further event before the
	// target counts as silent. They are a few times the longest pauses of an engine under full load.
	firstEvent = 2500 * time.Millisecond
	nextEvent  = 1200 * time.Millisecond
	// watchPeriod is the period of the look for silent targets.
	watchPeriod = 300 * time.Millisecond
	// leastEvents is the number of events that an attempt brings before it may move to a faster target.
	leastEvents = 2
)

// Status codes of a target's answer to an item.
const (
	statusOK            = 200
	statusUnprocessable = 422
	statusFailed        = 500
)

var (
	errSilent = errors.New("the target is silent")
	errEnded  = errors.New("the job has ended")
)

// hearing is what an attempt has heard of its target so far, by the boot clock. The zero value has heard nothing.
type hearing struct {
	events, first, last atomic.Int64
}

// note records an event and returns the time since the one before; zero for the first.
func (h *hearing) note(now time.Duration) time.Duration {
	before := time.Duration(h.last.Swap(int64(now)))
	if h.events.Add(1) == 1 {
		h.first.Store(int64(now))
		return 0
	}
	return now - before
}

// untilFirst returns the time from the start of the attempt to its first event; zero if there was none.
func (h *hearing) untilFirst(began time.Duration) time.Duration {
	if h.events.Load() == 0 {
		return 0
	}
	return time.Duration(h.first.Load()) - began
}

// silent reports whether the target has been silent for too long.
func (h *hearing) silent(now time.Duration) bool {
	limit := nextEvent
	if h.events.Load() == 0 {
		limit = firstEvent
	}
	return now-time.Duration(h.last.Load()) > limit
}

// attempt sends an item to its target and takes over the events. An attempt that is outpaced returns the target at which
// the item goes on, with a slot taken there.
func (c *Conductor) attempt(ctx context.Context, a assignment, h *hearing) (ending, router.Target) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h.last.Store(int64(c.Clock.Boot()))
	done := make(chan struct{})
	defer close(done)
	go c.watch(a.led.job, h, done, cancel)

	answer, fault := c.Caller.Call(ctx, c.call(a))
	if fault == forwarder.NoFault {
		defer answer.Body.Close() //nolint:errcheck // the body was read to its end or is dropped
	}
	if end := interruption(ctx); end != 0 {
		return end, router.Target{}
	}
	if end := verdict(answer, fault); end != whole {
		return end, router.Target{}
	}
	return c.read(ctx, a, answer, h)
}

// verdict returns how an attempt ends by the head of its answer, or whole if the events decide.
func verdict(answer forwarder.Answer, fault forwarder.Fault) ending {
	switch {
	case fault == forwarder.Unsent:
		return unreached
	case fault != forwarder.NoFault:
		return broken
	case answer.NotRun:
		return refused
	case answer.Status == statusUnprocessable:
		return impossible
	case answer.Status == statusFailed:
		return failed
	case answer.Status != statusOK:
		return broken
	default:
		return whole
	}
}

// interruption returns how an attempt ends that was cancelled by watch; zero if it was not.
func interruption(ctx context.Context) ending {
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return silent
	case errors.Is(context.Cause(ctx), errEnded):
		return stopped
	default:
		return 0
	}
}

// read takes over the events of an answer.
func (c *Conductor) read(ctx context.Context, a assignment, answer forwarder.Answer, h *hearing) (ending, router.Target) {
	job, spec := a.led.job, a.led.job.Spec()
	version := answer.Version
	c.Registrar.RecordVersion(a.target.ID, spec.Model, version)
	events := c.Opener.Open(answer.Body)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return whole, router.Target{}
		}
		if err != nil {
			if end := interruption(ctx); end != 0 {
				return end, router.Target{}
			}
			return broken, router.Target{}
		}
		if e.Version != 0 {
			version = e.Version
			c.Registrar.RecordVersion(a.target.ID, spec.Model, version)
		}
		now := c.Clock.Boot()
		if gap := h.note(now); gap > 0 {
			c.Registrar.RecordInterval(a.target.ID, gap, now)
		}
		if !job.Append(a.task.Index, e.Number, e.Data, version, a.route.SingleVersion) {
			if job.Finished() {
				return stopped, router.Target{}
			}
			return stale, router.Target{}
		}
		if h.events.Load() >= leastEvents && c.Registrar.IsSlow(a.target.ID, now) {
			if next, ok := c.faster(a, now); ok {
				return outpaced, next
			}
		}
	}
}

// faster takes a slot at a target that is not slow.
func (c *Conductor) faster(a assignment, now time.Duration) (router.Target, bool) {
	spec := a.led.job.Spec()
	return c.Router.Choose(router.Requirements{
		Service: a.target.Service, Zone: c.Zone, Region: c.Region, Spread: true,
		Avoid: append(c.Registrar.TargetsToAvoid(a.target.Service, spec.Model, spec.Least, now), c.Registrar.SlowTargets(a.target.Service, now)...),
	})
}

// watch cancels an attempt whose target is silent or whose job has ended.
func (c *Conductor) watch(j *batcher.Job, h *hearing, done <-chan struct{}, cancel context.CancelCauseFunc) {
	ticks := c.Clock.Every(watchPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-done:
			return
		case <-j.Ended():
			cancel(errEnded)
			return
		case <-ticks.C():
			if h.silent(c.Clock.Boot()) {
				cancel(errSilent)
				return
			}
		}
	}
}
