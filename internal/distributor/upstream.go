package distributor

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

// retryAfterPeriods is the number of periods for which a parent that did not answer is skipped.
const retryAfterPeriods = 5

// Upstream chooses the parent that a node asks next. The zero value has no parents.
//
// Invariant: a parent that did not answer is not asked again within retryAfterPeriods while another parent is
// available. Lock rank: container.RankDistributor.
type Upstream struct {
	lock    container.Lock[container.Distributor]
	parents []Member
	root    string
	failed  map[string]time.Duration
}

// SetParents replaces the parents, given in order of preference.
func (u *Upstream) SetParents(parents []Member) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.parents = parents
	kept := make(map[string]time.Duration)
	for _, m := range parents {
		if at, ok := u.failed[m.Address]; ok {
			kept[m.Address] = at
		}
	}
	if at, ok := u.failed[u.root]; ok {
		kept[u.root] = at
	}
	u.failed = kept
}

// SetRoot sets the address of the root, which is asked before the parents; an empty address removes it.
func (u *Upstream) SetRoot(root string) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.root = root
}

// Next returns the address to ask: the first one that is not skipped, else the one whose failure is the oldest. It
// reports false without parents.
func (u *Upstream) Next(now, period time.Duration) (string, bool) {
	u.lock.Lock()
	defer u.lock.Unlock()
	best, oldest := "", time.Duration(0)
	consider := func(address string) bool {
		at, hasFailed := u.failed[address]
		if !hasFailed || now-at >= retryAfterPeriods*period {
			best = address
			return true
		}
		if best == "" || at < oldest {
			best, oldest = address, at
		}
		return false
	}
	if u.root != "" && consider(u.root) {
		return best, true
	}
	for _, m := range u.parents {
		if consider(m.Address) {
			break
		}
	}
	return best, best != ""
}

// RecordFailure records that a parent did not answer, and reports whether this is its first failure since it last answered.
func (u *Upstream) RecordFailure(address string, now time.Duration) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	if u.failed == nil {
		u.failed = make(map[string]time.Duration)
	}
	_, again := u.failed[address]
	u.failed[address] = now
	return !again
}

// RecordSuccess records that a parent answered, which clears its failure.
func (u *Upstream) RecordSuccess(address string) {
	u.lock.Lock()
	defer u.lock.Unlock()
	delete(u.failed, address)
}
