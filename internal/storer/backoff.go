package storer

import (
	"math/rand/v2"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

const (
	// failureThreshold is the number of consecutive failed calls after which the service counts as down. A single lost
	// answer does not hold other calls back.
	failureThreshold = 2
	// initialPause is the upper bound of the pause after one failure; the bound doubles with each further failure.
	initialPause = 100 * time.Millisecond
	// maxDoublings bounds how often initialPause is doubled; defaultMaxPause is reached before.
	maxDoublings = 20
	// defaultMaxPause bounds the pause, so that the recovery of the service is noticed within that time.
	defaultMaxPause = 10 * time.Second
	// maxLeasePause bounds the pause for leases: a lease holder must notice the recovery within its TTL of 6 s.
	maxLeasePause = time.Second
)

// Backoff holds calls back while the key-value service is down. The zero value counts the service as up.
//
// Invariant: while the service is down, at most one call per pause and class (leases, all others) is let through.
// Lock rank: container.RankStorer.
type Backoff struct {
	lock container.Lock[container.Storer]
	// failures is the number of consecutive failed calls.
	failures int
	// nextLeaseProbe and nextProbe are the monotonic times from which the next probe of each class is admitted.
	nextLeaseProbe time.Duration
	nextProbe      time.Duration
	// maxPause bounds the pause; zero means defaultMaxPause.
	maxPause time.Duration
}

// Admit reports whether a call may be made. While the service is down, an admitted call is the probe of its class, and
// the next call of the class is admitted after a pause.
func (b *Backoff) Admit(p Purpose, now time.Duration) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.failures < failureThreshold {
		return true
	}
	until, limit := &b.nextProbe, b.pauseLimit()
	if p.orDefault() == PurposeLease {
		until, limit = &b.nextLeaseProbe, maxLeasePause
	}
	if now < *until {
		return false
	}
	*until = now + jitteredPause(b.failures, limit)
	return true
}

// Record counts consecutive failures by the outcome of a call.
func (b *Backoff) Record(out Outcome, now time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if out == Applied || out == Conflict {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures == failureThreshold {
		b.nextLeaseProbe, b.nextProbe = now+jitteredPause(b.failures, maxLeasePause), now+jitteredPause(b.failures, b.pauseLimit())
	}
}

// jitteredPause returns a pause whose upper bound doubles with each failure up to limit. Half of it is random, so that
// processes do not retry at the same time.
func jitteredPause(failures int, limit time.Duration) time.Duration {
	upper := min(initialPause<<min(failures-1, maxDoublings), limit)
	return upper/2 + rand.N(upper/2+1) //nolint:gosec // no secret depends on it
}

// pauseLimit returns the bound of the pause for calls other than leases.
func (b *Backoff) pauseLimit() time.Duration {
	if b.maxPause > 0 {
		return b.maxPause
	}
	return defaultMaxPause
}
