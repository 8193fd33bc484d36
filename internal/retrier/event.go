package retrier

import "strconv"

// Event is the state or outcome of an attempt, as far as the entry knows it.
type Event int

const (
	// Unsent means that no byte of the attempt left this process.
	Unsent Event = iota + 1
	// Refused means that the gatekeeper ruled the attempt out: it did not run and never will.
	Refused
	// Draining means that the gatekeeper accepts no new work because of a planned stop; the attempt is ruled out.
	Draining
	// Unreached means that the gatekeeper admitted the attempt, but the target received no byte of it.
	Unreached
	// Lost means that a reply of the agent did not arrive; the agent can still be asked about the attempt.
	Lost
	// Running means that the gatekeeper admitted the attempt; its answer can be read.
	Running
	// Unknown means that it can no longer be found out whether the attempt ran.
	Unknown
	// Crashed means that the target crashed or closed the connection while it had the attempt.
	Crashed
	// Failed means that the target ran the attempt and failed.
	Failed
	// Invalid means that the target answered with a status or a header that the protocol does not allow, which does not show
	// whether it ran the attempt.
	Invalid
	// Stopped means that the agent or the target ended the attempt early on its own, other than for a planned stop.
	Stopped
	// PlannedStop means that the agent ended the attempt early because of a planned stop.
	PlannedStop
	// Completed means that the whole answer arrived.
	Completed
	// Abandoned means that the caller disconnected, its key was withdrawn or the deadline passed.
	Abandoned
)

var eventNames = [...]string{
	"none", "not-sent", "refused", "draining", "unreached", "lost", "running", "gone", "crashed", "failed", "invalid", "stopped", "moved",
	"completed", "abandoned",
}

// String returns the name of the event.
func (e Event) String() string {
	if e < 0 || int(e) >= len(eventNames) {
		return strconv.Itoa(int(e))
	}
	return eventNames[e]
}

// MayHaveRun reports whether the target may have run an attempt with outcome e.
func (e Event) MayHaveRun() bool {
	switch e {
	case Unsent, Refused, Draining, Unreached:
		return false
	default:
		return true
	}
}
