// Package router chooses the target of an attempt from an immutable view of the targets.
package router

import (
	"math/rand/v2"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Target is a back end as an entry sees it. It is immutable.
type Target struct {
	ID          identifier.Target
	Service     identifier.Service
	Zone        identifier.Zone
	Region      identifier.Region
	Incarnation identifier.Incarnation
	// Address is where the agent beside the target listens.
	Address string
	// Running is the number of attempts at the target by its last report.
	Running int
	// Version is the weight version by the last report.
	Version identifier.Version
}

// WithReport returns a copy of t with the load and version of a newer report.
func (t Target) WithReport(incarnation identifier.Incarnation, running int, version identifier.Version) Target {
	t.Incarnation, t.Running, t.Version = incarnation, running, version
	return t
}

// Need is what an attempt asks of its target.
type Need struct {
	Service identifier.Service
	Zone    identifier.Zone
	Region  identifier.Region
	// Avoid lists the targets that earlier attempts used.
	Avoid []identifier.Target
}

// choices is how many random targets compete; two give most of the benefit of a full scan at constant cost.
const choices = 2

// Router keeps the view and the entry's own work in flight. The zero value knows no target.
//
// Lock rank: container.RankRouter.
type Router struct {
	lock     container.Lock[container.Router]
	view     View
	inFlight map[identifier.Target]int
	random   *rand.Rand
}

// Option sets a property of a Router.
type Option func(*Router)

// WithSeed sets the seed of the random choices. Entries use different seeds so that they do not pick the same target
// from the same stale reports.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.random = rand.New(rand.NewPCG(seed, seed)) } //nolint:gosec // no secret depends on it
}

// NewRouter returns a Router without targets.
func NewRouter(opts ...Option) *Router {
	r := &Router{}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Adopt replaces the view.
func (r *Router) Adopt(v View) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.view = v
}

// Choose picks a target for the need and counts the attempt as in flight there until Release.
func (r *Router) Choose(n Need) (Target, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, candidates := range r.view.near(n) {
		if t, ok := r.pick(candidates, n.Avoid); ok {
			if r.inFlight == nil {
				r.inFlight = make(map[identifier.Target]int)
			}
			r.inFlight[t.ID]++
			return t, true
		}
	}
	return Target{}, false
}

// Release ends an attempt that Choose counted.
func (r *Router) Release(id identifier.Target) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.inFlight[id]--
	if r.inFlight[id] <= 0 {
		delete(r.inFlight, id)
	}
}

// pick compares a few random candidates and returns the least loaded. When all of them are avoided it takes any other.
func (r *Router) pick(candidates []Target, avoid []identifier.Target) (Target, bool) {
	var best Target
	found := false
	for range min(choices, len(candidates)) {
		t := candidates[r.intN(len(candidates))]
		if contains(avoid, t.ID) {
			continue
		}
		if !found || r.load(t) < r.load(best) {
			best, found = t, true
		}
	}
	if found {
		return best, true
	}
	for _, t := range candidates {
		if !contains(avoid, t.ID) {
			return t, true
		}
	}
	return Target{}, false
}

// load is the reported load or the entry's own work, whichever is more: own work is part of the report after a lag.
func (r *Router) load(t Target) int { return max(t.Running, r.inFlight[t.ID]) }

func (r *Router) intN(n int) int {
	if r.random == nil {
		return rand.IntN(n) //nolint:gosec // no secret depends on it
	}
	return r.random.IntN(n)
}

func contains(ids []identifier.Target, id identifier.Target) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
