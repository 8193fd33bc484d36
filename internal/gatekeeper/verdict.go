package gatekeeper

import "strconv"

// Verdict is the outcome of offering an attempt to the gate.
type Verdict int

const (
	// Admitted means that the attempt may run now. It is given at most once for each attempt.
	Admitted Verdict = iota + 1
	// Repeated means that the attempt was admitted before.
	Repeated
	// Barred means that the attempt was ruled out before.
	Barred
	// Forgotten means that the attempt was meant for another incarnation of this process.
	Forgotten
	// Draining means that the target takes no new work. The attempt is ruled out.
	Draining
	// Full means that the ledger or the target has no room. The attempt is ruled out.
	Full
	// Expired means that the attempt was issued too long ago, or too far in the future, for the ledger's memory.
	Expired
)

var verdictNames = [...]string{"none", "admitted", "repeated", "barred", "forgotten", "draining", "full", "expired"}

// String returns the name of the verdict.
func (v Verdict) String() string { return nameOf(verdictNames[:], int(v)) }

// Settlement is what the gate knows about an attempt whose answer was lost.
type Settlement int

const (
	// Running means that the attempt was admitted and has not ended.
	Running Settlement = iota + 1
	// Ran means that the attempt was admitted and has ended.
	Ran
	// NeverRuns means that the attempt was not admitted and never will be.
	NeverRuns
	// Unknown means that the attempt may have run: it was meant for another incarnation, or the ledger may have dropped
	// its record.
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
