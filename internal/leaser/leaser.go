package leaser

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Store is the part of the key-value service that a leaser uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
	Grant(ctx context.Context, ttl time.Duration) (storer.Lease, storer.Outcome)
	KeepAlive(ctx context.Context, l storer.Lease) storer.Outcome
	Revoke(ctx context.Context, l storer.Lease) storer.Outcome
}

// Leaser campaigns for duties on behalf of one process.
//
// Invariants: at most one process holds a duty by its own clock; fencing numbers of a duty only rise. Lock rank:
// container.RankLeaser.
type Leaser struct {
	holder   identifier.Node
	store    Store
	clock    timer.Service
	ttl      time.Duration
	eligible func(identifier.Duty) bool
	pause    func(ctx context.Context, key string, d time.Duration)
	rest     time.Duration
	terms    container.Table[container.Leaser, identifier.Duty, Term]
}

// Option sets a property of a Leaser.
type Option func(*Leaser)

// WithTTL sets the time after which a lease lapses without renewal.
func WithTTL(d time.Duration) Option { return func(l *Leaser) { l.ttl = d } }

// WithEligible limits the duties that the process campaigns for at present. In a large deployment only a few
// processes campaign for each duty, so that calls to the key-value service do not grow with the fleet.
func WithEligible(f func(identifier.Duty) bool) Option { return func(l *Leaser) { l.eligible = f } }

// WithPause replaces the pause between two looks at a duty that another process holds. It may return early, when the
// key of the duty has changed.
func WithPause(f func(ctx context.Context, key string, d time.Duration)) Option {
	return func(l *Leaser) { l.pause = f }
}

// WithCooldown sets the time for which a process does not campaign after a term of its own, so that two processes do not
// take turns in quick succession.
func WithCooldown(d time.Duration) Option { return func(l *Leaser) { l.rest = d } }

// NewLeaser returns a Leaser for the process holder. Names of processes must be unique.
func NewLeaser(holder identifier.Node, store Store, clock timer.Service, opts ...Option) *Leaser {
	l := &Leaser{holder: holder, store: store, clock: clock, ttl: DefaultTTL}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Term returns the term that the process holds in a duty. The caller checks it with Valid at the last point before it
// acts.
func (l *Leaser) Term(d identifier.Duty) (Term, bool) {
	t, ok := l.terms.Get(d)
	return t, ok && t.Valid(l.clock.Boot())
}

// Campaign takes the duty whenever it is free and calls lead with each term, until ctx ends. The context of lead ends
// before the lease can have lapsed; lead must return then. Campaign returns after lead has.
func (l *Leaser) Campaign(ctx context.Context, d identifier.Duty, lead func(ctx context.Context, t Term)) {
	for ctx.Err() == nil {
		if l.eligible != nil && !l.eligible(d) {
			timer.Wait(ctx, l.clock, recheck)
			continue
		}
		if term, lease, ok := l.acquire(ctx, d); ok {
			l.serve(ctx, term, lease, lead)
			timer.Wait(ctx, l.clock, l.rest)
		}
		if l.pause != nil {
			l.pause(ctx, dutyKey(d), l.ttl)
			continue
		}
		timer.Wait(ctx, l.clock, l.ttl/renewals)
	}
}

// recheck is the wait before a process asks again whether it is eligible, which costs no call.
const recheck = 250 * time.Millisecond

// acquire tries to begin a term.
func (l *Leaser) acquire(ctx context.Context, d identifier.Duty) (Term, storer.Lease, bool) {
	held, out := l.store.Get(ctx, dutyKey(d))
	if out != storer.Applied || held.Changed != 0 {
		return Term{}, 0, false
	}
	counter, out := l.store.Get(ctx, fenceKey(d))
	if out != storer.Applied {
		return Term{}, 0, false
	}
	sent := l.clock.Boot()
	lease, out := l.store.Grant(ctx, l.ttl)
	if out != storer.Applied {
		return Term{}, 0, false
	}
	fence := lastFence(counter) + 1
	value := []byte(strconv.FormatUint(uint64(fence), 10) + " " + string(l.holder) + " " + strconv.FormatInt(int64(lease), 10))
	out = l.store.Commit(ctx, storer.Transaction{}.
		WithGuard(fenceKey(d), counter.Changed).WithPut(fenceKey(d), value, 0).
		WithGuard(dutyKey(d), 0).WithPut(dutyKey(d), value, lease))
	if out != storer.Applied {
		// Without an answer the lease is left to lapse; until then nobody holds the duty.
		if out == storer.Conflict {
			l.store.Revoke(ctx, lease)
		}
		return Term{}, 0, false
	}
	term := Term{
		Duty: d, Holder: l.holder, Fence: fence, ValidUntil: sent + safe(l.ttl), SettledFrom: l.clock.Boot() + l.ttl,
	}
	return term, lease, true
}

// serve renews the lease while lead runs and ends lead in time when it can't be renewed.
func (l *Leaser) serve(ctx context.Context, term Term, lease storer.Lease, lead func(context.Context, Term)) {
	leadCtx, cancel := context.WithCancel(ctx)
	l.terms.Put(term.Duty, term)
	var leading sync.WaitGroup
	// The goroutine gets a copy of its own, since the loop below replaces term at each renewal.
	began := term
	leading.Go(func() {
		defer cancel()
		lead(leadCtx, began)
	})
	for leadCtx.Err() == nil {
		term = l.renew(leadCtx, term, lease)
		remaining := term.ValidUntil - l.clock.Boot()
		if remaining <= 0 {
			break
		}
		timer.Wait(leadCtx, l.clock, min(l.ttl/renewals, remaining))
	}
	l.terms.Delete(term.Duty)
	cancel()
	leading.Wait()
	l.release(ctx, lease)
}

// renew extends the term if the key-value service confirms the lease. A lease that has lapsed ends the term at once.
func (l *Leaser) renew(ctx context.Context, term Term, lease storer.Lease) Term {
	sent := l.clock.Boot()
	switch l.store.KeepAlive(ctx, lease) {
	case storer.Applied:
		term = term.WithValidUntil(sent + safe(l.ttl))
		l.terms.Put(term.Duty, term)
	case storer.Conflict:
		term = term.WithValidUntil(0)
	default:
		// Not confirmed: the term runs on to its present end.
	}
	return term
}

// release gives the duty back early. It is tried once; an unreleased lease lapses by itself.
func (l *Leaser) release(ctx context.Context, lease storer.Lease) {
	ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), l.clock, time.Second)
	defer cancel()
	l.store.Revoke(ctx, lease)
}

func dutyKey(d identifier.Duty) string  { return "/duty/" + string(d) }
func fenceKey(d identifier.Duty) string { return "/fence/" + string(d) }

// lastFence reads the fencing number of the last term; zero when there was none.
func lastFence(e storer.Entry) identifier.Fence {
	number, _, _ := strings.Cut(string(e.Value), " ")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0
	}
	return identifier.Fence(n)
}
