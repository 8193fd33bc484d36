package retrier

import "strconv"

// Step is the entry's next step for a request.
type Step int

const (
	// Deliver sends the answer to the caller.
	Deliver Step = iota + 1
	// Settle asks the gatekeeper for the state of the attempt.
	Settle
	// Follow reads the answer of the attempt.
	Follow
	// Retry starts another attempt on another target.
	Retry
	// RefuseNotRun tells the caller that the request did not run.
	RefuseNotRun
	// ReportUnknown tells the caller that the request may have run.
	ReportUnknown
	// ReportRan tells the caller that the request ran and failed.
	ReportRan
)

var stepNames = [...]string{"none", "deliver", "settle", "follow", "retry", "refuse-not-run", "report-unknown", "report-ran"}

// String returns the name of the step.
func (s Step) String() string {
	if s < 0 || int(s) >= len(stepNames) {
		return strconv.Itoa(int(s))
	}
	return stepNames[s]
}
