package gatekeeper

import "strconv"

// Verdict is the outcome of an offer.
type Verdict int

const (
	// Admitted means that the attempt may run now. It is given at most once for each attempt.
	Admitted Verdict = iota + 1
	// Repeated means that the attempt was admitted before.
	Repeated
	// RuledOut means that the attempt was ruled out before.
	RuledOut
	// OtherIncarnation means that the offer names another incarnation of the agent, whose ledger is lost.
	OtherIncarnation
	// Draining means that the target takes no new attempts. The attempt is ruled out.
	Draining
	// Full means that the ledger or the target is at capacity. The attempt is ruled out.
	Full
	// Expired means that the attempt was issued more than half the retention ago, or that far in the future. Its record
	// may have been dropped.
	Expired
)

var verdictNames = [...]string{"none", "admitted", "repeated", "barred", "forgotten", "draining", "full", "expired"}

// String returns the name of the verdict.
func (v Verdict) String() string { return nameOf(verdictNames[:], int(v)) }

// Settlement is the state of an attempt whose reply was lost, as far as the ledger knows it.
type Settlement int

const (
	// Running means that the attempt was admitted and has not ended.
	Running Settlement = iota + 1
	// Ran means that the attempt was admitted and has ended.
	Ran
	// NeverRuns means that the attempt was not admitted and never will be.
	NeverRuns
	// Unknown means that the attempt may have run: it was offered to another incarnation, or its record may have been
	// dropped.
	Unknown
)

var settlementNames = [...]string{"none", "running", "ran", "never-runs", "unknown"}

// String returns the name of the settlement.
func (s Settlement) String() string { return nameOf(settlementNames[:], int(s)) }

func nameOf(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return strconv.Itoa(i)
	}
	return names[i]
}
