// Package router chooses the target of an attempt from an immutable view of the targets.
package router

import (
	"math/rand/v2"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Router keeps the view, the entry's own work in flight and what it knows of the targets' caches. The zero value knows
// no target.
//
// Invariant: each counted attempt is released once. Lock rank: container.RankRouter.
type Router struct {
	lock     container.Lock[container.Router]
	view     View
	own      map[identifier.Target]ownWork
	prefixes prefixTable
	policy   Policy
	random   *rand.Rand
	// choice is kept here so that a decision allocates nothing.
	choice Choice
}

// ownWork is this entry's work at one target.
type ownWork struct {
	flying int
	// since is the change of flying since the target's last report.
	since int
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

// Adopt replaces the view. Own work at a target whose report is newer than in the last view is part of that report.
func (r *Router) Adopt(v View) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for id, w := range r.own {
		t, listed := v.Target(id)
		if old, known := r.view.Target(id); !listed || !known || t.Reported != old.Reported {
			w.since = 0
		}
		if w == (ownWork{}) {
			delete(r.own, id)
			continue
		}
		r.own[id] = w
	}
	r.view = v
}

// Choose picks a target for the need and counts the attempt as in flight there until Release.
func (r *Router) Choose(n Requirements) (Target, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.init()
	group := r.view.group(n)
	if group == nil {
		return Target{}, false
	}
	r.choice = Choice{Need: n, router: r, group: group}
	i, ok := r.policy.Decide(&r.choice)
	if !ok {
		return Target{}, false
	}
	t := r.view.targets[i]
	w := r.own[t.ID]
	w.flying++
	w.since++
	r.own[t.ID] = w
	r.prefixes.note(n.Prefix, t.ID)
	return t, true
}

// Release ends an attempt that Choose counted.
func (r *Router) Release(id identifier.Target) {
	r.lock.Lock()
	defer r.lock.Unlock()
	w, ok := r.own[id]
	if !ok || w.flying <= 0 {
		panic("invariant routing: an attempt is released once")
	}
	w.flying--
	w.since--
	if w.flying == 0 && w.since == 0 {
		delete(r.own, id)
		return
	}
	r.own[id] = w
}

// Cached takes over a cache event of a target: whether it holds the beginning with the given hash.
func (r *Router) Cached(id identifier.Target, hash uint64, present bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if present {
		r.prefixes.add(hash, id)
		return
	}
	r.prefixes.remove(hash, id)
}

// View returns the present view.
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
	for id, w := range r.own {
		if t, ok := r.view.Target(id); ok && t.Service == s {
			n += w.flying
		}
	}
	return n
}

// load estimates the number of attempts at a target: its report, and this entry's work since then.
func (r *Router) load(t Target) float64 { return max(0, float64(t.Running+r.own[t.ID].since)) }

func (r *Router) init() {
	if r.own == nil {
		r.own = make(map[identifier.Target]ownWork)
	}
	if r.policy == nil {
		r.policy = NewBalanced()
	}
	if r.random == nil {
		r.random = newRandom(rand.Uint64()) //nolint:gosec // no secret depends on it
	}
}
