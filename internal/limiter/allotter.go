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
// the Allotter has no permits for takeoverDelay. Lock rank: container.RankLimiter.
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
		t = allotment{incarnation: q.Incarnation, namedAt: now - q.Age}
		t.bucket = newBucket(Statement{Rate: q.Rate}.effective(), now+takeoverDelay)
	}
	rate := t.bucket.rate
	if namedAt := now - q.Age; namedAt >= t.namedAt {
		t.namedAt, rate = namedAt, Statement{Rate: q.Rate}.effective()
	}
	var wait time.Duration
	t.bucket, wait = t.bucket.withRate(rate, now).take(now)
	t.askedAt = now
	a.targets[q.Target] = t
	return Grant{Permit: wait == 0, Wait: wait}
}

// forget removes the targets that nobody asked for lately. The caller holds the lock.
func (a *Allotter) forget(now time.Duration) {
	for id, t := range a.targets {
		if now-t.askedAt > allotmentTTL {
			delete(a.targets, id)
		}
	}
}
