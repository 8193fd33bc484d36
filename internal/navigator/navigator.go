package navigator

import (
	"math/rand/v2"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Navigator holds the current plan of one process. The zero value holds the empty plan.
//
// Invariant: the revision of the plan never decreases. Lock rank: container.RankNavigator.
type Navigator struct {
	lock    container.Lock[container.Navigator]
	plan    Plan
	changed chan struct{}
}

// Adopt makes p the current plan if its revision is higher than that of the current one, and reports whether it did.
func (n *Navigator) Adopt(p Plan) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	if p.Revision() <= n.plan.Revision() {
		return false
	}
	n.plan = p
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
	return true
}

// Current returns the current plan.
func (n *Navigator) Current() Plan {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.plan
}

// Watch returns the current plan and a channel that is closed when another plan is adopted.
func (n *Navigator) Watch() (Plan, <-chan struct{}) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.plan, n.changed
}

// PickService chooses a service of the route at random, in proportion to the weights of its shares.
func (r Route) PickService() (identifier.Service, bool) {
	total := 0.0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total <= 0 {
		return "", false
	}
	point := rand.Float64() * total //nolint:gosec // not used for a secret
	for _, s := range r.Shares {
		if point -= max(s.Weight, 0); point < 0 {
			return s.Service, true
		}
	}
	return r.Shares[len(r.Shares)-1].Service, true
}
