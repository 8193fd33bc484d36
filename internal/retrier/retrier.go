// Package retrier decides what follows an attempt: deliver, settle, try again or give up with the truth about what ran.
package retrier

import (
	"github.com/mimosalb/mimosalb/internal/container"
)

// Event is how an attempt came out at the entry.
type Event int

const (
	// NotSent means that no byte of the attempt left this process.
	NotSent Event = iota + 1
	// Refused means that the gate ruled the attempt out.
	Refused
	// Lost means that the answer did not arrive and nothing is known about the attempt.
	Lost
	// Gone means that the incarnation that may have run the attempt no longer exists.
	Gone
	// Crashed means that the target died while it ran the attempt.
	Crashed
	// Failed means that the target ran the attempt and failed.
	Failed
	// Completed means that the whole answer is here.
	Completed
	// Abandoned means that the caller went away or the deadline passed.
	Abandoned
)

// Step is what to do next.
type Step int

const (
	// Deliver hands the answer to the caller.
	Deliver Step = iota + 1
	// Settle asks the gate what became of the attempt.
	Settle
	// Retry makes another attempt on another target.
	Retry
	// RefuseNotRun tells the caller that the request did not run.
	RefuseNotRun
	// ReportUnknown tells the caller that the request may have run.
	ReportUnknown
	// ReportRan tells the caller that the request ran and failed.
	ReportRan
)

// Situation is what the decision depends on besides the event.
type Situation struct {
	// Once marks a request that may not be repeated.
	Once bool
	// Ran is set when an earlier attempt of the request may have run.
	Ran bool
	// Attempts counts the attempts so far.
	Attempts int
}

// DefaultAttempts bounds the attempts of one request.
const DefaultAttempts = 4

// Decide returns the step after an attempt that came out with event. It asks budget before a retry.
//
// Rules: a request that may not be repeated is tried again only when the attempt is known not to have run; "not run"
// is said only when no attempt can have run.
func Decide(s Situation, event Event, budget *Budget) Step {
	switch event {
	case Completed:
		return Deliver
	case Lost:
		return Settle
	case NotSent, Refused:
		if s.Attempts < DefaultAttempts && budget.Spend() {
			return Retry
		}
		return giveUp(s, false)
	case Gone, Crashed, Failed:
		if !s.Once && s.Attempts < DefaultAttempts && budget.Spend() {
			return Retry
		}
		if event == Gone {
			return ReportUnknown
		}
		return ReportRan
	case Abandoned:
		return ReportUnknown
	default:
		panic("invariant attempt-event: unknown event")
	}
}

// giveUp reports the truth about all attempts of the request.
func giveUp(s Situation, ran bool) Step {
	if s.Ran || ran {
		return ReportUnknown
	}
	return RefuseNotRun
}

const (
	// DefaultRatio is the retries that one first attempt earns. A tenth keeps the extra load of an outage at 10%.
	DefaultRatio = 0.1
	// DefaultReserve is the most retries that can be saved up.
	DefaultReserve = 10.0
)

// Budget limits retries and hedges to a share of the first attempts. The zero value starts with DefaultReserve.
//
// Lock rank: container.RankRetrier.
type Budget struct {
	lock  container.Lock[container.Retrier]
	spent float64
}

// Earn credits a first attempt.
func (b *Budget) Earn() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.spent = max(0, b.spent-DefaultRatio)
}

// Spend takes one retry from the budget. It reports false when none is left.
func (b *Budget) Spend() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.spent+1 > DefaultReserve {
		return false
	}
	b.spent++
	return true
}
