package collector

import "github.com/mimosalb/mimosalb/internal/identifier"

// Kind says what a call asks for.
type Kind int

const (
	// KindSubmit stores a submission.
	KindSubmit Kind = iota + 1
	// KindPull asks for a batch.
	KindPull
	// KindAcknowledge hands in a statement.
	KindAcknowledge
	// KindStatus asks for the run's state.
	KindStatus
)

// Call is a trainer's call to a run, as an entry passes it on to the run's owner.
type Call struct {
	Kind       Kind
	Run        RunID
	Team       identifier.Team
	Submission Submission
	Pull       Pull
	// Forwarded marks a call that came from another entry; it is not passed on again.
	Forwarded bool
}

// WithForwarded returns a copy of c that is not passed on again.
func (c Call) WithForwarded() Call {
	c.Forwarded = true
	return c
}

// Reply is the answer to a call.
type Reply struct {
	Delivery

	Status Status
}

func refuse(reason string) Reply {
	return Reply{Delivery: Delivery{Receipt: Receipt{Outcome: Refused, Reason: reason}}}
}

func moved() Reply { return Reply{Delivery: Delivery{Receipt: Receipt{Outcome: Moved}}} }
