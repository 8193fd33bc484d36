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
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/retrier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/scheduler"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// job is a queued request with the state of its attempts. One worker owns it at a time.
type job struct {
	ctx context.Context
	// caller is the context of the submission. ctx ends with it, except for a job that other submissions may join.
	caller    context.Context
	cancel    context.CancelFunc
	request   Request
	admission admitter.Request
	answer    *Answer
	deadline  time.Duration
	item      scheduler.Item[*job]
	prefix    router.Prefix
	// queuedAt is the monotonic time at which the job was queued.
	queuedAt time.Duration
	// queueSpan is the trace span of the time in the queue.
	queueSpan trace.Span

	attempts      int
	mayHaveRun    bool
	failedTargets []identifier.Target
	// attemptTargets holds the target of each attempt by its number.
	attemptTargets []router.Target
	// reservedTargets are the targets that chooseIsolatedTarget reserved, so that no other suspected request runs on them.
	reservedTargets []identifier.Target
	claim           claimer.Claim
	progress        progress
	// release is the software version of the target that began the answer.
	release identifier.Release
	// hedges waits for the goroutines of hedged attempts.
	hedges sync.WaitGroup
}

// attemptOutcome is the outcome of one attempt.
type attemptOutcome struct {
	target identifier.Target
	event  retrier.Event
	final  streamer.Final
}

// tracer makes the spans of the queue and the attempts.
var tracer = otel.Tracer("github.com/mimosalb/mimosalb/internal/dispatcher")

// run makes the attempts of a queued job and ends the job with its result.
func (d *Dispatcher) run(ctx context.Context, j *job) {
	start := d.clock.Monotonic()
	j.queueSpan.End()
	stop := context.AfterFunc(ctx, j.cancel)
	defer stop()

	d.retryBudget.Earn()
	d.resumeBudget.Earn()
	result := d.runAttempts(j)
	result.Attempts = j.attempts
	result.Queued = start - j.queuedAt
	result.Took = d.clock.Monotonic() - start
	d.finish(j, result)
	j.hedges.Wait()
}

// finish ends a job with its result.
func (d *Dispatcher) finish(j *job, result Result) {
	d.admitter.Release(j.admission, j.progress.tokens)
	d.queue.Complete(j.item, j.progress.tokens, result.Took, d.clock.Monotonic())
	if key := j.request.claimKey(); key != "" {
		d.sharedCalls.Delete(key)
	}
	if result.RunState == NotRun && result.Reason != ReasonKeyReused && !d.confirmNotRun(j) {
		result.RunState = MayHaveRun
	}
	j.answer.finish(result)
	j.cancel()
	for _, f := range d.endHandlers {
		f(EndedRequest{Request: j.request, Result: result, Targets: j.attemptTargets})
	}
	d.openRequests.end()
}

// runAttempts makes attempts until the job has a result.
func (d *Dispatcher) runAttempts(j *job) Result {
	for {
		if j.ctx.Err() != nil || j.attempts == 0 && j.caller.Err() != nil {
			return j.abandonedResult()
		}
		target, ok := d.chooseTarget(j)
		if !ok {
			if j.ctx.Err() != nil {
				continue
			}
			return d.endWithoutTarget(j)
		}
		id := identifier.Attempt{Request: j.request.ID, Number: j.attempts}
		if result, done := d.claimAttempt(j, target, id); done {
			d.releaseTarget(j, target.ID)
			return result
		}
		if wait, held := d.isolator.HeldBack(j.request.Call.Fingerprint, d.clock.Now()); held {
			d.releaseTarget(j, target.ID)
			d.evidenceHandler(j.ctx)
			return failure(j.runState(), ReasonCrashesTargets).withRetryAfter(wait)
		}
		outcome := d.runAttempt(j, target, id)
		if result, done := d.evaluateOutcome(j, outcome); done {
			return result
		}
		j.failedTargets = append(j.failedTargets, outcome.target)
	}
}

// noTargetRetryAfter is the retry hint when no target takes the request.
const noTargetRetryAfter = time.Second

// evaluateOutcome turns the outcome of an attempt into the job's result. It returns false if another attempt follows.
func (d *Dispatcher) evaluateOutcome(j *job, outcome attemptOutcome) (Result, bool) {
	d.recordCrash(outcome.target, outcome.event, outcome.final)
	if outcome.event == retrier.Completed {
		d.isolator.Clear(j.request.Call.Fingerprint)
	}
	_, held := d.isolator.HeldBack(j.request.Call.Fingerprint, d.clock.Now())
	state := retrier.RequestState{Once: j.request.Service.Once, Ran: j.mayHaveRun, Attempts: j.attempts, Suspect: held}
	budget := d.retryBudget
	if j.resumable() && j.progress.tokens > 0 {
		budget = d.resumeBudget
	}
	step := retrier.Decide(state, outcome.event, budget)
	j.mayHaveRun = j.mayHaveRun || outcome.event.MayHaveRun()
	suspected := held || outcome.event == retrier.Crashed && j.request.Call.Fingerprint != (isolator.Fingerprint{})
	if step != retrier.Retry && suspected {
		d.evidenceHandler(j.ctx)
	}
	switch step {
	case retrier.Retry:
		return Result{}, false
	case retrier.Deliver:
		return Result{RunState: HasRun, Final: outcome.final, Target: outcome.target}, true
	case retrier.RefuseNotRun:
		return failure(NotRun, ReasonTargetsBusy).withRetryAfter(noTargetRetryAfter), true
	case retrier.ReportRan:
		return failure(HasRun, ReasonTargetFailed).withTarget(outcome.target), true
	default:
		if outcome.event == retrier.Abandoned {
			return j.abandonedResult().withTarget(outcome.target), true
		}
		return failure(MayHaveRun, lostReason(outcome.event, held)).withTarget(outcome.target), true
	}
}

// recordCrash records the crash of a target as evidence if the attempt ended by one.
func (d *Dispatcher) recordCrash(target identifier.Target, event retrier.Event, final streamer.Final) {
	if event == retrier.Crashed {
		now := d.clock.Now()
		d.isolator.Record(final.Crash.WithObservation(target, now), now)
	}
}

// runAttempt makes one attempt on a target, possibly with a hedge on another target, and delivers the answer of the
// attempt that startAttempt takes.
func (d *Dispatcher) runAttempt(j *job, target router.Target, id identifier.Attempt) attemptOutcome {
	ctx, span := tracer.Start(j.ctx, "attempt", trace.WithAttributes(
		attribute.String("mimosalb.attempt", id.String()), attribute.String("mimosalb.target", string(target.ID))))
	defer span.End()
	started := d.startAttempt(ctx, j, target, id)
	defer d.releaseTarget(j, started.follower.target.ID)
	defer started.cancel()
	if j.progress.tokens == 0 {
		j.release = started.follower.target.Release
	}
	event, final := started.event, started.final
	deliver := func(c streamer.Chunk) bool {
		started.follower.read += len(c.Pieces)
		j.deliver(started.discard, c.Pieces)
		return false
	}
	if event == retrier.Running {
		deliver(started.chunk)
		if started.chunk.Done() {
			event, final = started.follower.finalEvent(started.chunk.Final)
		} else {
			event, final = started.follower.follow(started.ctx, event, deliver)
		}
	}
	if event == retrier.Completed {
		final = j.completeAnswer(started.discard, final)
	}
	span.SetAttributes(attribute.String("mimosalb.event", event.String()))
	return attemptOutcome{target: started.follower.target.ID, event: event, final: final}
}

// abandonedResult returns the result of a job that was ended by its caller, its deadline or the stop of the entry.
func (j *job) abandonedResult() Result {
	ended := j.ctx
	if ended.Err() == nil {
		ended = j.caller
	}
	switch cause := context.Cause(ended); {
	case errors.Is(cause, ErrKeyWithdrawn):
		return failure(j.runState(), ReasonKeyWithdrawn)
	case errors.Is(cause, context.DeadlineExceeded):
		return failure(j.runState(), ReasonTimeout)
	case j.caller.Err() == nil:
		return failure(j.runState(), ReasonStopping)
	default:
		return failure(j.runState(), ReasonCallerGone)
	}
}

// runState returns MayHaveRun if an attempt may have run, otherwise NotRun.
func (j *job) runState() RunState {
	if j.mayHaveRun {
		return MayHaveRun
	}
	return NotRun
}

func failure(state RunState, reason string) Result {
	return Result{RunState: state, Reason: reason, Final: streamer.Final{}.WithEnd(streamer.Failed, reason)}
}

func (r Result) withRetryAfter(d time.Duration) Result {
	r.RetryAfter = d
	return r
}

func (r Result) withTarget(id identifier.Target) Result {
	r.Target = id
	return r
}

// lostReason returns the reason for an answer that did not arrive whole.
func lostReason(event retrier.Event, held bool) string {
	switch {
	case held:
		return ReasonCrashesTargets
	case event == retrier.Crashed:
		return ReasonTargetCrashed
	case event == retrier.Invalid:
		return ReasonAnswerInvalid
	case event == retrier.Stopped, event == retrier.PlannedStop:
		return ReasonTargetStopped
	default:
		return ReasonAnswerLost
	}
}

// resumable reports whether a broken answer can be continued on another target, which holds only for text of tokens.
func (j *job) resumable() bool { return j.request.Service.Kind == configurator.Model }
