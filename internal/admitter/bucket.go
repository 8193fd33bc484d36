package admitter

import "time"

// burst is how many seconds of its rate a bucket holds when full.
const burst = 2 * time.Second

// bucket is a token bucket. The zero value is full at its first use.
type bucket struct {
	level   float64
	updated time.Duration
	used    bool
}

// wait refills the bucket at rate per second and returns how long it takes until n fit; zero when they fit now. A
// rate of zero is no limit. More than a full bucket fits when the bucket is full.
func (b *bucket) wait(rate, n float64, now time.Duration) time.Duration {
	if rate <= 0 {
		return 0
	}
	size := max(rate*burst.Seconds(), 1)
	if !b.used {
		b.level, b.used = size, true
	} else {
		b.level = min(size, b.level+rate*(now-b.updated).Seconds())
	}
	b.updated = now
	missing := min(n, size) - b.level
	if missing <= 0 {
		return 0
	}
	return max(time.Duration(missing/rate*float64(time.Second)), time.Millisecond)
}

// take removes n; a negative n returns what was taken too much.
func (b *bucket) take(n float64) { b.level -= n }
