// Package leaser gives each duty to at most one process at a time, by leases of the key-value service and fencing
// numbers that rise with each term.
package leaser

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Term is one holder's time in a duty. It is immutable.
type Term struct {
	Duty   identifier.Duty
	Holder identifier.Node
	Fence  identifier.Fence
	// ValidUntil is the boot clock time before which the lease can't have lapsed anywhere.
	ValidUntil time.Duration
	// SettledFrom is the boot clock time from which the holder may give orders to receivers that ignore fencing numbers.
	SettledFrom time.Duration
}

// WithValidUntil returns a copy of t that is safe until the given boot clock time.
func (t Term) WithValidUntil(until time.Duration) Term {
	t.ValidUntil = until
	return t
}

// Valid reports whether the holder may act at the given boot clock time.
func (t Term) Valid(now time.Duration) bool { return t.Fence > 0 && now < t.ValidUntil }

// Settled reports whether the holder may also act towards receivers that ignore fencing numbers: whatever the holder
// of the term before sent has arrived or expired by then.
func (t Term) Settled(now time.Duration) bool { return t.Valid(now) && now >= t.SettledFrom }

const (
	// DefaultTTL is the time after which a lease lapses without renewal.
	DefaultTTL = 6 * time.Second
	// marginShare is the part of the TTL that a holder gives up for differences between clock rates.
	marginShare = 0.2
	// renewals is how often a lease is renewed within its TTL.
	renewals = 3
)

// safe returns how long after the start of a renewal the holder may act.
func safe(ttl time.Duration) time.Duration { return ttl - time.Duration(float64(ttl)*marginShare) }
