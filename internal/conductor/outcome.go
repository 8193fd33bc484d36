package conductor

import "github.com/mimosalb/mimosalb/internal/storer"

// storeOutcome is how a call to the key-value service came out.
type storeOutcome = storer.Outcome

const (
	applied     = storer.Applied
	conflict    = storer.Conflict
	unavailable = storer.Unavailable
)

// Acceptance is how a submission came out.
type Acceptance int

const (
	// Accepted means that the job is kept from now on.
	Accepted Acceptance = iota + 1
	// Refused means that no part of the job runs.
	Refused
	// Undecided means that it is not known whether the job is kept.
	Undecided
	// Foreign means that another team has a job of that identity.
	Foreign
	// Declined means that the process that was asked does not lead the job, which may be led by another one.
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

// ReadOutcome is how a read of a job came out.
type ReadOutcome int

const (
	// Found means that the job is there.
	Found ReadOutcome = iota + 1
	// Missing means that there is no such job, or none of the team.
	Missing
	// Unsure means that the store could not be asked.
	Unsure
)

// String returns the name of the finding.
func (f ReadOutcome) String() string {
	names := [...]string{"none", "found", "missing", "unsure"}
	if f < 0 || int(f) >= len(names) {
		return "invalid"
	}
	return names[f]
}
