package pacer

import "time"

const (
	// maxStall and minStall bound the time without an event after which an attempt counts as stalled. Pauses of an engine under full
	// load stay below the first, those of a fast one below the second.
	maxStall = 2500 * time.Millisecond
	minStall = 1200 * time.Millisecond
	// stallFactor is the multiple of the measured speed. A full batch and a prompt that is read beside it lengthen an interval up to
	// five times.
	stallFactor = 8
	// minMovedEvents is the least number of events that a text has to lack for a move. One that lacks fewer ends before another target has
	// read its prompt.
	minMovedEvents = 3
	// gainDivisor divides the time that a move takes into the part that it has to gain at least: speeds are measured on few events.
	gainDivisor = 4
)

// Limits bound the wait for the first and for each further event of an attempt. They are immutable.
type Limits struct {
	First, Next time.Duration
}

// StallLimits returns the limits of an attempt at a target, by its own speed and that of its peers. The slower of both counts, because a
// service whose targets all pause is not mended by another one of them. Without a measurement the limits are the longest that a working
// target needs.
func StallLimits(own, peers Pace) Limits {
	return Limits{
		First: stallLimit(max(own.First, peers.First), maxStall),
		Next:  stallLimit(max(own.Interval, peers.Interval), minStall),
	}
}

func stallLimit(measured, unknown time.Duration) time.Duration {
	if measured <= 0 {
		return unknown
	}
	return min(max(stallFactor*measured, minStall), maxStall)
}

// WorthMoving reports whether a text at a slow target is complete sooner at one of its peers, by more than the measurements may be wrong
// and the work that the other target spends on reading the prompt again.
func WorthMoving(own, peers Pace, hint, events int) bool {
	remaining := peers.Remaining(hint, events)
	if remaining < minMovedEvents || own.Interval <= 0 || peers.Interval <= 0 {
		return false
	}
	stay := time.Duration(remaining) * own.Interval
	move := peers.First + time.Duration(remaining)*peers.Interval
	return stay-move > max(move/gainDivisor, peers.First)
}
