// Package estimator predicts how much work an attempt is, from what attempts of the same kind were.
package estimator

import "time"

// Work is the work of one attempt: the time that it takes at a target of its service's usual speed. It is immutable, and zero if it is
// not known.
type Work struct {
	// Start is the time to the first event, or to the whole answer of a request that is not answered with events.
	Start time.Duration
	// Events is the number of events of the whole text, and Interval the time between two of them.
	Events   float64
	Interval time.Duration
}

// IsKnown reports whether w says anything.
func (w Work) IsKnown() bool { return w.Start > 0 || w.Events > 0 }

// Total returns the whole of the work.
func (w Work) Total() time.Duration { return w.From(0) }

// From returns the work of an attempt that continues a text after a number of events.
func (w Work) From(events int) time.Duration { return w.Start + w.rest(max(events, 1)) }

// Remaining returns what is left of the work once a text has a number of events, begun by an earlier attempt or by this one.
func (w Work) Remaining(events, ofAttempt int) time.Duration {
	if ofAttempt == 0 {
		return w.From(events)
	}
	return w.rest(events)
}

// overrunShare is the part of the events of a text that are still expected at least. A text that is longer than its kind usually is
// belongs to the long ones, so that its remaining work does not fall to nothing.
const overrunShare = 8

// rest returns the work of the events after a number of them.
func (w Work) rest(events int) time.Duration {
	if w.Events <= 1 {
		return 0
	}
	left := max(w.Events-float64(events), float64(events)/overrunShare)
	return time.Duration(left * float64(w.Interval))
}

// with returns w moved by a share of the difference to an observation, none of which counts for more than a multiple of w.
func (w Work) with(observed Work, share, limit float64) Work {
	if observed.Interval == 0 {
		observed.Interval = w.Interval // a text of one event has none
	}
	return Work{
		Start:    time.Duration(moved(float64(w.Start), float64(observed.Start), share, limit)),
		Events:   moved(w.Events, observed.Events, share, limit),
		Interval: time.Duration(moved(float64(w.Interval), float64(observed.Interval), share, limit)),
	}
}

// moved returns a value moved by a share of the difference to another one, which is limited to a multiple of the value.
func moved(value, to, share, limit float64) float64 {
	if limit > 0 && value > 0 {
		to = min(to, limit*value)
	}
	return value + share*(to-value)
}
