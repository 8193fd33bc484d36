package storer

import "time"

// Purpose is what a call to the key-value service is for. Lower purposes go first when the budget is short. The zero
// value counts as PurposeUsage.
type Purpose int

// The purposes in order of precedence. Duties depend on PurposeLease and PurposeConfig, so bulk traffic must not delay them.
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

// known returns p, or PurposeUsage for a value that is no purpose.
func (p Purpose) known() Purpose {
	if p < PurposeLease || p > PurposeUsage {
		return PurposeUsage
	}
	return p
}

// rate returns the calls per second that one process may make for the purpose. A duty is held by one process at a
// time, so these rates add up over the duties and not over the fleet.
func (p Purpose) rate() float64 {
	return [...]float64{
		PurposeLease: 10, PurposeConfig: 20, PurposeSeal: 20, PurposeOrder: 10, PurposeRun: 50, PurposeClaim: 100, PurposeUsage: 20,
	}[p.known()]
}

const (
	// totalRate bounds the calls per second of one process for all purposes: a tenth of the 2,000 calls per second
	// that the key-value service sustains.
	totalRate = 200.0
	// burstTime is the time over which unused rate is saved up.
	burstTime = 2 * time.Second
)

// reserve returns the part of the saved-up total that a purpose leaves to those before it.
func (p Purpose) reserve() float64 {
	return totalRate * burstTime.Seconds() * float64(p.known()-PurposeLease) / float64(PurposeUsage)
}
