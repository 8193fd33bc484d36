package distributor

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

// probation is how many periods a parent that did not answer is passed over before it is asked again.
const probation = 5

// Upstream chooses the parent that a node asks next. The zero value knows no parent.
//
// Invariant: a parent that did not answer is not asked again within its probation while another one is left. Lock rank:
// container.RankDistributor.
type Upstream struct {
	lock   container.Lock[container.Distributor]
	chain  []Member
	root   string
	failed map[string]time.Duration
}

// SetParents replaces the parents, in order of preference.
func (u *Upstream) SetParents(chain []Member) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.chain = chain
	kept := make(map[string]time.Duration)
	for _, m := range chain {
		if at, ok := u.failed[m.Address]; ok {
			kept[m.Address] = at
		}
	}
	if at, ok := u.failed[u.root]; ok {
		kept[u.root] = at
	}
	u.failed = kept
}

// SetRoot puts the root, by its address, before all parents; an empty address puts none.
func (u *Upstream) SetRoot(root string) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.root = root
}

// Next returns the address to ask: the first that is not on probation, else the one that failed first.
func (u *Upstream) Next(now, period time.Duration) (string, bool) {
	u.lock.Lock()
	defer u.lock.Unlock()
	best, oldest := "", time.Duration(0)
	consider := func(address string) bool {
		at, bad := u.failed[address]
		if !bad || now-at >= probation*period {
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
	for _, m := range u.chain {
		if consider(m.Address) {
			break
		}
	}
	return best, best != ""
}

// Fail records that a parent did not answer, and reports whether it had answered before.
func (u *Upstream) Fail(address string, now time.Duration) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	if u.failed == nil {
		u.failed = make(map[string]time.Duration)
	}
	_, again := u.failed[address]
	u.failed[address] = now
	return !again
}

// Succeed records that a parent answered.
func (u *Upstream) Succeed(address string) {
	u.lock.Lock()
	defer u.lock.Unlock()
	delete(u.failed, address)
}
