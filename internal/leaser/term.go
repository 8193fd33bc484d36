// Package leaser elects at most one holder of each duty at a time, with leases of the key-value service and fencing
// numbers that rise with each term.
package leaser

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Term is a period for which one process holds a duty. It is immutable.
type Term struct {
	Duty   identifier.Duty
	Holder identifier.Node
	Fence  identifier.Fence
	// ValidUntil is the monotonic time until which the lease can't have expired, by the clock of any process.
	ValidUntil time.Duration
	// SettledFrom is the monotonic time from which the holder may send orders to receivers that ignore fencing numbers.
	SettledFrom time.Duration
}

// WithValidUntil returns a copy of t that is valid until the given monotonic time.
func (t Term) WithValidUntil(until time.Duration) Term {
	t.ValidUntil = until
	return t
}

// Valid reports whether the holder may act at the given monotonic time.
func (t Term) Valid(now time.Duration) bool { return t.Fence > 0 && now < t.ValidUntil }

// Settled reports whether the holder may also send orders to receivers that ignore fencing numbers: all orders of the
// previous term's holder have arrived or expired by then.
func (t Term) Settled(now time.Duration) bool { return t.Valid(now) && now >= t.SettledFrom }

const (
	// DefaultTTL is the time after which a lease expires without renewal.
	DefaultTTL = 6 * time.Second
	// clockDriftMargin is the share of the TTL at its end in which a holder does not act, because clocks of processes may
	// run at different rates.
	clockDriftMargin = 0.2
	// renewalsPerTTL is the number of renewals of a lease within its TTL.
	renewalsPerTTL = 3
)

// safeDuration returns the time after the start of a renewal for which the holder may act.
func safeDuration(ttl time.Duration) time.Duration {
	return ttl - time.Duration(float64(ttl)*clockDriftMargin)
}
