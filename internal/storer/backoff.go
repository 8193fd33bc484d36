package storer

import (
	"math/rand/v2"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

const (
	// tripAfter is the number of failed calls in a row after which the service counts as down. One lost answer alone
	// does not hold other calls back.
	tripAfter = 2
	// firstPause is the longest pause after the first failure that counts.
	firstPause = 100 * time.Millisecond
	// longestPause bounds the pause, so that a recovered service is found within that time.
	longestPause = 10 * time.Second
	// longestLeasePause bounds it for leases: a holder must find a recovered service within its TTL of 6 s.
	longestLeasePause = time.Second
)

// Backoff holds calls back while the key-value service is down. The zero value holds none back.
//
// Invariant: while the service is down, at most one call per pause and class (leases, all others) is let through.
// Lock rank: container.RankStorer.
type Backoff struct {
	lock     container.Lock[container.Storer]
	failures int
	lease    time.Duration
	others   time.Duration
	// longest bounds the pause; zero means longestPause.
	longest time.Duration
}

// Admit reports whether a call may be made. While the service is down an admitted call is the probe of its class, and
// the next one is admitted a pause later.
func (b *Backoff) Admit(p Purpose, now time.Duration) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.failures < tripAfter {
		return true
	}
	until, longest := &b.others, b.most()
	if p.known() == PurposeLease {
		until, longest = &b.lease, longestLeasePause
	}
	if now < *until {
		return false
	}
	*until = now + pause(b.failures, longest)
	return true
}

// Record takes over the outcome of a call.
func (b *Backoff) Record(out Outcome, now time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if out == Applied || out == Conflict {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures == tripAfter {
		b.lease, b.others = now+pause(b.failures, longestLeasePause), now+pause(b.failures, b.most())
	}
}

// pause doubles with each failure up to longest. Half of it is random, so that processes do not return at once.
func pause(failures int, longest time.Duration) time.Duration {
	most := min(firstPause<<min(failures-1, 20), longest)
	return most/2 + rand.N(most/2+1) //nolint:gosec // no secret depends on it
}

// most returns the bound of the pause.
func (b *Backoff) most() time.Duration {
	if b.longest > 0 {
		return b.longest
	}
	return longestPause
}
