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

// Store contains the methods of the key-value service that a Leaser calls.
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
	cooldown time.Duration
	terms    container.Table[container.Leaser, identifier.Duty, Term]
}

// Option sets a property of a Leaser.
type Option func(*Leaser)

// WithTTL sets the time after which a lease expires without renewal.
func WithTTL(d time.Duration) Option { return func(l *Leaser) { l.ttl = d } }

// WithEligible sets a function that reports whether the process currently campaigns for a duty. In a large deployment
// only a few processes campaign for each duty, so that calls to the key-value service do not grow with the number of
// processes.
func WithEligible(f func(identifier.Duty) bool) Option { return func(l *Leaser) { l.eligible = f } }

// WithPause replaces the wait between two reads of a duty that another process holds. f may return early when the key
// of the duty has changed.
func WithPause(f func(ctx context.Context, key string, d time.Duration)) Option {
	return func(l *Leaser) { l.pause = f }
}

// WithCooldown sets the time for which a process does not campaign after its own term, so that two processes do not
// alternate in quick succession.
func WithCooldown(d time.Duration) Option { return func(l *Leaser) { l.cooldown = d } }

// NewLeaser returns a Leaser for the process with the name holder, which must be unique.
func NewLeaser(holder identifier.Node, store Store, clock timer.Service, opts ...Option) *Leaser {
	l := &Leaser{holder: holder, store: store, clock: clock, ttl: DefaultTTL}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Term returns the current term of the process in a duty and whether it is valid. The caller must check it again with
// Valid immediately before it acts.
func (l *Leaser) Term(d identifier.Duty) (Term, bool) {
	t, ok := l.terms.Get(d)
	return t, ok && t.Valid(l.clock.Monotonic())
}

// Campaign acquires the duty whenever no process holds it and calls lead with each term, until ctx ends. The context of
// lead ends before the lease can expire; lead must return then. Campaign returns after lead has returned.
func (l *Leaser) Campaign(ctx context.Context, d identifier.Duty, lead func(ctx context.Context, t Term)) {
	for ctx.Err() == nil {
		if l.eligible != nil && !l.eligible(d) {
			timer.Wait(ctx, l.clock, eligibilityInterval)
			continue
		}
		if term, lease, ok := l.acquire(ctx, d); ok {
			l.holdTerm(ctx, term, lease, lead)
			timer.Wait(ctx, l.clock, l.cooldown)
		}
		if l.pause != nil {
			l.pause(ctx, dutyKey(d), l.ttl)
			continue
		}
		timer.Wait(ctx, l.clock, l.ttl/renewalsPerTTL)
	}
}

// eligibilityInterval is the time between two checks of eligibility, which need no call to the key-value service.
const eligibilityInterval = 250 * time.Millisecond

// acquire tries to begin a term. It reports false if another process holds the duty or the key-value service fails.
func (l *Leaser) acquire(ctx context.Context, d identifier.Duty) (Term, storer.Lease, bool) {
	current, out := l.store.Get(ctx, dutyKey(d))
	if out != storer.Applied || current.Changed != 0 {
		return Term{}, 0, false
	}
	counter, out := l.store.Get(ctx, fenceKey(d))
	if out != storer.Applied {
		return Term{}, 0, false
	}
	sent := l.clock.Monotonic()
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
		// If the outcome is unknown, the lease is left to expire, and no process holds the duty until then.
		if out == storer.Conflict {
			l.store.Revoke(ctx, lease)
		}
		return Term{}, 0, false
	}
	term := Term{
		Duty: d, Holder: l.holder, Fence: fence, ValidUntil: sent + safeDuration(l.ttl), SettledFrom: l.clock.Monotonic() + l.ttl,
	}
	return term, lease, true
}

// holdTerm renews the lease while lead runs. If the lease can't be renewed, it ends the context of lead before the
// lease can expire.
func (l *Leaser) holdTerm(ctx context.Context, term Term, lease storer.Lease, lead func(context.Context, Term)) {
	leadCtx, cancel := context.WithCancel(ctx)
	l.terms.Put(term.Duty, term)
	var leader sync.WaitGroup
	// The goroutine gets its own copy, since the loop below replaces term at each renewal.
	firstTerm := term
	leader.Go(func() {
		defer cancel()
		lead(leadCtx, firstTerm)
	})
	for leadCtx.Err() == nil {
		term = l.renew(leadCtx, term, lease)
		remaining := term.ValidUntil - l.clock.Monotonic()
		if remaining <= 0 {
			break
		}
		timer.Wait(leadCtx, l.clock, min(l.ttl/renewalsPerTTL, remaining))
	}
	l.terms.Delete(term.Duty)
	cancel()
	leader.Wait()
	l.revokeLease(ctx, lease)
}

// renew extends the term if the key-value service confirms the lease. An expired lease ends the term immediately.
func (l *Leaser) renew(ctx context.Context, term Term, lease storer.Lease) Term {
	sent := l.clock.Monotonic()
	switch l.store.KeepAlive(ctx, lease) {
	case storer.Applied:
		term = term.WithValidUntil(sent + safeDuration(l.ttl))
		l.terms.Put(term.Duty, term)
	case storer.Conflict:
		term = term.WithValidUntil(0)
	default:
		// Not confirmed: the term keeps its current end.
	}
	return term
}

// revokeTimeout limits the call that revokes the lease of a term that has ended.
const revokeTimeout = time.Second

// revokeLease frees the duty before the lease expires. It makes one attempt; a lease that is not revoked expires.
func (l *Leaser) revokeLease(ctx context.Context, lease storer.Lease) {
	ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), l.clock, revokeTimeout)
	defer cancel()
	l.store.Revoke(ctx, lease)
}

func dutyKey(d identifier.Duty) string  { return "/duty/" + string(d) }
func fenceKey(d identifier.Duty) string { return "/fence/" + string(d) }

// lastFence returns the fencing number of the last term, or zero if there was none.
func lastFence(e storer.Entry) identifier.Fence {
	number, _, _ := strings.Cut(string(e.Value), " ")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0
	}
	return identifier.Fence(n)
}
