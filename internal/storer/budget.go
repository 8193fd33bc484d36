package storer

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

// Budget bounds the calls of one process to the key-value service. The zero value is a full budget.
//
// Invariants: no purpose exceeds its rate; a purpose takes from the total only what exceeds its reserve, so that calls
// remain for the purposes that precede it. Lock rank: container.RankStorer.
type Budget struct {
	lock       container.Lock[container.Storer]
	total      bucket
	perPurpose [PurposeUsage + 1]bucket
}

// Take spends one call and returns zero. If the budget is used up, it spends nothing and returns how long to wait
// before the next attempt.
func (b *Budget) Take(p Purpose, now time.Duration) time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	p = p.orDefault()
	b.total.fill(totalCallsPerSecond, now)
	b.perPurpose[p].fill(p.rate(), now)
	if wait := max(b.total.wait(totalCallsPerSecond, 1+p.reserve()), b.perPurpose[p].wait(p.rate(), 1)); wait > 0 {
		return wait
	}
	b.total.level--
	b.perPurpose[p].level--
	return 0
}

// bucket is a token bucket. The zero value is filled at its first use.
type bucket struct {
	initialized bool
	level       float64
	// updated is the monotonic time of the last refill.
	updated time.Duration
}

// fill adds the tokens that accumulated since the last refill, up to the capacity.
func (b *bucket) fill(rate float64, now time.Duration) {
	capacity := rate * burstDuration.Seconds()
	if !b.initialized {
		b.initialized, b.level, b.updated = true, capacity, now
		return
	}
	b.level = min(capacity, b.level+rate*max(now-b.updated, 0).Seconds())
	b.updated = now
}

// wait returns the time until the bucket holds need.
func (b *bucket) wait(rate, need float64) time.Duration {
	if b.level >= need {
		return 0
	}
	// A millisecond more than computed keeps rounding from waking the caller too early.
	return time.Duration((need-b.level)/rate*float64(time.Second)) + time.Millisecond
}
