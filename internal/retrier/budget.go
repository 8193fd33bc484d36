package retrier

import (
	"cmp"

	"github.com/mimosalb/mimosalb/internal/container"
)

const (
	// DefaultRatio is the number of retries that each first attempt adds to the budget. A tenth limits the extra load
	// of an outage to 10%.
	DefaultRatio = 0.1
	// DefaultReserve is the maximum number of saved retries.
	DefaultReserve = 10.0
	// ResumeRatio is the number of resumes that each first attempt adds to the budget. It is larger than DefaultRatio
	// because an attempt that continues an answer at its next token generates no token again and repeats only the
	// processing of the prompt.
	ResumeRatio = 0.5
	// ResumeReserve is the maximum number of saved resumes. It covers the streams of four targets that crash at once.
	ResumeReserve = 256.0
)

// Budget limits further attempts to a share of the first attempts. The zero value has DefaultRatio and DefaultReserve.
// A new budget is full.
//
// Invariant: over any n first attempts at most Ratio·n + Reserve further attempts are made. Lock rank:
// container.RankRetrier.
type Budget struct {
	Ratio   float64
	Reserve float64

	lock  container.Lock[container.Retrier]
	spent float64
}

// Earn adds Ratio for a first attempt.
func (b *Budget) Earn() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.spent = max(0, b.spent-cmp.Or(b.Ratio, DefaultRatio))
}

// Spend takes one further attempt from the budget. It reports false if none is left.
func (b *Budget) Spend() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.spent+1 > cmp.Or(b.Reserve, DefaultReserve) {
		return false
	}
	b.spent++
	return true
}
