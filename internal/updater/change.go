package updater

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Phase is how far a target is with a weight change.
type Phase int

const (
	// Fetching means that the target's agent does not have all chunks yet.
	Fetching Phase = iota
	// Ready means that the weights can be switched.
	Ready
	// Switching means that the engine was told to switch and has not answered.
	Switching
	// Failed means that the engine refused or the answer was lost. The switch is tried again.
	Failed
	// Switched means that the engine itself reported the new version.
	Switched
)

// DefaultShare is the share of targets that serve during a change.
const DefaultShare = 0.75

// Change is the roll-out of one weight version to the targets of a service.
//
// Invariants: a target is Switched only on the engine's own report of the version; at most 1 − share of the targets,
// but at least one, are switching at a time. Lock rank: container.RankUpdater.
type Change struct {
	lock    container.Lock[container.Updater]
	version identifier.Version
	share   float64
	phases  map[identifier.Target]Phase
	tries   map[identifier.Target]int
	pinned  map[identifier.Target]bool
}

// NewChange returns a change to version v of the given targets that keeps share of them serving; zero means
// DefaultShare.
func NewChange(v identifier.Version, share float64, targets ...identifier.Target) *Change {
	if share <= 0 || share >= 1 {
		share = DefaultShare
	}
	c := &Change{
		version: v, share: share, phases: make(map[identifier.Target]Phase),
		tries: make(map[identifier.Target]int), pinned: make(map[identifier.Target]bool),
	}
	for _, t := range targets {
		c.phases[t] = Fetching
	}
	return c
}

// Pin keeps a target on its version while callers that are pinned to it need it; Unpin ends that.
func (c *Change) Pin(t identifier.Target) { c.setPin(t, true) }

// Unpin lets a pinned target switch.
func (c *Change) Unpin(t identifier.Target) { c.setPin(t, false) }

func (c *Change) setPin(t identifier.Target, pinned bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.pinned[t] = pinned
}

// MarkFetched records that a target's agent has all chunks, verified.
func (c *Change) MarkFetched(t identifier.Target) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if p, ok := c.phases[t]; ok && p == Fetching {
		c.phases[t] = Ready
	}
}

// Next returns the targets to switch now and counts them as switching. Targets that failed come after those that were
// not tried.
func (c *Change) Next() []identifier.Target {
	c.lock.Lock()
	defer c.lock.Unlock()
	room := max(1, int(float64(len(c.phases))*(1-c.share)))
	var able []identifier.Target
	for t, p := range c.phases {
		switch {
		case p == Switching:
			room--
		case (p == Ready || p == Failed) && !c.pinned[t]:
			able = append(able, t)
		}
	}
	slices.SortFunc(able, func(a, b identifier.Target) int {
		if c.tries[a] != c.tries[b] {
			return c.tries[a] - c.tries[b]
		}
		if a < b {
			return -1
		}
		return 1
	})
	able = able[:min(max(room, 0), len(able))]
	for _, t := range able {
		c.phases[t] = Switching
		c.tries[t]++
	}
	return able
}

// Observe takes over what the engine of a switching target reports. Anything but the wanted version is a failure;
// zero stands for no answer.
func (c *Change) Observe(t identifier.Target, reported identifier.Version) Phase {
	c.lock.Lock()
	defer c.lock.Unlock()
	p, ok := c.phases[t]
	switch {
	case !ok:
		return Failed
	case reported == c.version:
		c.phases[t] = Switched
	case p == Switching || p == Switched:
		// An engine that restarted with older weights is not done any more.
		c.phases[t] = Failed
	}
	return c.phases[t]
}

// Phases returns a copy of the targets' phases.
func (c *Change) Phases() map[identifier.Target]Phase {
	c.lock.Lock()
	defer c.lock.Unlock()
	out := make(map[identifier.Target]Phase, len(c.phases))
	for t, p := range c.phases {
		out[t] = p
	}
	return out
}

// Done reports whether every target has switched.
func (c *Change) Done() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, p := range c.phases {
		if p != Switched {
			return false
		}
	}
	return true
}
