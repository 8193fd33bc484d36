package forwarder

import (
	"context"
	"errors"
	"io"
	"time"
)

// stream leads a request whose answer is a series of events. Events are passed on as they come. A stream that may be
// resumed goes on at another target within the same answer; any other ends where it broke off.
func (l *lead) stream(ctx context.Context, sink Sink) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	over := l.Clock.After(l.deadline - l.Clock.Boot())
	defer over.Stop()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-over.C():
			cancel(context.DeadlineExceeded)
		case <-done:
		}
	}()
	p := progress{sink: sink}
	for {
		whole, goOn := l.leg(ctx, &p)
		switch {
		case whole:
			l.result.Outcome = Answered
			return l.result
		case p.left:
			l.result.Outcome = CallerLeft
			return l.result
		case ctx.Err() != nil:
			return l.interrupted(ctx, p)
		case goOn:
			continue
		case p.begun:
			l.result.Outcome = Cut
			return l.result
		default:
			return l.failed()
		}
	}
}

// progress is how far the caller's answer has come.
type progress struct {
	sink  Sink
	begun bool
	left  bool
	after int
	some  bool
}

// interrupted returns the result of a stream whose context ended.
func (l *lead) interrupted(ctx context.Context, p progress) Result {
	switch {
	case !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		l.result.Outcome = CallerLeft
	case p.begun:
		l.result.Outcome = Cut
	default:
		l.result.Outcome = TimedOut
	}
	return l.result
}

// leg makes one attempt of a stream. It reports whether the answer is whole and, if not, whether another attempt may
// go on with it.
func (l *lead) leg(ctx context.Context, p *progress) (whole, goOn bool) {
	target, ok := l.choose()
	if !ok {
		return false, false
	}
	defer l.Router.Release(target.ID)
	call := l.call(target)
	if p.some {
		call = call.WithResume(p.after)
	}
	began, sent := l.Clock.Boot(), l.Clock.Now()
	a, fault := l.Caller.Call(ctx, call)
	try := Attempt{Target: target.ID, Status: a.Status, NotRun: a.NotRun, Fault: fault}
	if fault != NoFault || a.NotRun || a.Status >= 300 {
		return l.refusedLeg(try, a, began, sent, p)
	}
	defer a.Body.Close() //nolint:errcheck // a body that was read to its end has nothing to report
	l.count(sent)
	if !p.begun {
		p.begun = true
		l.result.Status, l.result.Stamp = a.Status, a.Stamp
		p.sink.Begin(a.Status, a.Header, -1)
	}
	events := l.Opener.Open(a.Body)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			try.Took = l.Clock.Boot() - began
			l.note(try)
			return true, false
		}
		if err != nil {
			try.Fault, try.Took = Broken, l.Clock.Boot()-began
			l.note(try)
			return false, l.route.Resumable && ctx.Err() == nil
		}
		if p.some && e.Number <= p.after {
			continue
		}
		p.after, p.some = e.Number, true
		if p.sink.Write(e.Raw) != nil {
			p.left = true
			return false, false
		}
	}
}

// refusedLeg ends an attempt of a stream that brought no event.
func (l *lead) refusedLeg(try Attempt, a Answer, began time.Duration, sent time.Time, p *progress) (whole, goOn bool) {
	try.Took = l.Clock.Boot() - began
	l.note(try)
	ran := try.Fault == Broken || try.Fault == NoFault && !try.NotRun
	if ran {
		l.count(sent)
	}
	if try.Fault != NoFault {
		return false, !ran || l.route.Resumable
	}
	defer a.Body.Close() //nolint:errcheck // the answer is dropped or short
	if !ran || a.Status >= 500 && l.route.Resumable {
		return false, true
	}
	if p.begun {
		return false, false
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, bufferLimit))
	if err != nil {
		return false, l.route.Resumable
	}
	l.result.Status, l.result.Stamp = a.Status, a.Stamp
	p.sink.Begin(a.Status, a.Header, int64(len(body)))
	if p.sink.Write(body) != nil {
		p.left = true
		return false, false
	}
	return true, false
}
