package updater

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Phase is the progress of one target in a weight change.
type Phase int

const (
	// Fetching means that the target's agent does not have all chunks yet.
	Fetching Phase = iota
	// Ready means that the agent has all chunks and the engine can switch.
	Ready
	// Switching means that the engine has been asked to switch and has not answered.
	Switching
	// Failed means that the engine did not report the new version or the answer was lost. The switch is retried.
	Failed
	// Switched means that the engine itself has reported the new version.
	Switched
)

// DefaultShare is the default share of targets that keep serving during a change.
const DefaultShare = 0.75

// Change tracks the switch of a service's targets to one weight version.
//
// Invariants: a target is Switched only on the engine's own report of the version; at most 1 − share of the targets,
// but at least one, are switching at a time. Lock rank: container.RankUpdater.
type Change struct {
	lock     container.Lock[container.Updater]
	version  identifier.Version
	share    float64
	phases   map[identifier.Target]Phase
	attempts map[identifier.Target]int
	pinned   map[identifier.Target]bool
}

// NewChange returns a change to version v of the given targets that keeps share of them serving; zero means
// DefaultShare.
func NewChange(v identifier.Version, share float64, targets ...identifier.Target) *Change {
	if share <= 0 || share >= 1 {
		share = DefaultShare
	}
	c := &Change{
		version: v, share: share, phases: make(map[identifier.Target]Phase),
		attempts: make(map[identifier.Target]int), pinned: make(map[identifier.Target]bool),
	}
	for _, t := range targets {
		c.phases[t] = Fetching
	}
	return c
}

// Pin keeps a target on its current version until Unpin, for callers that are pinned to that version.
func (c *Change) Pin(t identifier.Target) { c.setPin(t, true) }

// Unpin allows a pinned target to switch.
func (c *Change) Unpin(t identifier.Target) { c.setPin(t, false) }

func (c *Change) setPin(t identifier.Target, pinned bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.pinned[t] = pinned
}

// MarkFetched records that a target's agent has fetched and verified all chunks.
func (c *Change) MarkFetched(t identifier.Target) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if p, ok := c.phases[t]; ok && p == Fetching {
		c.phases[t] = Ready
	}
}

// Next returns the targets to switch now and marks them as switching. Targets with fewer attempts come first, so that a
// failed target is retried after those without an attempt.
func (c *Change) Next() []identifier.Target {
	c.lock.Lock()
	defer c.lock.Unlock()
	available := max(1, int(float64(len(c.phases))*(1-c.share)))
	var eligible []identifier.Target
	for t, p := range c.phases {
		switch {
		case p == Switching:
			available--
		case (p == Ready || p == Failed) && !c.pinned[t]:
			eligible = append(eligible, t)
		}
	}
	slices.SortFunc(eligible, func(a, b identifier.Target) int {
		if c.attempts[a] != c.attempts[b] {
			return c.attempts[a] - c.attempts[b]
		}
		if a < b {
			return -1
		}
		return 1
	})
	eligible = eligible[:min(max(available, 0), len(eligible))]
	for _, t := range eligible {
		c.phases[t] = Switching
		c.attempts[t]++
	}
	return eligible
}

// Observe records the version that a target's engine reports and returns the target's phase. Any other version than
// that of the change is a failure of a target that is switching or has switched; zero means that there was no answer.
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
		// An engine that restarted with older weights must switch again.
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
