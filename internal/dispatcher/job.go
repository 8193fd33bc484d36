package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/mimosalb/mimosalb/internal/admitter"
	"github.com/mimosalb/mimosalb/internal/claimer"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/retrier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/scheduler"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// job is a queued request with the state of its attempts. One worker owns it at a time.
type job struct {
	ctx context.Context
	// caller is the context of the submission. ctx ends with it, except for a job that others may join.
	caller  context.Context
	cancel  context.CancelFunc
	request Request
	ask     admitter.Request
	answer  *Answer
	latest  time.Duration
	item    scheduler.Item[*job]
	prefix  router.Prefix
	// queued is when the job was queued, and waiting the span of its wait.
	queued  time.Duration
	waiting trace.Span

	attempts int
	ran      bool
	used     []identifier.Target
	// tried holds the target of each attempt by its number.
	tried []router.Target
	// entered are the targets that the job keeps other suspected requests away from.
	entered  []identifier.Target
	claim    claimer.Claim
	progress progress
	// losers waits for hedged attempts that were not taken.
	losers sync.WaitGroup
}

// trial is how one attempt came out.
type trial struct {
	target identifier.Target
	event  retrier.Event
	final  streamer.Final
}

// tracer makes the spans of the queue and the attempts.
var tracer = otel.Tracer("github.com/mimosalb/mimosalb/internal/dispatcher")

// run leads a job to its result.
func (d *Dispatcher) run(ctx context.Context, j *job) {
	start := d.clock.Boot()
	j.waiting.End()
	stop := context.AfterFunc(ctx, j.cancel)
	defer stop()

	d.budget.Earn()
	d.resumes.Earn()
	result := d.attempt(j)
	result.Attempts = j.attempts
	result.Queued = start - j.queued
	result.Took = d.clock.Boot() - start
	d.finish(j, result)
	j.losers.Wait()
}

// finish ends a job with its result.
func (d *Dispatcher) finish(j *job, result Result) {
	d.admitter.Release(j.ask, j.progress.tokens)
	d.queue.Complete(j.item, j.progress.tokens, result.Took, d.clock.Boot())
	if key := j.request.key(); key != "" {
		d.shares.Delete(key)
	}
	if result.RunState == NotRun && result.Reason != ReasonKeyReused && !d.provenNotRun(j) {
		result.RunState = MayHaveRun
	}
	j.answer.finish(result)
	j.cancel()
	for _, f := range d.ended {
		f(EndedRequest{Request: j.request, Result: result, Targets: j.tried})
	}
	d.open.end()
}

// attempt makes attempts until one step is final.
func (d *Dispatcher) attempt(j *job) Result {
	for {
		if j.ctx.Err() != nil || j.attempts == 0 && j.caller.Err() != nil {
			return j.abandoned()
		}
		target, ok := d.choose(j)
		if !ok {
			if j.ctx.Err() != nil {
				continue
			}
			return failure(j.notRun(), ReasonNoTarget).withRetryAfter(noTargetRetry)
		}
		id := identifier.Attempt{Request: j.request.ID, Number: j.attempts}
		if result, done := d.claimFor(j, target, id); done {
			d.leave(j, target.ID)
			return result
		}
		if wait, held := d.isolator.Held(j.request.Call.Fingerprint, d.clock.Now()); held {
			d.leave(j, target.ID)
			d.held(j.ctx)
			return failure(j.notRun(), ReasonCrashesTargets).withRetryAfter(wait)
		}
		t := d.try(j, target, id)
		if result, done := d.conclude(j, t); done {
			return result
		}
		j.used = append(j.used, t.target)
	}
}

// noTargetRetry is the retry hint when no target takes the request.
const noTargetRetry = time.Second

// conclude turns the outcome of an attempt into the job's result, unless another attempt follows.
func (d *Dispatcher) conclude(j *job, t trial) (Result, bool) {
	d.witness(t.target, t.event, t.final)
	if t.event == retrier.Completed {
		d.isolator.Clear(j.request.Call.Fingerprint)
	}
	_, held := d.isolator.Held(j.request.Call.Fingerprint, d.clock.Now())
	if held {
		d.held(j.ctx)
	}
	situation := retrier.RequestState{Once: j.request.Service.Once, Ran: j.ran, Attempts: j.attempts, Suspect: held}
	budget := d.budget
	if j.resumable() && j.progress.tokens > 0 {
		budget = d.resumes
	}
	step := retrier.Decide(situation, t.event, budget)
	j.ran = j.ran || t.event.MayHaveRun()
	switch step {
	case retrier.Retry:
		return Result{}, false
	case retrier.Deliver:
		return Result{RunState: HasRun, Final: t.final, Target: t.target}, true
	case retrier.RefuseNotRun:
		return failure(NotRun, ReasonRefused).withRetryAfter(noTargetRetry), true
	case retrier.ReportRan:
		return failure(HasRun, ReasonTarget).withTarget(t.target), true
	default:
		if t.event == retrier.Abandoned {
			return j.abandoned().withTarget(t.target), true
		}
		return failure(MayHaveRun, lostReason(t.event, held)).withTarget(t.target), true
	}
}

// witness records the crash that an attempt ended with.
func (d *Dispatcher) witness(target identifier.Target, event retrier.Event, final streamer.Final) {
	if event == retrier.Crashed {
		now := d.clock.Now()
		d.isolator.Record(final.Crash.WithObservation(target, now), now)
	}
}

// try makes one attempt on a target, and perhaps a hedge on another, and follows the answer of the one that begins.
func (d *Dispatcher) try(j *job, target router.Target, id identifier.Attempt) trial {
	ctx, span := tracer.Start(j.ctx, "attempt", trace.WithAttributes(
		attribute.String("mimosalb.attempt", id.String()), attribute.String("mimosalb.target", string(target.ID))))
	defer span.End()
	l := d.begin(ctx, j, target, id)
	defer d.leave(j, l.follower.target.ID)
	defer l.cancel()
	event, final := l.event, l.final
	deliver := func(c streamer.Chunk) bool {
		l.follower.read += len(c.Pieces)
		j.deliver(l.discard, c.Pieces)
		return false
	}
	if event == retrier.Running {
		deliver(l.chunk)
		if l.chunk.Done() {
			event, final = l.follower.end(l.chunk.Final)
		} else {
			event, final = l.follower.pursue(l.ctx, event, deliver)
		}
	}
	if event == retrier.Completed {
		final = j.whole(l.discard, final)
	}
	span.SetAttributes(attribute.String("mimosalb.event", event.String()))
	return trial{target: l.follower.target.ID, event: event, final: final}
}

// abandoned is the result of a job that its caller, its deadline or the entry has ended.
func (j *job) abandoned() Result {
	ended := j.ctx
	if ended.Err() == nil {
		ended = j.caller
	}
	switch cause := context.Cause(ended); {
	case errors.Is(cause, ErrKeyWithdrawn):
		return failure(j.notRun(), ReasonKeyWithdrawn)
	case errors.Is(cause, context.DeadlineExceeded):
		return failure(j.notRun(), ReasonTimeout)
	case j.caller.Err() == nil:
		return failure(j.notRun(), ReasonStopping)
	default:
		return failure(j.notRun(), ReasonCaller)
	}
}

// notRun returns NotRun unless an attempt may have run.
func (j *job) notRun() RunState {
	if j.ran {
		return MayHaveRun
	}
	return NotRun
}

func failure(ran RunState, reason string) Result {
	return Result{RunState: ran, Reason: reason, Final: streamer.Final{}.WithEnd(streamer.Failed, reason)}
}

func (r Result) withRetryAfter(d time.Duration) Result {
	r.RetryAfter = d
	return r
}

func (r Result) withTarget(id identifier.Target) Result {
	r.Target = id
	return r
}

// lostReason is the reason for an answer that will not come any more.
func lostReason(event retrier.Event, held bool) string {
	switch {
	case held:
		return ReasonCrashesTargets
	case event == retrier.Crashed:
		return ReasonCrashed
	case event == retrier.Stopped, event == retrier.Moved:
		return ReasonStopped
	default:
		return ReasonLost
	}
}

// resumable reports whether a broken answer can go on at another target: only text made of tokens can.
func (j *job) resumable() bool { return j.request.Service.Kind == configurator.Model }
