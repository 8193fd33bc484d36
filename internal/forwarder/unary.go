package forwarder

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/reserver"
	"github.com/mimosalb/mimosalb/internal/router"
)

// endedAttempt is an attempt that has ended: its record, and the answer if there is one.
type endedAttempt struct {
	attempt Attempt
	sent    sentAttempt
	// stale is set if the attempt is the repeat of one that met a closed connection.
	stale  bool
	answer Answer
	// body is the first part of the body if hasMore is set, otherwise the complete body.
	body    []byte
	hasMore bool
	// release closes the body of the answer and cancels the context of the attempt.
	release context.CancelFunc
}

// deliverable reports whether this answer is sent to the caller without another attempt.
func (e endedAttempt) deliverable() bool {
	return e.attempt.Fault == NoFault && !e.attempt.NotRun && e.answer.Status < 500
}

// mayHaveRun reports whether the target may have run the request.
func (e endedAttempt) mayHaveRun() bool {
	return e.attempt.Fault == Broken || e.attempt.Fault == NoFault && !e.attempt.NotRun
}

// unaryExchange is an exchange with one answer, and its attempts. A hedged request has several running at a time.
type unaryExchange struct {
	*exchange
	ctx           context.Context
	sink          Sink
	endedAttempts chan endedAttempt
	running       int
	// runningAttempts are the attempts that have not ended.
	runningAttempts map[identifier.Target]runningAttempt
	// failedAttempt is the last attempt whose answer has a failure status; its answer is sent if no attempt succeeds.
	failedAttempt *endedAttempt
}

// runningAttempt is an attempt that has not ended, with the monotonic time at which it began.
type runningAttempt struct {
	sentAttempt
	began time.Duration
}

// forwardUnary forwards a request that has one answer. A repeatable request that has no answer after the hedge delay
// is also sent to a second target.
func (x *exchange) forwardUnary(ctx context.Context, sink Sink) Result {
	r := &unaryExchange{
		exchange: x, ctx: ctx, sink: sink, endedAttempts: make(chan endedAttempt, max(x.route.MaxAttempts, 1)),
		runningAttempts: make(map[identifier.Target]runningAttempt),
	}
	defer func() { go releaseRemaining(r.endedAttempts, r.running) }()
	if !r.startNext() {
		return x.failureResult()
	}
	timeout := x.Clock.After(x.deadline - x.Clock.Monotonic())
	defer timeout.Stop()
	hedge := x.Clock.After(max(minHedgeDelay, time.Duration(float64(x.route.LatencyGoal)*hedgeFraction)))
	defer hedge.Stop()
	for {
		select {
		case e := <-r.endedAttempts:
			if done, result := r.handleEndedAttempt(e); done {
				return result
			}
		case <-hedge.C():
			if r.repeatable() && !r.suspected() {
				r.startNext()
			}
		case <-timeout.C():
			return r.interrupted(TimedOut)
		case <-ctx.Done():
			return r.interrupted(CallerLeft)
		}
	}
}

// interrupted returns the result of a request that ends while attempts are running. The request is counted, because
// their targets have probably begun to run it.
func (r *unaryExchange) interrupted(o Outcome) Result {
	r.result.Outcome = o
	for id, a := range r.runningAttempts {
		r.countRequest(a.at)
		ended := Attempt{Target: id, Fault: Pending, Took: r.Clock.Monotonic() - a.began}
		r.observe(r.ctx, a.sentAttempt, ended)
		r.result.Attempts = append(r.result.Attempts, ended)
	}
	return r.result
}

func (r *unaryExchange) repeatable() bool { return r.route.Kind == navigator.Repeatable }

// startNext starts another attempt. It reports false if no attempt or no target is left.
func (r *unaryExchange) startNext() bool {
	choose := r.chooseTarget
	if r.running == 0 {
		// No attempt can end while this one waits for its target.
		choose = func() (router.Target, bool) { return r.awaitTarget(r.ctx) }
	}
	target, ok := choose()
	if !ok {
		return false
	}
	r.running++
	sent := sentAttempt{target: target, at: r.Clock.Now()}
	r.runningAttempts[target.ID] = runningAttempt{sentAttempt: sent, began: r.Clock.Monotonic()}
	r.startAttempt(r.ctx, sent, r.endedAttempts)
	return true
}

// handleEndedAttempt decides what follows from the end of an attempt: the answer, another attempt or the failure. It
// reports whether the request has ended.
func (r *unaryExchange) handleEndedAttempt(e endedAttempt) (bool, Result) {
	r.running--
	if e.attempt.Fault != NoFault && callerLeft(r.ctx) {
		// The end of the caller's context ended the attempt; both may become visible in either order.
		e.release()
		return true, r.interrupted(CallerLeft)
	}
	delete(r.runningAttempts, e.attempt.Target)
	if e.stale {
		r.recordStale(e.attempt.Target)
	}
	r.recordAttempt(r.ctx, e.sent, e.attempt)
	if e.mayHaveRun() {
		r.countRequest(e.sent.at)
	}
	if e.deliverable() {
		return true, r.deliver(r.ctx, e, r.sink)
	}
	if e.mayHaveRun() && e.attempt.Fault == NoFault {
		r.failedAttempt = &e
	}
	e.release()
	if (!e.mayHaveRun() || r.repeatable()) && r.startNext() || r.running > 0 {
		return false, Result{}
	}
	if r.failedAttempt != nil {
		return true, r.deliver(r.ctx, *r.failedAttempt, r.sink)
	}
	return true, r.failureResult()
}

// releaseRemaining waits for the attempts that are still running when a request ends and releases them.
func releaseRemaining(endedAttempts <-chan endedAttempt, running int) {
	for range running {
		e := <-endedAttempts
		e.release()
	}
}

// startAttempt sends the request to a target in a new goroutine, which sends the ended attempt to endedAttempts.
func (x *exchange) startAttempt(ctx context.Context, sent sentAttempt, endedAttempts chan<- endedAttempt) {
	ctx, cancel := context.WithCancel(ctx)
	id := sent.target.ID
	began := x.Clock.Monotonic()
	go func() {
		a, fault, stale := Send(ctx, x.TargetClient, func() Call { return x.newCall(sent.target) })
		e := endedAttempt{answer: a, sent: sent, stale: stale, attempt: Attempt{Target: id, Status: a.Status, NotRun: a.NotRun, Fault: fault}}
		e.release = func() {
			if e.answer.Body != nil {
				_ = e.answer.Body.Close() // the answer was read or is discarded with its connection, so the error changes nothing
			}
			cancel()
		}
		if fault == NoFault {
			e = e.read(x.Answers)
		}
		e.attempt.Took = x.Clock.Monotonic() - began
		x.endAttempt(sent.target)
		endedAttempts <- e
	}()
}

// read reads the body up to maxBufferedBytes, or up to smallBufferedBytes if there is no memory for more. If the body breaks off,
// the attempt gets the fault Broken.
func (e endedAttempt) read(memory *reserver.Reserver) endedAttempt {
	limit := int64(smallBufferedBytes)
	var err error
	e.body, err = io.ReadAll(io.LimitReader(e.answer.Body, limit))
	if err == nil && int64(len(e.body)) == limit && e.reserve(memory) {
		var rest []byte
		rest, err = io.ReadAll(io.LimitReader(e.answer.Body, maxBufferedBytes-limit))
		e.body, limit = append(e.body, rest...), maxBufferedBytes
	}
	switch {
	case err != nil || e.answer.Length >= 0 && int64(len(e.body)) != min(e.answer.Length, limit):
		e.attempt.Fault = Broken
	case int64(len(e.body)) == limit:
		e.hasMore = true
	}
	return e
}

// reserve reserves the memory for maxBufferedBytes until the release of the attempt.
func (e *endedAttempt) reserve(memory *reserver.Reserver) bool {
	if memory == nil {
		return true
	}
	free, ok := memory.TryReserve(maxBufferedBytes)
	if !ok {
		return false
	}
	release, once := e.release, sync.OnceFunc(free)
	e.release = func() {
		release()
		once()
	}
	return true
}

// deliver sends an answer to the caller.
func (x *exchange) deliver(ctx context.Context, e endedAttempt, sink Sink) Result {
	defer e.release()
	x.result.Outcome, x.result.Status, x.result.Stamp = Answered, e.answer.Status, e.answer.Stamp
	length := int64(len(e.body))
	if e.hasMore {
		length = e.answer.Length
	}
	sink.Begin(e.answer.Status, e.answer.Header, length)
	if err := sink.Write(e.body); err != nil {
		x.result.Outcome = CallerLeft
		return x.result
	}
	if !e.hasMore {
		return x.result
	}
	return x.copyRest(ctx, e, sink)
}

// copyRest sends the rest of an answer's body to the caller. A body that has not ended when the time of the request is up
// is broken off, since it may never end.
func (x *exchange) copyRest(ctx context.Context, e endedAttempt, sink Sink) Result {
	timeout := x.Clock.After(x.deadline - x.Clock.Monotonic())
	defer timeout.Stop()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-timeout.C():
			e.release()
		case <-done:
		}
	}()
	buffer := make([]byte, copyBufferBytes)
	for x.Clock.Monotonic() < x.deadline {
		n, err := e.answer.Body.Read(buffer)
		if n > 0 && sink.Write(buffer[:n]) != nil {
			x.result.Outcome = CallerLeft
			return x.result
		}
		if errors.Is(err, io.EOF) {
			return x.result
		}
		if err != nil {
			x.observe(ctx, e.sent, Attempt{Fault: Broken})
			break
		}
	}
	x.result.Outcome = Interrupted
	return x.result
}
