package collector

import "github.com/mimosalb/mimosalb/internal/identifier"

// Kind is the operation that a call requests.
type Kind int

const (
	// KindSubmit stores a submission.
	KindSubmit Kind = iota + 1
	// KindPull requests a batch.
	KindPull
	// KindAcknowledge applies the trainer's statement.
	KindAcknowledge
	// KindStatus requests the run's state.
	KindStatus
)

// Call is a trainer's call to a run. An entry that does not own the run forwards the call to the owner.
type Call struct {
	Kind       Kind
	Run        RunID
	Team       identifier.Team
	Submission Submission
	Pull       Pull
	// Forwarded marks a call that another entry has forwarded; it is not forwarded again.
	Forwarded bool
}

// WithForwarded returns a copy of c that is marked as forwarded.
func (c Call) WithForwarded() Call {
	c.Forwarded = true
	return c
}

// Reply is the answer to a call.
type Reply struct {
	Delivery

	Status Status
}

func refusedReply(reason string) Reply {
	return Reply{Delivery: Delivery{Receipt: Receipt{Outcome: Refused, Reason: reason}}}
}

func movedReply() Reply { return Reply{Delivery: Delivery{Receipt: Receipt{Outcome: Moved}}} }
