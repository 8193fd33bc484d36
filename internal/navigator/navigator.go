package navigator

import (
	"math/rand/v2"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Navigator holds the plan that is in force in one process. The zero value holds the empty plan.
//
// Invariant: the revision of the plan only rises. Lock rank: container.RankNavigator.
type Navigator struct {
	lock    container.Lock[container.Navigator]
	plan    Plan
	changed chan struct{}
}

// Adopt puts a plan in force if its revision is above the present one, and reports whether it did.
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

// Current returns the plan in force.
func (n *Navigator) Current() Plan {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.plan
}

// Watch returns the plan in force and a channel that is closed when a later one is.
func (n *Navigator) Watch() (Plan, <-chan struct{}) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.plan, n.changed
}

// PickService returns the service that a request of the route goes to, at random by the weights of the shares.
func (r Route) PickService() (identifier.Service, bool) {
	total := 0.0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total <= 0 {
		return "", false
	}
	at := rand.Float64() * total //nolint:gosec // no secret depends on it
	for _, s := range r.Shares {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service, true
		}
	}
	return r.Shares[len(r.Shares)-1].Service, true
}
