// Package retrier decides the step after an attempt: deliver the answer, settle, retry, or end the request with a
// report of whether it ran.
package retrier

// RequestState is the part of a request's state that Decide depends on.
type RequestState struct {
	// Once marks a request that may not be repeated.
	Once bool
	// Ran is set when an earlier attempt of the request may have run.
	Ran bool
	// Attempts counts the attempts so far.
	Attempts int
	// Suspect marks a request that is held back because it probably crashes targets.
	Suspect bool
}

const (
	// DefaultAttempts bounds the attempts of one request.
	DefaultAttempts = 4
	// DefaultSettles bounds the Settle queries about one attempt to an agent that does not answer.
	DefaultSettles = 5
)

// DecideOpen returns the step for an attempt with the given event after settles Settle queries to its agent: Settle or
// Follow while the attempt is open. Once it has ended, the step is zero and the returned event is its outcome.
func DecideOpen(settles int, event Event) (Step, Event) {
	switch {
	case event == Running:
		return Follow, event
	case event == Lost && settles < DefaultSettles:
		return Settle, event
	case event == Lost:
		return 0, Unknown
	default:
		return 0, event
	}
}

// Decide returns the step after an attempt that ended with event. A retry must fit into budget.
//
// Rules: a request that may not be repeated is retried only if the attempt is known not to have run; RefuseNotRun is
// returned only if no attempt can have run, and ReportRan only if a target answered. A planned stop spends no budget,
// because it refuses or moves each attempt at most once.
func Decide(s RequestState, event Event, budget *Budget) Step {
	switch event {
	case Completed:
		return Deliver
	case Unsent, Refused, Unreached, Draining:
		if s.mayRetry() && (event == Draining || budget.Spend()) {
			return Retry
		}
		if s.Ran {
			return ReportUnknown
		}
		return RefuseNotRun
	case Unknown, Crashed, Stopped, Failed, Invalid, PlannedStop:
		if !s.Once && s.mayRetry() && (event == PlannedStop || budget.Spend()) {
			return Retry
		}
		if event == Failed {
			return ReportRan
		}
		return ReportUnknown
	case Abandoned:
		return ReportUnknown
	default:
		panic("invariant attempt-event: Decide needs an event that ends an attempt, got " + event.String())
	}
}

// mayRetry reports whether the number of attempts and the suspicion allow one more attempt. It checks neither what ran
// nor the budget.
func (s RequestState) mayRetry() bool { return s.Attempts < DefaultAttempts && !s.Suspect }
