// Package retrier decides what follows an attempt: deliver, settle, try again or give up with the truth about what ran.
package retrier

// RequestState is what the decision depends on besides the event.
type RequestState struct {
	// Once marks a request that may not be repeated.
	Once bool
	// Ran is set when an earlier attempt of the request may have run.
	Ran bool
	// Attempts counts the attempts so far.
	Attempts int
	// Suspect marks a request that is held back because targets crash under it.
	Suspect bool
}

const (
	// DefaultAttempts bounds the attempts of one request.
	DefaultAttempts = 4
	// DefaultSettles bounds the questions about one attempt to an agent that does not answer.
	DefaultSettles = 5
)

// DecideOpen returns what to do about an attempt that stands at event after settles questions to its agent: Settle or
// Follow while it is open. Once it has ended the step is zero and the event is how it came out.
func DecideOpen(settles int, event Event) (Step, Event) {
	switch {
	case event == Running:
		return Follow, event
	case event == Lost && settles < DefaultSettles:
		return Settle, event
	case event == Lost:
		return 0, Gone
	default:
		return 0, event
	}
}

// Decide returns the step after an attempt that ended with event. It asks budget before a retry.
//
// Rules: a request that may not be repeated is tried again only when the attempt is known not to have run; "not run"
// is said only when no attempt can have run; "ran" is said only when a target answered. A planned stop spends no
// budget, because it refuses or moves each attempt at most once.
func Decide(s RequestState, event Event, budget *Budget) Step {
	switch event {
	case Completed:
		return Deliver
	case NotSent, Refused, Unreached, Draining:
		if s.again() && (event == Draining || budget.Spend()) {
			return Retry
		}
		if s.Ran {
			return ReportUnknown
		}
		return RefuseNotRun
	case Gone, Crashed, Stopped, Failed, Moved:
		if !s.Once && s.again() && (event == Moved || budget.Spend()) {
			return Retry
		}
		if event == Failed {
			return ReportRan
		}
		return ReportUnknown
	case Abandoned:
		return ReportUnknown
	default:
		panic("invariant attempt-event: only an ended attempt is decided on: " + event.String())
	}
}

// again reports whether the request may have one more attempt, apart from what ran and from the budget.
func (s RequestState) again() bool { return s.Attempts < DefaultAttempts && !s.Suspect }
