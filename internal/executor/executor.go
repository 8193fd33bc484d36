// Package executor runs admitted attempts on the target of the agent.
package executor

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

// Target runs calls. Run passes the pieces of the answer to emit and returns the final record. It returns only after
// the target has finished or failed, or has been told to stop because ctx ended.
type Target interface {
	Run(ctx context.Context, id identifier.Attempt, call Call, emit func(streamer.Piece)) streamer.Final
}

// job is an admitted attempt that is queued or running.
type job struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	attempt identifier.Attempt
	call    Call
	stream  *streamer.Stream
}

// Executor runs admitted attempts on a pool of workers.
//
// Invariant: every admitted attempt gets exactly one final record.
type Executor struct {
	gate         *gatekeeper.Gatekeeper
	target       Target
	clock        timer.Service
	queue        *worker.Queue[job]
	pool         *worker.Pool[job]
	jobs         container.Table[container.Connection, identifier.Attempt, job]
	crashTracker isolator.CrashTracker
	region       identifier.Region
	endHandlers  []func(EndedAttempt)
}

// Causes of the cancellation of an attempt's context.
var (
	errCancelled   = errors.New("cancelled")
	errPlannedStop = errors.New("moved")
	errStopped     = errors.New("agent stopped")
)

// EndedAttempt is an attempt that has ended, with its final record.
type EndedAttempt struct {
	Attempt identifier.Attempt
	Call    Call
	Final   streamer.Final
}

// Option sets a property of an Executor.
type Option func(*Executor)

// WithRegion sets the region of the target. The bytes of calls from other regions are counted, since traffic between
// regions is charged by volume.
func WithRegion(r identifier.Region) Option { return func(e *Executor) { e.region = r } }

// WithEndHandler adds a function that is called after each attempt and before its final record can be read, so that a
// reader of the final record also finds what the function stored.
func WithEndHandler(f func(EndedAttempt)) Option {
	return func(e *Executor) { e.endHandlers = append(e.endHandlers, f) }
}

// NewExecutor starts size workers that run the attempts admitted by gate on target.
func NewExecutor(gate *gatekeeper.Gatekeeper, target Target, clock timer.Service, size int, opts ...Option) *Executor {
	e := &Executor{gate: gate, target: target, clock: clock, queue: worker.NewQueue[job](size)}
	for _, o := range opts {
		o(e)
	}
	e.pool = worker.NewPool(size, e.queue, e.run)
	return e
}

// Start offers an attempt to the gatekeeper and queues it if it is admitted. The attempt is cancelled after timeout.
// ctx carries the trace only; its end does not stop the attempt.
func (e *Executor) Start(ctx context.Context, offer gatekeeper.Offer, call Call, timeout time.Duration) gatekeeper.Verdict {
	verdict, stream := e.gate.Admit(offer, e.clock.Now())
	if verdict != gatekeeper.Admitted {
		return verdict
	}
	parent, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	runCtx, _ := timer.WithTimeout(parent, e.clock, timeout)
	j := job{ctx: runCtx, cancel: cancel, attempt: offer.Attempt, call: call, stream: stream}
	e.jobs.Put(offer.Attempt, j)
	if !e.queue.Offer(j) {
		e.finish(j, streamer.Final{}.WithEnd(streamer.Unreached, "queue-full"), 0)
	}
	return gatekeeper.Admitted
}

// CancelRepeatable cancels the attempts that can be resumed on another target. Calls that may not be repeated run to
// their end.
func (e *Executor) CancelRepeatable() {
	for _, j := range e.jobs.Values() {
		if !j.call.Once {
			j.cancel(errPlannedStop)
		}
	}
}

// Cancel stops an attempt if it is still queued or running.
func (e *Executor) Cancel(a identifier.Attempt) {
	if j, ok := e.jobs.Get(a); ok {
		j.cancel(errCancelled)
	}
}

// Close cancels the running attempts and waits for the workers.
func (e *Executor) Close() { e.pool.Close() }

func (e *Executor) run(ctx context.Context, j job) {
	stop := context.AfterFunc(ctx, func() { j.cancel(errStopped) })
	defer stop()
	if j.ctx.Err() != nil {
		e.finish(j, unstartedFinal(j.ctx), 0)
		return
	}
	start := e.clock.Monotonic()
	e.crashTracker.Begin(j.attempt, j.call.Fingerprint)
	final := e.target.Run(j.ctx, j.attempt, j.call, func(p streamer.Piece) { j.stream.Append(p) })
	crash := e.crashTracker.End(j.attempt, final.End == streamer.Crashed, e.clock.Now())
	switch final.End {
	case streamer.Crashed:
		final = final.WithCrash(crash)
	case streamer.Cancelled:
		final = cancelledFinal(j.ctx, final)
	default:
	}
	e.finish(j, final, e.clock.Monotonic()-start)
}

// unstartedFinal returns the final record of an attempt that was cancelled before the target got it. An attempt
// that a planned stop cancelled is resumed on another target without using the retry budget.
func unstartedFinal(ctx context.Context) streamer.Final {
	if errors.Is(context.Cause(ctx), errPlannedStop) {
		return streamer.Final{}.WithEnd(streamer.PlannedStop, "agent-stopping")
	}
	return streamer.Final{}.WithEnd(streamer.Unreached, "not-started")
}

// cancelledFinal returns the final record of a cancelled attempt with the reason for its cancellation.
func cancelledFinal(ctx context.Context, final streamer.Final) streamer.Final {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errPlannedStop):
		return final.WithEnd(streamer.PlannedStop, "agent-stopping")
	case errors.Is(cause, errStopped):
		return final.WithEnd(streamer.Cancelled, "agent-stopped")
	case errors.Is(cause, context.DeadlineExceeded):
		return final.WithEnd(streamer.Cancelled, "deadline")
	default:
		return final
	}
}

func (e *Executor) finish(j job, final streamer.Final, took time.Duration) {
	j.cancel(nil)
	final, size := j.stream.FinalWithCounts(final)
	crossRegion := identifier.Bytes(0)
	if from := j.call.Origin.Region; from != "" && from != e.region {
		crossRegion = j.call.Size() + size
	}
	final = final.WithUsage(took, crossRegion)
	for _, f := range e.endHandlers {
		f(EndedAttempt{Attempt: j.attempt, Call: j.call, Final: final})
	}
	e.jobs.Delete(j.attempt)
	e.gate.Free(j.attempt)
	j.stream.Finish(final)
	e.gate.End(j.attempt, e.clock.Now())
}
