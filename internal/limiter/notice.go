package limiter

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Notice tells other entries that a target names a rate, or names none any more. It is immutable.
type Notice struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	Service     identifier.Service
	// Named and Rate are those of the Statement. Age is the time since the answer that showed it.
	Named bool
	Rate  float64
	Age   time.Duration
}

// Notices is what an entry tells another.
type Notices []Notice

// IsEmpty reports whether there is nothing to tell.
func (n Notices) IsEmpty() bool { return len(n) == 0 }

// observation is a Notice with the monotonic time of the answer and the value of Limiter.revision.
type observation struct {
	notice   Notice
	at       time.Duration
	revision int
}

// liftedTTL is how long other entries are told that a target names no rate any more.
const liftedTTL = time.Minute

// observe keeps what an answer showed for the other entries. The caller holds the lock.
func (l *Limiter) observe(n Notice, now time.Duration) {
	for id, o := range l.observed {
		if !o.notice.Named && now-o.at > liftedTTL {
			delete(l.observed, id)
		}
	}
	l.revision++
	l.observed[n.Target] = observation{notice: n, at: now, revision: l.revision}
	close(l.observedChange)
	l.observedChange = make(chan struct{})
}

// Observed returns what answers to this entry showed after a revision, and the present revision.
func (l *Limiter) Observed(after int) (Notices, int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if after == l.revision {
		return nil, after
	}
	now := l.clock.Monotonic()
	var all Notices
	for _, o := range l.observed {
		if o.revision > after {
			n := o.notice
			n.Age = now - o.at
			all = append(all, n)
		}
	}
	return all, l.revision
}

// Changed returns a channel that is closed when answers to this entry show something.
func (l *Limiter) Changed() <-chan struct{} {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.observedChange
}

// IsEmpty reports whether a new entry would have to be told nothing.
func (l *Limiter) IsEmpty() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.observed) == 0
}

// Apply takes in what answers to another entry showed. What this entry was shown later stays.
func (l *Limiter) Apply(notices Notices) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.clock.Monotonic()
	for _, n := range notices {
		at := now - n.Age
		known := l.targets[n.Target]
		own, observed := l.observed[n.Target]
		switch {
		case observed && own.notice.Incarnation >= n.Incarnation && own.at > at:
		case known != nil && (known.incarnation > n.Incarnation || known.incarnation == n.Incarnation && known.namedAt > at):
		case n.Named:
			l.limit(n, at)
		case known != nil && known.named:
			l.unname(n.Target, now)
		}
	}
}

// limit begins or goes on to limit a target. The caller holds the lock.
func (l *Limiter) limit(n Notice, at time.Duration) {
	k := l.targets[n.Target]
	switch {
	case k != nil && k.incarnation > n.Incarnation:
		return
	case k == nil:
		k = &limited{incarnation: n.Incarnation, service: n.Service, fallback: bucket{at: l.clock.Monotonic()}}
		l.targets[n.Target] = k
	case k.incarnation < n.Incarnation:
		// Whether the new start is cold is not known before its listing is read.
		k = &limited{incarnation: n.Incarnation, service: n.Service, fallback: coldFallback(l.clock.Monotonic()), cold: k.cold}
		l.targets[n.Target] = k
	}
	k.named, k.rate, k.namedAt = true, Statement{Rate: n.Rate}.effective(), at
	l.active.Store(true)
}
