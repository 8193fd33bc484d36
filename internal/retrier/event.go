package retrier

import "strconv"

// Event is how an attempt stands at the entry.
type Event int

const (
	// NotSent means that no byte of the attempt left this process.
	NotSent Event = iota + 1
	// Refused means that the gate ruled the attempt out.
	Refused
	// Draining means that the gate takes no new work because of a planned stop; the attempt is ruled out.
	Draining
	// Unreached means that the gate admitted the attempt and the target took no byte of it.
	Unreached
	// Lost means that a reply of the agent did not arrive; the agent can be asked about the attempt.
	Lost
	// Running means that the gate admitted the attempt; its answer can be read.
	Running
	// Gone means that nobody can tell any more whether the attempt ran.
	Gone
	// Crashed means that the target died, or cut the connection, while it had the attempt.
	Crashed
	// Failed means that the target ran the attempt and failed.
	Failed
	// Stopped means that the agent or the target gave the attempt up on its own.
	Stopped
	// Moved means that the agent gave the attempt up because of a planned stop.
	Moved
	// Completed means that the whole answer is here.
	Completed
	// Abandoned means that the caller went away, its key was withdrawn or the deadline passed.
	Abandoned
)

var eventNames = [...]string{
	"none", "not-sent", "refused", "draining", "unreached", "lost", "running", "gone", "crashed", "failed", "stopped", "moved",
	"completed", "abandoned",
}

// String returns the name of the event.
func (e Event) String() string {
	if e < 0 || int(e) >= len(eventNames) {
		return strconv.Itoa(int(e))
	}
	return eventNames[e]
}

// MayHaveRun reports whether the target may have run the attempt that came out with e.
func (e Event) MayHaveRun() bool {
	switch e {
	case NotSent, Refused, Draining, Unreached:
		return false
	default:
		return true
	}
}
