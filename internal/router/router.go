// Package router chooses the target of an attempt from an immutable view of the targets.
package router

import (
	"math/rand/v2"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Router holds the current view, the entry's own attempts in flight and the probable contents of the targets' caches.
// The zero value has no targets.
//
// Invariant: each attempt that Choose counted is released exactly once. Lock rank: container.RankRouter.
type Router struct {
	lock     container.Lock[container.Router]
	view     View
	ownLoads map[identifier.Target]ownLoad
	prefixes prefixTable
	policy   Policy
	random   *rand.Rand
	// choice is a field so that a decision allocates nothing.
	choice Choice
	work   workTable
}

// ownLoad counts this entry's attempts at one target.
type ownLoad struct {
	inFlight int
	// sinceReport is the change of inFlight since the target's last report.
	sinceReport int
	// work is the remaining work of the attempts in flight, as far as it is known.
	work time.Duration
}

// Option sets a property of a Router.
type Option func(*Router)

// WithSeed sets the seed of the random choices. Entries use different seeds so that they do not pick the same target
// from the same stale reports.
func WithSeed(seed uint64) Option { return func(r *Router) { r.random = newRandom(seed) } }

// WithPolicy replaces the default policy.
func WithPolicy(p Policy) Option { return func(r *Router) { r.policy = p } }

// NewRouter returns a Router without targets.
func NewRouter(opts ...Option) *Router {
	r := &Router{}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Adopt replaces the view. Where a target's report is newer than in the previous view, the report already includes this
// entry's attempts, so that their count since the report starts again at zero.
func (r *Router) Adopt(v View) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for id, own := range r.ownLoads {
		t, listed := v.Target(id)
		if old, known := r.view.Target(id); !listed || !known || t.Reported != old.Reported {
			own.sinceReport = 0
		}
		if own == (ownLoad{}) {
			delete(r.ownLoads, id)
			continue
		}
		r.ownLoads[id] = own
	}
	r.view = v
	r.rebuildRows()
}

// Choose chooses a target that meets the requirements and counts an attempt as in flight there until Release.
func (r *Router) Choose(required Requirements) (Target, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.init()
	group := r.view.group(required)
	if group == nil {
		return Target{}, false
	}
	r.choice = Choice{Requirements: required, router: r, group: group}
	i, ok := r.policy.Decide(&r.choice)
	if !ok {
		return Target{}, false
	}
	t := r.view.targets[i]
	own := r.ownLoads[t.ID]
	own.inFlight++
	own.sinceReport++
	t.Work, t.Held = r.countedWork(required, t.ID)
	own.work += t.Work
	r.ownLoads[t.ID] = own
	r.updateRow(i)
	r.work.shared.add(required.Shared.Key, t.ID)
	r.prefixes.addAll(required.Prefix, t.ID)
	return t, true
}

// Release ends an attempt that Choose counted.
func (r *Router) Release(id identifier.Target) {
	r.lock.Lock()
	defer r.lock.Unlock()
	own, ok := r.ownLoads[id]
	if !ok || own.inFlight <= 0 {
		panic("invariant routing: an attempt is released exactly once")
	}
	own.inFlight--
	own.sinceReport--
	if own.inFlight == 0 {
		own.work = 0
	}
	defer r.updateTarget(id)
	if own.inFlight == 0 && own.sinceReport == 0 {
		delete(r.ownLoads, id)
		return
	}
	r.ownLoads[id] = own
}

// RecordCacheEvent applies a cache event of a target: whether its cache now contains the prefix with the given hash.
func (r *Router) RecordCacheEvent(id identifier.Target, hash uint64, present bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if present {
		r.prefixes.add(hash, id)
		return
	}
	r.prefixes.remove(hash, id)
}

// View returns the current view.
func (r *Router) View() View {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.view
}

// InFlight returns the number of this entry's attempts at all targets of a service.
func (r *Router) InFlight(s identifier.Service) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	n := 0
	for id, own := range r.ownLoads {
		if t, ok := r.view.Target(id); ok && t.Service == s {
			n += own.inFlight
		}
	}
	return n
}

// load estimates the number of attempts at a target: the number in its last report and this entry's change since then.
func (r *Router) load(t Target) float64 {
	return max(0, float64(t.Running+r.ownLoads[t.ID].sinceReport))
}

func (r *Router) init() {
	if r.ownLoads == nil {
		r.ownLoads = make(map[identifier.Target]ownLoad)
	}
	if r.policy == nil {
		r.policy = NewBalanced()
	}
	if r.random == nil {
		r.random = newRandom(rand.Uint64()) //nolint:gosec // no secret depends on it
	}
}
