package retrier

import (
	"cmp"

	"github.com/mimosalb/mimosalb/internal/container"
)

const (
	// DefaultRatio is the retries that one first attempt earns. A tenth keeps the extra load of an outage at 10%.
	DefaultRatio = 0.1
	// DefaultReserve is the most retries that can be saved up.
	DefaultReserve = 10.0
	// ResumeRatio is the resumes that one first attempt earns. Attempts that continue an answer at its next token repeat
	// no token's work, only the reading of the prompt.
	ResumeRatio = 0.5
	// ResumeReserve is the most resumes that can be saved up. It covers the streams of four targets that crash at once.
	ResumeReserve = 256.0
)

// Budget limits further attempts to a share of the first ones. The zero value has DefaultRatio and DefaultReserve. A
// new budget is full.
//
// Invariant: over any n first attempts at most Ratio·n + Reserve further ones are made. Lock rank:
// container.RankRetrier.
type Budget struct {
	Ratio   float64
	Reserve float64

	lock  container.Lock[container.Retrier]
	spent float64
}

// Earn credits a first attempt.
func (b *Budget) Earn() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.spent = max(0, b.spent-cmp.Or(b.Ratio, DefaultRatio))
}

// Spend takes one retry from the budget. It reports false when none is left.
func (b *Budget) Spend() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.spent+1 > cmp.Or(b.Reserve, DefaultReserve) {
		return false
	}
	b.spent++
	return true
}
