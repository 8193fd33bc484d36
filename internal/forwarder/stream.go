package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// forwardStream forwards a request whose answer is a stream of events. Events are sent to the caller as they arrive.
// If the stream breaks off, a resumable one continues at another target within the same answer; any other one ends.
func (x *exchange) forwardStream(ctx context.Context, sink Sink) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := x.Clock.After(x.deadline - x.Clock.Monotonic())
	defer timeout.Stop()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-timeout.C():
			cancel(context.DeadlineExceeded)
		case <-done:
		}
	}()
	if reason := x.bindStream(ctx); reason != "" {
		return x.result.notRun(reason)
	}
	p := progress{sink: sink}
	for {
		complete, retry := x.attemptStream(ctx, &p)
		switch {
		case complete:
			x.result.Outcome = Answered
			return x.result
		case p.callerLeft:
			x.result.Outcome = CallerLeft
			return x.result
		case ctx.Err() != nil:
			return x.interruptedStream(ctx, p)
		case retry:
			continue
		case p.begun:
			x.result.Outcome = Interrupted
			return x.result
		default:
			return x.failureResult()
		}
	}
}

// errEventsMissing is the error of an answer that was to continue a stream and leaves events out.
var errEventsMissing = errors.New("events are missing between the answers of two targets")

// progress records how much of a streamed answer was sent to the caller.
type progress struct {
	sink       Sink
	begun      bool
	callerLeft bool
	lastEvent  int
	hasEvent   bool
	// gaps is set once the number of an event did not follow that of the one before within one answer.
	gaps bool
}

// skips reports whether an event that another answer than the last event's begins with leaves events out.
func (p *progress) skips(e Event) bool { return p.hasEvent && !p.gaps && e.Number > p.lastEvent+1 }

// interruptedStream returns the result of a stream whose context ended.
func (x *exchange) interruptedStream(ctx context.Context, p progress) Result {
	switch {
	case callerLeft(ctx):
		x.result.Outcome = CallerLeft
	case p.begun:
		x.result.Outcome = Interrupted
	default:
		x.result.Outcome = TimedOut
	}
	return x.result
}

// attemptStream makes one attempt of a stream. It reports whether the answer is complete and, if not, whether another
// attempt may start or resume it.
func (x *exchange) attemptStream(ctx context.Context, p *progress) (complete, retry bool) {
	target, ok := x.awaitStreamTarget(ctx)
	if !ok {
		return false, false
	}
	defer x.endAttempt(target)
	began, sent := x.Clock.Monotonic(), sentAttempt{target: target, at: x.Clock.Now()}
	a, fault, stale := Send(ctx, x.TargetClient, func() Call {
		call := x.newCall(target)
		if p.hasEvent {
			call = call.WithResume(p.lastEvent)
		}
		return call
	})
	if stale {
		x.recordStale(target.ID)
	}
	attempt := Attempt{Target: target.ID, Status: a.Status, NotRun: a.NotRun, Fault: fault}
	if fault != NoFault || a.NotRun || a.Status >= 300 || !a.Stream {
		return x.attemptWithoutEvents(ctx, attempt, a, began, sent, p)
	}
	defer a.Body.Close() //nolint:errcheck // the answer was read, so the error changes nothing
	x.countRequest(sent.at)
	if x.route.Resumable && !x.ConfirmAnswer(ctx, target, a) {
		attempt.Fault = Broken
		attempt.Took = x.Clock.Monotonic() - began
		x.recordAttempt(ctx, sent, attempt)
		return false, ctx.Err() == nil
	}
	if !x.recordOrigin(ctx, target) {
		return false, false
	}
	if !p.begun {
		p.begun = true
		x.result.Status, x.result.Stamp = a.Status, a.Stamp
		p.sink.Begin(a.Status, a.Header, -1)
	}
	err := p.forward(x.Opener.Open(a.Body))
	if p.hasEvent {
		x.continueWith(target)
	}
	if p.callerLeft {
		return false, false
	}
	complete = errors.Is(err, io.EOF)
	if !complete {
		attempt.Fault = Broken
	}
	attempt.Took = x.Clock.Monotonic() - began
	x.recordAttempt(ctx, sent, attempt)
	return complete, !complete && x.route.Resumable && ctx.Err() == nil
}

// forward sends the events of one answer to the caller, without those that it has. It returns io.EOF at the end of a complete
// answer, and another error if it broke off or the caller left.
func (p *progress) forward(events Events) error {
	for first := true; ; first = false {
		e, err := events.Next()
		switch {
		case err != nil:
			return err
		case first && p.skips(e):
			return errEventsMissing
		case p.hasEvent && e.Number <= p.lastEvent:
			continue
		}
		p.gaps = p.gaps || !first && e.Number > p.lastEvent+1
		p.lastEvent, p.hasEvent = e.Number, true
		if err := p.sink.Write(e.Raw); err != nil {
			p.callerLeft = true
			return fmt.Errorf("write to the caller: %w", err)
		}
	}
}

// attemptWithoutEvents handles an attempt of a stream that has a fault, a refusal or an answer other than a stream.
// Its results are those of attemptStream.
func (x *exchange) attemptWithoutEvents(
	ctx context.Context, attempt Attempt, a Answer, began time.Duration, sent sentAttempt, p *progress,
) (complete, retry bool) {
	attempt.Took = x.Clock.Monotonic() - began
	x.recordAttempt(ctx, sent, attempt)
	mayHaveRun := attempt.Fault == Broken || attempt.Fault == NoFault && !attempt.NotRun
	if mayHaveRun {
		x.countRequest(sent.at)
	}
	if attempt.Fault != NoFault {
		return false, !mayHaveRun || x.route.Resumable
	}
	defer a.Body.Close() //nolint:errcheck // the answer is discarded or read, so the error changes nothing
	if !mayHaveRun || a.Status >= 500 && x.route.Resumable {
		return false, true
	}
	if p.begun {
		// Nothing of this answer belongs into the stream, which only another stream completes.
		return false, x.route.Resumable
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes+1))
	if err != nil || len(body) > maxBufferedBytes {
		return false, x.route.Resumable
	}
	x.result.Status, x.result.Stamp = a.Status, a.Stamp
	p.sink.Begin(a.Status, a.Header, int64(len(body)))
	if p.sink.Write(body) != nil {
		p.callerLeft = true
		return false, false
	}
	return true, false
}
