package forwarder

import "time"

// stopPlan is how the process stops, by the monotonic clock. It is immutable.
type stopPlan struct {
	// late is the time from which a request is taken only if its time is up before end.
	late, end time.Duration
}

// StopBy makes f refuse the requests that arrive from the time late on and may still run at the time end, when the process cuts
// what is open. Until late, callers may not know yet that the process stops, and most requests take less than their time.
func (f *Forwarder) StopBy(late, end time.Duration) {
	f.stopping.Store(&stopPlan{late: late, end: end})
}

// refusesLate reports whether a request that arrives now with a deadline comes too late to be answered.
func (f *Forwarder) refusesLate(now, deadline time.Duration) bool {
	p := f.stopping.Load()
	return p != nil && now >= p.late && deadline > p.end
}
