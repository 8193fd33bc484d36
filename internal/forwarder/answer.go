package forwarder

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/router"
)

// ended is an attempt of a request as it ended.
type ended struct {
	try    Attempt
	sent   time.Time
	answer Answer
	// body is the whole body, or its beginning if rest is set.
	body []byte
	rest bool
	// release ends the attempt's context.
	release context.CancelFunc
}

// good reports whether the caller gets this answer without another attempt.
func (e ended) good() bool { return e.try.Fault == NoFault && !e.try.NotRun && e.answer.Status < 500 }

// ran reports whether the target may have run the request.
func (e ended) ran() bool { return e.try.Fault == Broken || e.try.Fault == NoFault && !e.try.NotRun }

// race is a request with the attempts that are on their way.
type race struct {
	*lead
	ctx     context.Context
	sink    Sink
	ends    chan ended
	running int
	// open are the attempts that have not ended.
	open map[identifier.Target]Attempt
	// failure is an answer that said that the request failed; the caller gets it if there is no better one.
	failure *ended
}

// answer leads a request with one answer. A repeatable request that gets none in time is sent to a second target too.
func (l *lead) answer(ctx context.Context, sink Sink) Result {
	r := &race{lead: l, ctx: ctx, sink: sink, ends: make(chan ended, max(l.route.MaxAttempts, 1)), open: make(map[identifier.Target]Attempt)}
	defer func() { go drop(r.ends, r.running) }()
	if !r.start() {
		return l.failed()
	}
	over := l.Clock.After(l.deadline - l.Clock.Boot())
	defer over.Stop()
	hedge := l.Clock.After(max(leastHedge, time.Duration(float64(l.route.LatencyGoal)*hedgeShare)))
	defer hedge.Stop()
	for {
		select {
		case e := <-r.ends:
			if done, result := r.take(e); done {
				return result
			}
		case <-hedge.C():
			if r.repeatable() {
				r.start()
			}
		case <-over.C():
			return r.interrupted(TimedOut)
		case <-ctx.Done():
			return r.interrupted(CallerLeft)
		}
	}
}

// interrupted ends a request whose attempts have not ended. A target that has it has probably begun to run it.
func (r *race) interrupted(o Outcome) Result {
	r.result.Outcome = o
	now := r.Clock.Boot()
	for _, t := range r.open {
		r.count(r.Clock.Now().Add(t.Took - now))
		t.Took = now - t.Took
		r.result.Attempts = append(r.result.Attempts, t)
	}
	return r.result
}

func (r *race) repeatable() bool { return r.route.Kind == navigator.Repeatable }

// start begins another attempt, unless there is no target for it.
func (r *race) start() bool {
	target, ok := r.choose()
	if !ok {
		return false
	}
	r.running++
	// Took holds the start until the attempt ends.
	r.open[target.ID] = Attempt{Target: target.ID, Fault: Pending, Took: r.Clock.Boot()}
	r.attempt(r.ctx, target, r.ends)
	return true
}

// take decides on the end of an attempt. It reports whether the request has ended with it.
func (r *race) take(e ended) (bool, Result) {
	r.running--
	delete(r.open, e.try.Target)
	r.note(e.try)
	if e.ran() {
		r.count(e.sent)
	}
	if e.good() {
		r.suspects.clear(r.request)
		return true, r.deliver(e, r.sink)
	}
	if e.try.Fault == Broken {
		r.suspects.add(r.request, r.Clock.Boot())
	}
	if e.ran() && e.try.Fault == NoFault {
		r.failure = &e
	}
	e.release()
	if (!e.ran() || r.repeatable()) && r.start() || r.running > 0 {
		return false, Result{}
	}
	if r.failure != nil {
		return true, r.deliver(*r.failure, r.sink)
	}
	return true, r.failed()
}

// drop releases the attempts that are still running when a request ends.
func drop(ends <-chan ended, running int) {
	for range running {
		e := <-ends
		e.release()
	}
}

// attempt sends the request to a target and reports its end.
func (l *lead) attempt(ctx context.Context, t router.Target, ends chan<- ended) {
	ctx, cancel := context.WithCancel(ctx)
	call := l.call(t)
	began := l.Clock.Boot()
	sent := l.Clock.Now()
	go func() {
		a, fault := l.Caller.Call(ctx, call)
		e := ended{answer: a, sent: sent, try: Attempt{Target: t.ID, Status: a.Status, NotRun: a.NotRun, Fault: fault}}
		e.release = func() {
			if e.answer.Body != nil {
				_ = e.answer.Body.Close() // the answer is dropped or was read; its connection goes with it
			}
			cancel()
		}
		if fault == NoFault {
			e = e.read()
		}
		e.try.Took = l.Clock.Boot() - began
		l.Router.Release(t.ID)
		ends <- e
	}()
}

// read reads the body up to the limit. A body that breaks off makes the attempt a broken one.
func (e ended) read() ended {
	var err error
	e.body, err = io.ReadAll(io.LimitReader(e.answer.Body, bufferLimit))
	switch {
	case err != nil || e.answer.Length >= 0 && int64(len(e.body)) != min(e.answer.Length, bufferLimit):
		e.try.Fault = Broken
	case len(e.body) == bufferLimit:
		e.rest = true
	}
	return e
}

// deliver gives an answer to the caller.
func (l *lead) deliver(e ended, sink Sink) Result {
	defer e.release()
	l.result.Outcome, l.result.Status, l.result.Stamp = Answered, e.answer.Status, e.answer.Stamp
	length := int64(len(e.body))
	if e.rest {
		length = e.answer.Length
	}
	sink.Begin(e.answer.Status, e.answer.Header, length)
	if err := sink.Write(e.body); err != nil {
		l.result.Outcome = CallerLeft
		return l.result
	}
	if !e.rest {
		return l.result
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := e.answer.Body.Read(buffer)
		if n > 0 && sink.Write(buffer[:n]) != nil {
			l.result.Outcome = CallerLeft
			return l.result
		}
		if errors.Is(err, io.EOF) {
			return l.result
		}
		if err != nil {
			l.result.Outcome = Cut
			return l.result
		}
	}
}
