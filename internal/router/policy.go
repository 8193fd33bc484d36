package router

import (
	"math/rand/v2"

	"github.com/mimosalb/mimosalb/internal/decider"
)

// Choice is what a policy decides on. It is valid only during the decision.
type Choice struct {
	Need   Requirements
	router *Router
	group  *group
}

// Candidate is one target of a choice.
type Candidate struct {
	*Choice

	Target Target
	// Load is the estimated number of attempts at the target.
	Load float64
}

// Policy picks a target of the view by its index.
type Policy = decider.Policy[*Choice, int]

// Prices of the default policy, in slots of load: a candidate that costs one more is as good as one with one more of
// its slots taken.
const (
	// zonePrice is the price of leaving the availability zone.
	zonePrice = 0.25
	// regionPrice is the price of leaving the region: the link is slow and paid by volume.
	regionPrice = 2.0
	// prefixPrice is the price of reading prefixUnit bytes of prompt that are not cached.
	prefixPrice = 0.25
	prefixUnit  = 1024.0
)

// busyShare is the part of a target's slots above which more load is priced busyPrice times as high on top: reports are
// a period old, so a target that looks almost full may have a queue by now.
const (
	busyShare = 0.75
	busyPrice = 3.0
)

// loadCost prices the estimated load in parts of the target's slots, with one more attempt on it.
func loadCost(c Candidate) float64 {
	taken := (c.Load + 1) / float64(max(c.Target.Slots, 1))
	return taken + busyPrice*max(0, taken-busyShare)
}

// distanceCost prices the way to the target.
func distanceCost(c Candidate) float64 {
	switch {
	case c.Target.Zone == c.Need.Zone:
		return 0
	case c.Target.Region == c.Need.Region:
		return zonePrice
	default:
		return regionPrice
	}
}

// prefixCost prices the part of the prompt that the target must read anew.
func prefixCost(c Candidate) float64 {
	if c.Need.Prefix.levels == 0 {
		return 0
	}
	missing := c.Need.PromptBytes - c.router.prefixes.cached(c.Need.Prefix, c.Target.ID)
	return prefixPrice * float64(max(missing, 0)) / prefixUnit
}

// Balanced is the default policy: it compares a fixed number of candidates by cost and takes the cheapest. The
// candidates are the probable holders of the prompt's prefix, two random targets of the own availability zone, and one
// each of two other zones at random, so that a loaded zone spills over at a stated price.
type Balanced struct {
	costs decider.Sum[Candidate]
}

// NewBalanced returns the default policy with its prices.
func NewBalanced() Balanced {
	return Balanced{costs: decider.NewSum[Candidate](
		decider.CostFunc[Candidate](loadCost), decider.CostFunc[Candidate](distanceCost), decider.CostFunc[Candidate](prefixCost))}
}

// nearby and remote are the numbers of random candidates in and outside the own availability zone. Two choices give
// most of the benefit of a full comparison.
const (
	nearby = 2
	remote = 2
)

// Decide returns the cheapest candidate.
func (b Balanced) Decide(c *Choice) (int, bool) {
	best, bestCost := -1, 0.0
	consider := func(i int) {
		candidate, ok := c.candidate(i)
		if !ok {
			return
		}
		if cost := b.costs.Cost(candidate); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	own, others := len(c.group.zones), len(c.group.zones)
	if z, ok := c.group.byZone[c.Need.Zone]; ok {
		own, others = z, others-1
		for range nearby {
			consider(c.random(c.group.zones[z].members))
		}
	}
	for range min(remote, others) {
		z := c.router.random.IntN(others)
		if z >= own {
			z++
		}
		consider(c.random(c.group.zones[z].members))
	}
	for _, id := range c.router.prefixes.holders(c.Need.Prefix) {
		if i, ok := c.router.view.index[id]; ok && c.member(i) {
			consider(i)
		}
	}
	if best >= 0 {
		return best, true
	}
	return c.any()
}

// Spread takes the target with the smallest part of its slots taken by this entry, and none that has no slot left.
type Spread struct{}

// Decide returns the target with the most room.
func (Spread) Decide(c *Choice) (int, bool) {
	best, least := -1, 1.0
	for _, z := range c.group.zones {
		for _, i := range z.members {
			candidate, ok := c.candidate(i)
			if !ok {
				continue
			}
			taken := float64(c.router.own[candidate.Target.ID].flying) / float64(max(candidate.Target.Slots, 1))
			if taken < least {
				best, least = i, taken
			}
		}
	}
	return best, best >= 0
}

// Combined asks Spread for the needs that want it, and Balanced for all others.
type Combined struct {
	balanced Balanced
	spread   Spread
}

// NewCombined returns the policy for entries that lead both single requests and batch jobs.
func NewCombined() Combined { return Combined{balanced: NewBalanced()} }

// Decide returns the choice of the policy that the need asks for.
func (b Combined) Decide(c *Choice) (int, bool) {
	if c.Need.Spread {
		return b.spread.Decide(c)
	}
	return b.balanced.Decide(c)
}

// LeastInFlight takes the target with the fewest attempts of this entry, by looking at all. It is a baseline.
type LeastInFlight struct{}

// Decide returns the target with the fewest own attempts.
func (LeastInFlight) Decide(c *Choice) (int, bool) {
	best, fewest := -1, 0
	for _, z := range c.group.zones {
		for _, i := range z.members {
			candidate, ok := c.candidate(i)
			if !ok {
				continue
			}
			if n := c.router.own[candidate.Target.ID].flying; best < 0 || n < fewest {
				best, fewest = i, n
			}
		}
	}
	return best, best >= 0
}

// RoundRobin takes the targets in turn. It is a baseline.
type RoundRobin struct {
	next int
}

// Decide returns the next target.
func (r *RoundRobin) Decide(c *Choice) (int, bool) {
	all := 0
	for _, z := range c.group.zones {
		all += len(z.members)
	}
	for range all {
		at := r.next % all
		r.next++
		for _, z := range c.group.zones {
			if at >= len(z.members) {
				at -= len(z.members)
				continue
			}
			if _, ok := c.candidate(z.members[at]); ok {
				return z.members[at], true
			}
			break
		}
	}
	return 0, false
}

// candidate returns the target at an index, unless the need avoids it.
func (c *Choice) candidate(i int) (Candidate, bool) {
	t := c.router.view.targets[i]
	if c.Need.avoids(t.ID) {
		return Candidate{}, false
	}
	return Candidate{Choice: c, Target: t, Load: c.router.load(t)}, true
}

// member reports whether the target at an index is in the choice's group.
func (c *Choice) member(i int) bool {
	t := c.router.view.targets[i]
	return t.Service == c.Need.Service && (c.Need.Version == 0 || t.Version == c.Need.Version)
}

func (c *Choice) random(members []int) int { return members[c.router.random.IntN(len(members))] }

// any returns a target that is not avoided, from a random position on. It runs only when every candidate was avoided,
// which takes a second attempt.
func (c *Choice) any() (int, bool) {
	zones := c.group.zones
	first := c.router.random.IntN(len(zones))
	for z := range zones {
		members := zones[(first+z)%len(zones)].members
		start := c.router.random.IntN(len(members))
		for m := range members {
			i := members[(start+m)%len(members)]
			if _, ok := c.candidate(i); ok {
				return i, true
			}
		}
	}
	return 0, false
}

// newRandom returns a source of random choices. No secret depends on it.
func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // no secret depends on it
}
