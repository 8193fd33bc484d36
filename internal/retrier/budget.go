package retrier

import "github.com/mimosalb/mimosalb/internal/container"

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
