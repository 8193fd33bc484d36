package limiter

import "time"

const (
	// burstTime bounds the permits that accumulate between two asks: one permit and those of this time.
	burstTime = 250 * time.Millisecond
	// permitTolerance allows for the rounding of accumulated fractions.
	permitTolerance = 1e-9
)

// bucket accumulates permits at a rate. It is immutable. The zero value is empty and has no rate.
type bucket struct {
	rate    float64
	permits float64
	at      time.Duration
}

// newBucket returns a bucket that is empty until a monotonic time.
func newBucket(rate float64, empty time.Duration) bucket { return bucket{rate: rate, at: empty} }

// withRate returns a copy of b that has accumulated permits until now and goes on at the given rate.
func (b bucket) withRate(rate float64, now time.Duration) bucket {
	if now > b.at {
		b.permits += b.rate * (now - b.at).Seconds()
		b.permits = min(b.permits, 1+rate*burstTime.Seconds())
		b.at = now
	}
	b.rate = rate
	return b
}

// take returns a copy of b without one permit, or the time from now until there is one.
func (b bucket) take(now time.Duration) (bucket, time.Duration) {
	if b.permits < 1-permitTolerance {
		return b, max(0, b.at-now) + time.Duration((1-b.permits)/b.rate*float64(time.Second))
	}
	b.permits--
	return b, 0
}
