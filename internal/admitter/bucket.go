package admitter

import "time"

// burstDuration is the time in which an empty bucket becomes full at its rate.
const burstDuration = 2 * time.Second

// minWait is the shortest wait that a bucket without enough tokens reports.
const minWait = time.Millisecond

// bucket is a token bucket. The zero value becomes full at its first use.
type bucket struct {
	level       float64
	updated     time.Duration
	initialized bool
}

// waitFor refills the bucket at rate per second and returns the time until it holds n, or zero if it already does. A
// rate of zero means no limit. If n is more than the size of the bucket, a full bucket is enough.
func (b *bucket) waitFor(rate, n float64, now time.Duration) time.Duration {
	if rate <= 0 {
		return 0
	}
	size := max(rate*burstDuration.Seconds(), 1)
	if !b.initialized {
		b.level, b.initialized = size, true
	} else {
		b.level = min(size, b.level+rate*(now-b.updated).Seconds())
	}
	b.updated = now
	missing := min(n, size) - b.level
	if missing <= 0 {
		return 0
	}
	return max(time.Duration(missing/rate*float64(time.Second)), minWait)
}

// take removes n. A negative n returns what an earlier call removed in excess.
func (b *bucket) take(n float64) { b.level -= n }
