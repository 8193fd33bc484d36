package storer

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

// Budget bounds the calls of one process to the key-value service. The zero value is a full budget.
//
// Invariants: no purpose exceeds its rate; a purpose takes from the total only what its reserve leaves, so that a
// purpose with precedence finds calls left. Lock rank: container.RankStorer.
type Budget struct {
	lock  container.Lock[container.Storer]
	total bucket
	each  [PurposeUsage + 1]bucket
}

// Take spends one call. When there is none left, it spends nothing and returns how long to wait before asking again.
func (b *Budget) Take(p Purpose, now time.Duration) time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	p = p.known()
	b.total.fill(totalRate, now)
	b.each[p].fill(p.rate(), now)
	if wait := max(b.total.wait(totalRate, 1+p.reserve()), b.each[p].wait(p.rate(), 1)); wait > 0 {
		return wait
	}
	b.total.level--
	b.each[p].level--
	return 0
}

// bucket is a token bucket. The zero value is filled up at its first use.
type bucket struct {
	used  bool
	level float64
	at    time.Duration
}

func (b *bucket) fill(rate float64, now time.Duration) {
	most := rate * burstTime.Seconds()
	if !b.used {
		b.used, b.level, b.at = true, most, now
		return
	}
	b.level = min(most, b.level+rate*max(now-b.at, 0).Seconds())
	b.at = now
}

// wait returns the time until the bucket holds need.
func (b *bucket) wait(rate, need float64) time.Duration {
	if b.level >= need {
		return 0
	}
	// A millisecond more than computed keeps rounding from waking the caller too early.
	return time.Duration((need-b.level)/rate*float64(time.Second)) + time.Millisecond
}
