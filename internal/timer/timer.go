// Package timer provides the clock and the timers that all other packages use, and a clock for tests that only advances
// when it is told to.
package timer

import "time"

// Service is a clock that notifies subscribers at chosen times.
type Service interface {
	// Now returns the wall clock time.
	Now() time.Time
	// Monotonic returns the monotonic time: the time since an arbitrary fixed point, by a clock that also counts
	// suspended time.
	Monotonic() time.Duration
	// After returns a subscription that fires once, d from now.
	After(d time.Duration) Subscription
	// Every returns a subscription that fires every d. A tick is dropped while the previous one is unread.
	Every(d time.Duration) Subscription
}

// Subscription delivers the times at which it fires.
type Subscription interface {
	// C returns the channel on which the subscription fires. It is never closed.
	C() <-chan time.Time
	// Stop ends the subscription. It may be called more than once.
	Stop()
}
