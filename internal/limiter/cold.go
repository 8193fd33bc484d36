package limiter

import (
	"math/rand/v2"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// coldPermitTTL is permitTTL for cold targets, whose requests are counted over a second. Permits of coldPermitTTL before that
	// second may be used in it.
	coldPermitTTL = 250 * time.Millisecond
	// coldTakeoverDelay is takeoverDelay for cold targets. Entries that reach the key-value service learn of a start or stop of
	// another one within a second, and up to a second later if they have just read others.
	coldTakeoverDelay = 2 * time.Second
	// coldFallbackShare is the share of the rate of a cold target that all entries together use while they do not reach the responsible
	// one. Others may get the whole rate at the same time.
	coldFallbackShare = 0.1
	// coldMemory is how long a rate that was asked for because a target is cold binds all askers. Those to which the target is not
	// cold have not read its listing yet.
	coldMemory = 2 * time.Second
)

// ColdBound bounds the requests that a cold target may get from all entries together in any second: the rate that it sustains times
// Overage, and Slack. It is immutable. The zero value allows what the target sustains.
type ColdBound struct {
	Overage float64
	Slack   float64
}

// Rates returns the rates of permits that keep the requests within the bound: rate from the responsible entry, and fallback for all
// entries together that do not reach it. A bucket gives out at most 1 + 1.25 r permits in a second; those of coldPermitTTL before and
// of about 0.1 s on the network add 0.35 r. With half of the bound that leaves a fifth for the others, which do not know of each
// other. Where a fifth is less than one request, they send none.
func (b ColdBound) Rates(sustained float64) (rate, fallback float64) {
	overage := b.Overage
	if overage == 0 {
		overage = 1
	}
	room := sustained*overage + b.Slack - 1
	rate = max(min(sustained, room/2), minRate)
	if room/5 >= 1 {
		fallback = rate * coldFallbackShare
	}
	return rate, fallback
}

// Coldness says how long an incarnation of a target is cold. It is immutable.
type Coldness struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	Service     identifier.Service
	// Left is the time for which the target is cold; zero if it is not. Rate is that of its permits until then, and Fallback that of
	// all entries together that do not reach the responsible one.
	Left     time.Duration
	Rate     float64
	Fallback float64
	// Assumed is set if the incarnation was seen to have ended: a later one serves that has no listing yet.
	Assumed bool
}

// coldState is the Coldness of a limited target, at the monotonic time at which it was told. The zero value is warm.
type coldState struct {
	until    time.Duration
	rate     float64
	fallback float64
	at       time.Duration
	assumed  bool
	// listed is until when the target is cold by its listing, while the rest is assumed.
	listed time.Duration
}

// with returns a copy of c that has taken in k. What is assumed shortens nothing.
func (c coldState) with(k Coldness, now time.Duration) coldState {
	next := coldState{until: now + k.Left, rate: k.Rate, fallback: k.Fallback, at: now, assumed: k.Assumed}
	if k.Assumed {
		next.until = max(next.until, c.until)
		if next.listed = c.listed; !c.assumed {
			next.listed = c.until
		}
	}
	return next
}

// lasts reports whether the target is cold at a monotonic time.
func (c coldState) lasts(now time.Duration) bool { return now < c.until }

// SetCold begins, prolongs, shortens or ends the time for which a target is cold. It has to be called before a request may be sent
// to a target that was listed anew. What is said of an earlier incarnation than the known one changes nothing, and while an
// incarnation is known to have ended, its listing does not either.
func (l *Limiter) SetCold(c Coldness) Change {
	if l == nil || c.Left <= 0 && !l.active.Load() {
		return NoChange
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.clock.Monotonic()
	k := l.targets[c.Target]
	if k == nil && c.Left <= 0 {
		return NoChange
	}
	if k != nil && c.Incarnation < k.incarnation {
		return NoChange
	}
	if k != nil && k.hasEnded(c.Incarnation, now) && !c.Assumed {
		k.cold.listed = now + c.Left
		return NoChange
	}
	if k == nil || c.Incarnation > k.incarnation {
		k = &limited{incarnation: c.Incarnation, service: c.Service, fallback: coldFallback(now)}
		l.targets[c.Target] = k
	}
	was := k.cold.lasts(now)
	if !was {
		// Permits at the rate that the target names may be more than a cold one sustains.
		k.permits = nil
	}
	k.cold = k.cold.with(c, now)
	if !k.limits(now) {
		l.remove(c.Target)
	} else {
		l.active.Store(true)
	}
	if cold := c.Left > 0; cold == was {
		return NoChange
	} else if cold {
		return Limited
	}
	return Lifted
}

// coldFallback returns the bucket from which an entry takes permits for a cold target while it does not reach the responsible one.
// Its random content spreads the first permits of entries that were cut off together.
func coldFallback(now time.Duration) bucket {
	return bucket{at: now, permits: rand.Float64()} //nolint:gosec // not used for a secret
}

// limits reports whether requests need a permit at a monotonic time.
func (t *limited) limits(now time.Duration) bool { return t.named || t.cold.lasts(now) }

// Confirm takes back that an incarnation of a target was assumed to have ended. What its listing says applies.
func (l *Limiter) Confirm(t identifier.Target, n identifier.Incarnation) {
	if l == nil || !l.active.Load() {
		return
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	k, now := l.targets[t], l.clock.Monotonic()
	if k == nil || !k.hasEnded(n, now) {
		return
	}
	k.cold.until, k.cold.assumed = k.cold.listed, false
	if !k.limits(now) {
		l.remove(t)
	}
}

// hasEnded reports whether an incarnation is known to have ended although its listing may still be read.
func (t *limited) hasEnded(n identifier.Incarnation, now time.Duration) bool {
	return t.incarnation == n && t.cold.assumed && t.cold.lasts(now)
}

// namedBefore reports whether a target named its rate before a time, or as an earlier start than the given one.
func (t *limited) namedBefore(n identifier.Incarnation, sent time.Duration) bool {
	return t.named && (t.incarnation < n || t.incarnation == n && t.namedAt <= sent)
}

// statement returns the rate in force at a monotonic time, which is the lower one of the named rate and that of a cold target, the
// time at which it was told and whether it applies because the target is cold.
func (t *limited) statement(now time.Duration) (rate float64, at time.Duration, cold bool) {
	if t.cold.lasts(now) {
		if t.named && t.rate < t.cold.rate {
			return t.rate, t.cold.at, true
		}
		return t.cold.rate, t.cold.at, true
	}
	return t.rate, t.namedAt, false
}

// expire removes the targets that have become warm and name no rate, and reports whether there were any.
func (l *Limiter) expire() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	now, before := l.clock.Monotonic(), len(l.targets)
	for id, k := range l.targets {
		if !k.limits(now) {
			l.remove(id)
		}
	}
	return len(l.targets) < before
}

// unname takes back the rate that a target named. The caller holds the lock.
func (l *Limiter) unname(id identifier.Target, now time.Duration) {
	k := l.targets[id]
	k.named = false
	if !k.limits(now) {
		l.remove(id)
	}
}

// ColdCount returns the number of cold targets.
func (l *Limiter) ColdCount() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	now, n := l.clock.Monotonic(), 0
	for _, k := range l.targets {
		if k.cold.lasts(now) {
			n++
		}
	}
	return n
}
