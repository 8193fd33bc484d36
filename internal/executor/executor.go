// Package executor runs the attempts that pass the gate on the target beside the agent.
package executor

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

// Target runs calls. Run gives the pieces of the answer to emit and returns the final record. It returns only after
// the target has finished or failed, or has been told to stop because ctx ended.
type Target interface {
	Run(ctx context.Context, id identifier.Attempt, call Call, emit func(streamer.Piece)) streamer.Final
}

// job is an admitted attempt on its way to the target.
type job struct {
	ctx     context.Context
	cancel  context.CancelFunc
	attempt identifier.Attempt
	call    Call
	stream  *streamer.Stream
}

// Executor runs admitted attempts on a pool of workers.
//
// Invariant: every admitted attempt gets exactly one final record.
type Executor struct {
	gate   *gatekeeper.Gatekeeper
	target Target
	clock  timer.Service
	queue  *worker.Queue[job]
	pool   *worker.Pool[job]
	jobs   container.Table[container.Connection, identifier.Attempt, job]
	region identifier.Region
	ended  func(Ended)
}

// Ended describes an attempt that has ended.
type Ended struct {
	Attempt identifier.Attempt
	Call    Call
	Final   streamer.Final
}

// Option sets a property of an Executor.
type Option func(*Executor)

// WithRegion sets the region of the target. Calls from other regions are charged by volume.
func WithRegion(r identifier.Region) Option { return func(e *Executor) { e.region = r } }

// WithEnded sets a function that is called after each attempt and before its final record can be read, so that the
// reader of the record finds whatever the function kept.
func WithEnded(f func(Ended)) Option { return func(e *Executor) { e.ended = f } }

// NewExecutor starts size workers that run what gate admits on target.
func NewExecutor(gate *gatekeeper.Gatekeeper, target Target, clock timer.Service, size int, opts ...Option) *Executor {
	e := &Executor{gate: gate, target: target, clock: clock, queue: worker.NewQueue[job](size)}
	for _, o := range opts {
		o(e)
	}
	e.pool = worker.NewPool(size, e.queue, e.run)
	return e
}

// Start offers an attempt to the gate and queues it when it is admitted. The attempt is cancelled after timeout. ctx
// carries the trace only; its end does not stop the attempt.
func (e *Executor) Start(ctx context.Context, offer gatekeeper.Offer, call Call, timeout time.Duration) gatekeeper.Verdict {
	verdict, stream := e.gate.Admit(offer, e.clock.Now())
	if verdict != gatekeeper.Admitted {
		return verdict
	}
	runCtx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), e.clock, timeout)
	j := job{ctx: runCtx, cancel: cancel, attempt: offer.Attempt, call: call, stream: stream}
	e.jobs.Put(offer.Attempt, j)
	if !e.queue.Offer(j) {
		e.finish(j, streamer.Final{}.WithEnd(streamer.Failed, "queue-full"), 0)
	}
	return gatekeeper.Admitted
}

// Cancel stops an attempt if it is still queued or running.
func (e *Executor) Cancel(a identifier.Attempt) {
	if j, ok := e.jobs.Get(a); ok {
		j.cancel()
	}
}

// Close cancels what runs and waits for the workers.
func (e *Executor) Close() { e.pool.Close() }

func (e *Executor) run(ctx context.Context, j job) {
	stop := context.AfterFunc(ctx, j.cancel)
	defer stop()
	if j.ctx.Err() != nil {
		e.finish(j, streamer.Final{}.WithEnd(streamer.Cancelled, "cancelled"), 0)
		return
	}
	start := e.clock.Boot()
	final := e.target.Run(j.ctx, j.attempt, j.call, func(p streamer.Piece) { j.stream.Append(p) })
	e.finish(j, final, e.clock.Boot()-start)
}

func (e *Executor) finish(j job, final streamer.Final, took time.Duration) {
	j.cancel()
	final, size := j.stream.Counted(final)
	cross := identifier.Bytes(0)
	if from := j.call.Origin.Region; from != "" && from != e.region {
		cross = j.call.Size() + size
	}
	final = final.WithUsage(took, cross)
	if e.ended != nil {
		e.ended(Ended{Attempt: j.attempt, Call: j.call, Final: final})
	}
	e.jobs.Delete(j.attempt)
	e.gate.End(j.attempt, e.clock.Now())
	j.stream.Finish(final)
}
