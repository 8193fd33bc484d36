package limiter

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Ask asks for a permit to send one request to a target.
type Ask struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	// Rate is the rate that the target named, in requests a second, and Age the time since then.
	Rate float64
	Age  time.Duration
	// Cold is set if the rate applies because the target is cold to the asker.
	Cold bool
}

// Grant answers an Ask.
type Grant struct {
	Permit bool
	// Wait is the time until there may be a permit, if there is none.
	Wait time.Duration
}

// allotment is what an Allotter knows of one incarnation of a target.
type allotment struct {
	incarnation identifier.Incarnation
	bucket      bucket
	// namedAt is the monotonic time at which the target named the rate of the bucket.
	namedAt time.Duration
	askedAt time.Duration
	// named is the rate that the target named, or zero. cold is the rate of the last ask for a cold target, at coldAt.
	named  float64
	cold   float64
	coldAt time.Duration
}

// withAsk returns a copy of t that has taken in the rate of an ask.
func (t allotment) withAsk(q Ask, now time.Duration) allotment {
	rate, namedAt := Statement{Rate: q.Rate}.effective(), now-q.Age
	t.askedAt = now
	if q.Cold {
		t.cold, t.coldAt = rate, now
	} else if t.named == 0 || namedAt >= t.namedAt {
		t.named, t.namedAt = rate, namedAt
	}
	return t
}

// rate returns the rate at which permits are allotted.
func (t allotment) rate(now time.Duration) float64 {
	if t.cold > 0 && now-t.coldAt <= coldMemory && (t.named == 0 || t.cold < t.named) {
		return t.cold
	}
	return max(t.named, minRate)
}

const (
	// allotmentTTL is the time after which a target that nobody asks for is forgotten.
	allotmentTTL = time.Minute
	// takeoverDelay is how long an Allotter gives no permits for a target that is new to it. The process that was responsible
	// before may still allot permits until it learns of the change.
	takeoverDelay = time.Second
	// staleWait is the wait of an asker that has not read the new listing of a restarted target.
	staleWait = time.Second
	// maxAllotments is the number of targets above which expired ones are removed.
	maxAllotments = 256
)

// Allotter allots the permits for the targets that its process is responsible for. The zero value works.
//
// Invariant: the permits of a target in any span are at most its rate times the span and one burst. A target that is new to
// the Allotter has no permits for takeoverDelay, or coldTakeoverDelay. Lock rank: container.RankLimiter.
type Allotter struct {
	lock    container.Lock[container.Limiter]
	targets map[identifier.Target]allotment
}

// Allot decides on an Ask. Of two rates that askers know, the one that the target named last applies.
func (a *Allotter) Allot(q Ask, now time.Duration) Grant {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.targets == nil {
		a.targets = make(map[identifier.Target]allotment)
	}
	if len(a.targets) >= maxAllotments {
		a.forget(now)
	}
	t, known := a.targets[q.Target]
	if known && q.Incarnation < t.incarnation {
		return Grant{Wait: staleWait}
	}
	if !known || t.incarnation != q.Incarnation {
		t = allotment{incarnation: q.Incarnation}
		delay := takeoverDelay
		if q.Cold {
			delay = coldTakeoverDelay
		}
		t.bucket = newBucket(Statement{Rate: q.Rate}.effective(), now+delay)
	}
	t = t.withAsk(q, now)
	var wait time.Duration
	t.bucket, wait = t.bucket.withRate(t.rate(now), now).take(now)
	a.targets[q.Target] = t
	return Grant{Permit: wait == 0, Wait: wait}
}

// Withdraw forgets a target for which another process is responsible. If this process becomes responsible again, the target is new
// to it.
func (a *Allotter) Withdraw(t identifier.Target) {
	a.lock.Lock()
	defer a.lock.Unlock()
	delete(a.targets, t)
}

// forget removes the targets that nobody asked for lately. The caller holds the lock.
func (a *Allotter) forget(now time.Duration) {
	for id, t := range a.targets {
		if now-t.askedAt > allotmentTTL {
			delete(a.targets, id)
		}
	}
}
