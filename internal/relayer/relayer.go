// Package relayer makes the calls of a process to the key-value service through another process while it does not reach the
// service itself.
package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// hedgeDelay is the time without an answer after which another process is asked too. A slow service answers within 250 ms. The
	// pages of a range are read one after the other.
	hedgeDelay      = 300 * time.Millisecond
	rangeHedgeDelay = 600 * time.Millisecond
	// maxAsked is the number of processes that are asked for one call, one after the other.
	maxAsked = 2
	// readPatience bounds the wait for the answer to a call that may be repeated: a second process can be asked within the time
	// limit of the call. writePatience leaves time to read back whether a write whose answer was lost took effect.
	readPatience  = 330 * time.Millisecond
	rangePatience = 600 * time.Millisecond
	writePatience = 450 * time.Millisecond
	// patienceMargin is how much longer than its wait a watch may take.
	patienceMargin = 200 * time.Millisecond
	// maxWait bounds the wait of a watch at another process. It ends within the time limit of one call there.
	maxWait = 400 * time.Millisecond
	// probeTimeout bounds a probe of the service.
	probeTimeout = 700 * time.Millisecond
)

// Messenger carries questions to other processes.
type Messenger interface {
	// Reserve asks the process at an address to reserve memory for a large call. The ticket is zero if it has none or does not
	// reach the service.
	Reserve(ctx context.Context, address string, size identifier.Bytes) (ticket int64)
	// Execute asks the process at an address to make a call. It must send the question at most once.
	Execute(ctx context.Context, address string, q Question) (Answer, Delivery)
}

// Dependencies holds the collaborators of a Relayer.
type Dependencies struct {
	// Service is the key-value service as this process reaches it.
	Service   storer.Service
	Path      *Path
	Messenger Messenger
	// Candidates returns the addresses of the processes that may be asked to make a call with bodies of the given scope, the first one
	// first.
	Candidates func(s confiner.Scope) []string
	Clock      timer.Service
	Log        *logger.Logger
	// ProbeKey is the key that probes read.
	ProbeKey string
	// Observe is called with the outcome of each call that another process was asked to make.
	Observe func(outcome string)
}

// Relayer is a storer.Service that calls the service itself while that works, and asks another process otherwise. A call that may have
// taken effect is sent a second time only if that does no harm.
type Relayer struct {
	Dependencies
	choices choices
	// probes holds the probes of the service back.
	probes  storer.Backoff
	probing atomic.Bool
	ctx     context.Context //nolint:containedctx // it ends the probes when the process stops
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewRelayer returns a Relayer.
func NewRelayer(d Dependencies) *Relayer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Relayer{Dependencies: d, choices: choices{clock: d.Clock}, ctx: ctx, cancel: cancel}
}

// Close ends the probes. No call may be made afterwards.
func (r *Relayer) Close() {
	r.cancel()
	r.running.Wait()
}

// Relaying reports whether calls go through another process.
func (r *Relayer) Relaying() bool { return r.Path.Relayed() }

// call makes one call on the way that works.
func (r *Relayer) call(ctx context.Context, q Question) Answer {
	switch {
	case r.Path.Lost():
		if a, ok := r.ask(ctx, q); ok {
			return a
		}
		return r.direct(ctx, q)
	case q.Kind == Changes:
		return r.watch(ctx, q)
	case q.Kind.repeatable():
		return r.hedge(ctx, q)
	}
	a := r.direct(ctx, q)
	if a.Outcome == storer.Unavailable {
		// It has not taken effect, so it may be sent again.
		if b, ok := r.ask(ctx, q); ok {
			return b
		}
	}
	return a
}

// direct makes a call to the service itself.
func (r *Relayer) direct(ctx context.Context, q Question) Answer {
	if ctx.Err() != nil {
		return Answer{Outcome: storer.Unavailable}
	}
	began := r.Clock.Monotonic()
	a := execute(ctx, r.Service, q)
	if r.Path.record(ctx, began, a) {
		r.Log.Emit(logger.StoreDirect)
	}
	return a
}

// hedge makes a call that may be repeated. If the service does not answer in time, another process is asked as well.
func (r *Relayer) hedge(ctx context.Context, q Question) Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := r.Clock.Monotonic()
	direct := make(chan Answer, 1)
	go func() { direct <- r.direct(ctx, q) }()
	delay := hedgeDelay
	if q.Kind.ranged() {
		delay = rangeHedgeDelay
	}
	timeout := r.Clock.After(delay)
	defer timeout.Stop()
	select {
	case a := <-direct:
		if !a.answered() {
			if b, ok := r.ask(ctx, q); ok {
				return b
			}
		}
		return a
	case <-timeout.C():
	}
	asked := make(chan Answer, 1)
	go func() {
		b, _ := r.ask(ctx, q)
		asked <- b
	}()
	select {
	case a := <-direct:
		if b := (Answer{}); !a.answered() {
			if b = <-asked; b.answered() {
				return b
			}
		}
		return a
	case b := <-asked:
		if b.answered() {
			r.Path.lose(began)
			return b
		}
		return <-direct
	}
}

// watch waits for changes at the service. If the path is lost meanwhile, the wait is broken off and continued at another process.
func (r *Relayer) watch(ctx context.Context, q Question) Answer {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	losing := r.Path.losingChannel()
	go func() {
		select {
		case <-losing:
			cancel()
		case <-ended:
		}
	}()
	a := r.direct(watchCtx, q)
	if !a.answered() {
		if b, ok := r.ask(ctx, q); ok {
			return b
		}
	}
	return a
}

// ask asks other processes to make a call. The second result is false if none of them has made it with an effect, and none is to be
// asked now.
func (r *Relayer) ask(ctx context.Context, q Question) (Answer, bool) {
	if q.Size() > MaxCallBytes {
		return Answer{}, false
	}
	scope := confiner.ScopeOf(ctx)
	choice := r.choices.of(scope)
	candidates := func() []string { return r.Candidates(scope) }
	for range maxAsked {
		if ctx.Err() != nil {
			return Answer{}, false
		}
		address, ok := choice.next(ctx, candidates)
		if !ok {
			return Answer{}, false
		}
		a, delivery := r.exchange(ctx, address, q)
		choice.settle(address, a.answered(), cancelled(ctx))
		r.observe(a, delivery)
		switch {
		case a.answered():
			if r.Path.relay() {
				r.Log.Emit(logger.StoreRelayed, "address", address)
			}
			r.probe()
			return a, true
		case q.Kind.repeatable():
		case delivery == Lost, a.Executed && a.Outcome == storer.Unknown:
			return Answer{Executed: true, Outcome: storer.Unknown}, true
		}
	}
	return Answer{}, false
}

// exchange sends a question to a process, after memory for it was reserved there if it is large.
func (r *Relayer) exchange(ctx context.Context, address string, q Question) (Answer, Delivery) {
	patience := writePatience
	switch {
	case q.Kind == Changes:
		q = q.WithWait(min(q.Wait, maxWait))
		patience = q.Wait + patienceMargin
	case q.Kind.ranged():
		patience = rangePatience
	case q.Kind.repeatable():
		patience = readPatience
	}
	ctx, cancel := timer.WithTimeout(ctx, r.Clock, patience)
	defer cancel()
	if size := q.Size(); size > smallBytes {
		ticket := r.Messenger.Reserve(ctx, address, size)
		if ticket == 0 {
			return Answer{}, Undelivered
		}
		q = q.WithTicket(ticket)
	}
	return r.Messenger.Execute(ctx, address, q.WithPatience(patience))
}

// observe counts a question by what became of it.
func (r *Relayer) observe(a Answer, d Delivery) {
	if r.Observe == nil {
		return
	}
	switch {
	case d == Delivered && a.Executed:
		r.Observe(a.Outcome.String())
	case d == Delivered:
		r.Observe("refused")
	case d == Lost:
		r.Observe("lost")
	default:
		r.Observe("undelivered")
	}
}

// probe tries the service itself, beside the calls that go through another process, if its back-off allows that.
func (r *Relayer) probe() {
	if !r.Path.Lost() || !r.probing.CompareAndSwap(false, true) {
		return
	}
	if !r.probes.Admit(storer.PurposeLease, r.Clock.Monotonic()) {
		r.probing.Store(false)
		return
	}
	r.running.Go(func() {
		defer r.probing.Store(false)
		ctx, cancel := timer.WithTimeout(r.ctx, r.Clock, probeTimeout)
		defer cancel()
		a := r.direct(ctx, Question{Kind: Get, Key: r.ProbeKey})
		if a.answered() {
			r.probes.Record(storer.Applied, r.Clock.Monotonic())
		} else {
			r.probes.Record(storer.Unavailable, r.Clock.Monotonic())
		}
	})
}
