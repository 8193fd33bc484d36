package conductor

import "github.com/mimosalb/mimosalb/internal/storer"

// storeOutcome is the outcome of a call to the key-value service.
type storeOutcome = storer.Outcome

const (
	applied     = storer.Applied
	conflict    = storer.Conflict
	unavailable = storer.Unavailable
)

// Acceptance is the outcome of a submission.
type Acceptance int

const (
	// Accepted means that the job is stored durably.
	Accepted Acceptance = iota + 1
	// Refused means that the job was not stored and none of its items will run.
	Refused
	// AcceptanceUnknown means that it is unknown whether the job was stored.
	AcceptanceUnknown
	// OtherTeam means that the job ID belongs to a job of another team.
	OtherTeam
	// Declined means that the process that received a forwarded job has no capacity for it; another process may accept
	// it.
	Declined
)

// String returns the name of the acceptance.
func (a Acceptance) String() string {
	names := [...]string{"none", "accepted", "refused", "undecided", "foreign", "declined"}
	if a < 0 || int(a) >= len(names) {
		return "invalid"
	}
	return names[a]
}

// ReadOutcome is the outcome of reading a job.
type ReadOutcome int

const (
	// Found means that the job exists and belongs to the team.
	Found ReadOutcome = iota + 1
	// Missing means that the team has no such job, or that the job has no such item.
	Missing
	// ReadFailed means that the store could not be read.
	ReadFailed
	// Waiting means that the job has no further results and no registered process that may lead it.
	Waiting
)

// String returns the name of the outcome.
func (o ReadOutcome) String() string {
	names := [...]string{"none", "found", "missing", "unsure", "waiting"}
	if o < 0 || int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}
