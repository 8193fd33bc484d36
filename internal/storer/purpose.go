package storer

import "time"

// Purpose is what a call to the key-value service is for. Lower values have precedence when the budget is short. The
// zero value counts as PurposeUsage.
type Purpose int

// The purposes in order of precedence. Duties (work that one elected process does) depend on PurposeLease and
// PurposeConfig, so bulk traffic must not delay these.
const (
	PurposeLease Purpose = iota + 1
	PurposeConfig
	PurposeSeal
	PurposeOrder
	PurposeRun
	PurposeClaim
	PurposeUsage
)

// String returns the name of the purpose.
func (p Purpose) String() string {
	names := [...]string{"usage", "lease", "config", "seal", "order", "run", "claim", "usage"}
	if p < 0 || int(p) >= len(names) {
		return "invalid"
	}
	return names[p]
}

// orDefault returns p, or PurposeUsage for a value that is not a declared purpose.
func (p Purpose) orDefault() Purpose {
	if p < PurposeLease || p > PurposeUsage {
		return PurposeUsage
	}
	return p
}

// rate returns the calls per second that one process may make for the purpose. One process at a time holds a duty, so
// the total over all processes grows with the number of duties and not with the number of processes.
func (p Purpose) rate() float64 {
	return [...]float64{
		PurposeLease: 10, PurposeConfig: 20, PurposeSeal: 20, PurposeOrder: 10, PurposeRun: 50, PurposeClaim: 100, PurposeUsage: 20,
	}[p.orDefault()]
}

const (
	// totalCallsPerSecond bounds the calls per second of one process for all purposes: a tenth of the 2,000 calls per second
	// that the key-value service sustains.
	totalCallsPerSecond = 200.0
	// burstDuration is the time over which unused calls accumulate.
	burstDuration = 2 * time.Second
)

// reserve returns the number of accumulated calls that a purpose leaves to the purposes that precede it.
func (p Purpose) reserve() float64 {
	return totalCallsPerSecond * burstDuration.Seconds() * float64(p.orDefault()-PurposeLease) / float64(PurposeUsage)
}
