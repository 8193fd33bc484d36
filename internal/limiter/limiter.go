package limiter

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// permitTTL is how long a permit may be used after it was asked for. A longer one could be used together with those of
	// a later time.
	permitTTL = 500 * time.Millisecond
	// demandTTL is how long work counts as waiting for a permit after it was last said to.
	demandTTL = 300 * time.Millisecond
	// unreachableWait is the wait after an ask that was not answered.
	unreachableWait = 200 * time.Millisecond
	// fallbackShare is the share of a target's rate that all entries together use without permits while the responsible entry
	// is unreachable.
	fallbackShare = 0.5
)

// Source allots permits.
type Source interface {
	// Allot asks the process that is responsible for a target. It returns false if that process was not reached.
	Allot(ctx context.Context, q Ask) (Grant, bool)
	// Processes returns the number of processes that send requests to targets.
	Processes() int
}

// limited is what this process knows of a target that names a rate or is cold.
type limited struct {
	incarnation identifier.Incarnation
	service     identifier.Service
	// named is set if the target names a rate: rate, in requests a second. namedAt is the monotonic time of the last answer that
	// named it.
	named   bool
	rate    float64
	namedAt time.Duration
	cold    coldState
	// permits holds the times at which unused permits expire.
	permits []time.Duration
	// asking is set while a permit is being asked for. nextAsk is when to ask again.
	asking  bool
	nextAsk time.Duration
	// fallback accumulates permits while the responsible process is not reached.
	fallback bucket
}

// usable returns the number of permits that have not expired.
func (t *limited) usable(now time.Duration) int {
	t.permits = slices.DeleteFunc(t.permits, func(expiry time.Duration) bool { return expiry <= now })
	return len(t.permits)
}

// demand is the work of a service that waits for a permit.
type demand struct {
	// items is the number of waiting items; it counts until the monotonic time expiry. requests is the number of waiting callers'
	// requests.
	items    int
	expiry   time.Duration
	requests int
}

// Limiter chooses targets so that no more requests reach one than it named. Permits are asked for while work waits. The zero
// value limits nothing; Run has to run for permits to be asked for.
//
// Invariants: each permit is used once and before it expires; a target that names no rate needs none. Lock rank:
// container.RankLimiter.
type Limiter struct {
	source Source
	clock  timer.Service
	lock   container.Lock[container.Limiter]
	// active is set while any target names a rate or is cold. It is read without the lock, since nearly always none does.
	active  atomic.Bool
	targets map[identifier.Target]*limited
	waiting map[identifier.Service]demand
	// unreadable holds the starts of targets that named a rate that makes no sense.
	unreadable map[identifier.Target]identifier.Incarnation
	// changed is closed and replaced when an ask was answered.
	changed chan struct{}
	wake    chan struct{}
	// observed holds what answers to this entry showed, and revision counts its changes. observedChange is closed and replaced
	// at each.
	observed       map[identifier.Target]observation
	revision       int
	observedChange chan struct{}
	// onPermit is called after a permit was allotted.
	onPermit func()
}

// NewLimiter returns a Limiter that gets its permits from source.
func NewLimiter(source Source, clock timer.Service, onPermit func()) *Limiter {
	return &Limiter{
		source: source, clock: clock, onPermit: onPermit, targets: make(map[identifier.Target]*limited),
		waiting: make(map[identifier.Service]demand), unreadable: make(map[identifier.Target]identifier.Incarnation),
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
		observed: make(map[identifier.Target]observation), observedChange: make(chan struct{}),
	}
}

// Change is what a Statement changed.
type Change int

const (
	// NoChange means that the target is limited, or not, as before.
	NoChange Change = iota
	// Limited means that the target is limited now.
	Limited
	// Lifted means that the target is no longer limited.
	Lifted
	// Unreadable means that the target named an invalid rate for the first time. The previous limit stays in force.
	Unreadable
)

// Record applies the rate in an answer of a target. sent is the monotonic time at which the request was sent. An answer without
// a rate lifts only a limit that was named before that time.
func (l *Limiter) Record(t router.Target, s Statement, sent time.Duration) Change {
	if l == nil || !s.Named && !l.active.Load() {
		return NoChange
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	old, known := l.targets[t.ID]
	told := known && (old.named && old.incarnation == t.Incarnation || old.incarnation > t.Incarnation)
	now := l.clock.Monotonic()
	notice := Notice{Target: t.ID, Incarnation: t.Incarnation, Service: t.Service, Named: s.limits(), Rate: s.Rate}
	switch {
	case s.Named && !s.readable():
		return l.recordUnreadable(t)
	case s.limits():
		l.limit(notice, now)
		if o, observed := l.observed[t.ID]; !observed || !o.notice.Named || o.notice.Incarnation != t.Incarnation {
			// A notice of another entry is passed on too: that entry may stop before later entries start.
			l.observe(notice, now)
		}
		if told {
			return NoChange
		}
		return Limited
	case known && old.namedBefore(t.Incarnation, sent):
		l.unname(t.ID, now)
		l.observe(notice, now)
		return Lifted
	}
	return NoChange
}

// recordUnreadable remembers which start of a target named a rate that makes no sense. The caller holds the lock.
func (l *Limiter) recordUnreadable(t router.Target) Change {
	if n, known := l.unreadable[t.ID]; known && n == t.Incarnation {
		return NoChange
	}
	l.unreadable[t.ID] = t.Incarnation
	return Unreadable
}

// Retain forgets the targets that are not in the view or are there as a later start, and those that have become warm and name no rate.
// Cold targets that are not in the view stay cold: their zone may be evacuated, and be taken back before they are warm.
func (l *Limiter) Retain(v router.View) {
	if l == nil {
		return
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.clock.Monotonic()
	for id, k := range l.targets {
		if t, listed := v.Target(id); !listed && !k.cold.lasts(now) || listed && t.Incarnation > k.incarnation || !k.limits(now) {
			l.remove(id)
		}
	}
	for id := range l.observed {
		if _, listed := v.Target(id); !listed {
			delete(l.observed, id)
		}
	}
	for id := range l.unreadable {
		if _, listed := v.Target(id); !listed {
			delete(l.unreadable, id)
		}
	}
}

// remove removes a target that is not limited any more. The caller holds the lock.
func (l *Limiter) remove(id identifier.Target) {
	delete(l.targets, id)
	l.active.Store(len(l.targets) > 0)
	l.notify()
}

// Choose chooses a target as r does, and takes a permit where the target needs one. Targets without one at hand are avoided. Work that
// can wait goes to cold targets only if no other has a free slot.
func (l *Limiter) Choose(r *router.Router, required router.Requirements) (router.Target, bool) {
	if l == nil || !l.active.Load() {
		return r.Choose(required)
	}
	for {
		limitedRequirements := required
		blocked, cold := l.blocked(required.Service)
		limitedRequirements.Avoid = slices.Concat(required.Avoid, blocked, cold)
		var t router.Target
		var ok bool
		if required.Spread && len(cold) > 0 {
			t, ok = r.Choose(limitedRequirements)
		}
		if !ok {
			limitedRequirements.Avoid = limitedRequirements.Avoid[:len(required.Avoid)+len(blocked)]
			t, ok = r.Choose(limitedRequirements)
		}
		if !ok || l.take(t) {
			return t, ok
		}
		// Another request has taken the permit since.
		r.Reduce(t.ID, t.Work)
		r.Release(t.ID)
	}
}

// blocked returns the targets of a service that need a permit of which none is at hand, and the cold ones with a permit.
func (l *Limiter) blocked(s identifier.Service) (blocked, cold []identifier.Target) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.clock.Monotonic()
	for id, k := range l.targets {
		switch {
		case k.service != s || !k.limits(now):
		case k.usable(now) == 0:
			blocked = append(blocked, id)
		case k.cold.lasts(now):
			cold = append(cold, id)
		}
	}
	return blocked, cold
}

// take takes a permit for a target, if it needs one, and reports whether a request may be sent.
func (l *Limiter) take(t router.Target) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	k, known := l.targets[t.ID]
	now := l.clock.Monotonic()
	if !known || !k.limits(now) {
		return true
	}
	if k.incarnation < t.Incarnation {
		// The target started again and has named no rate since.
		l.remove(t.ID)
		return true
	}
	if k.usable(now) == 0 {
		return false
	}
	k.permits = k.permits[1:]
	return true
}

// notify wakes who waits for an answer to an ask. The caller holds the lock.
func (l *Limiter) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Count returns the number of targets that name a rate.
func (l *Limiter) Count() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	n := 0
	for _, k := range l.targets {
		if k.named {
			n++
		}
	}
	return n
}
