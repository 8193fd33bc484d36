// Package timer is the one source of time. Parts subscribe to it; tests drive a manual service by hand.
package timer

import "time"

// Service gives the time and wakes subscribers.
type Service interface {
	// Now returns the wall clock time.
	Now() time.Time
	// Boot returns the time since an arbitrary fixed point, by a clock that also counts suspended time.
	Boot() time.Duration
	// After returns a subscription that fires once, d from now.
	After(d time.Duration) Subscription
	// Every returns a subscription that fires each d. A tick that finds the last one unread is dropped.
	Every(d time.Duration) Subscription
}

// Subscription delivers the times at which it fires.
type Subscription interface {
	// C returns the channel on which the subscription fires. It is never closed.
	C() <-chan time.Time
	// Stop ends the subscription. It may be called more than once.
	Stop()
}
