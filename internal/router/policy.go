package router

import (
	"math/rand/v2"

	"github.com/mimosalb/mimosalb/internal/decider"
)

// Choice is the input of a policy's decision. It is valid only during that decision.
type Choice struct {
	Requirements Requirements
	router       *Router
	group        *group
}

// Candidate is one target of a choice.
type Candidate struct {
	*Choice

	Target Target
	// Load is the estimated number of attempts at the target.
	Load float64
}

// Policy chooses a target and returns its index in the view.
type Policy = decider.Policy[*Choice, int]

// Costs of the default policy. The unit is the load of a whole target, as a share of its slots: a cost of 1 weighs as
// much as all slots of a target.
const (
	// crossZoneCost is the cost of a target in another zone of the region.
	crossZoneCost = 0.25
	// crossRegionCost is the cost of a target in another region: the link is slow and paid by volume.
	crossRegionCost = 2.0
	// uncachedCost is the cost of processing uncachedCostBytes bytes of prompt that are not cached.
	uncachedCost      = 0.25
	uncachedCostBytes = 1024.0
)

// busyThreshold is the share of a target's slots above which each further share costs busyCostFactor times its size in
// addition. A report may be a full report period old, so a target that looks almost full may have a queue by now.
const (
	busyThreshold  = 0.75
	busyCostFactor = 3.0
)

// loadCost returns the cost of the target's estimated load with one more attempt, as a share of its slots.
func loadCost(c Candidate) float64 {
	taken := (c.Load + 1) / float64(max(c.Target.Slots, 1))
	return taken + busyCostFactor*max(0, taken-busyThreshold)
}

// distanceCost returns the cost of leaving the availability zone or the region.
func distanceCost(c Candidate) float64 {
	switch {
	case c.Target.Zone == c.Requirements.Zone:
		return 0
	case c.Target.Region == c.Requirements.Region:
		return crossZoneCost
	default:
		return crossRegionCost
	}
}

// prefixCost returns the cost of the part of the prompt that is not in the target's cache.
func prefixCost(c Candidate) float64 {
	if c.Requirements.Prefix.levels == 0 {
		return 0
	}
	missing := c.Requirements.PromptBytes - c.router.prefixes.cachedBytes(c.Requirements.Prefix, c.Target.ID)
	return uncachedCost * float64(max(missing, 0)) / uncachedCostBytes
}

// Balanced is the default policy: it compares a fixed number of candidates by cost and takes the cheapest. The
// candidates are the targets that probably have the prompt's prefix in their cache, two random targets of the local
// availability zone, and one random target in each of two random other zones, so that a loaded zone overflows into
// others once the load costs more than the distance.
type Balanced struct {
	costs decider.Sum[Candidate]
}

// NewBalanced returns the default policy with its costs.
func NewBalanced() Balanced {
	return Balanced{costs: decider.NewSum[Candidate](
		decider.CostFunc[Candidate](loadCost), decider.CostFunc[Candidate](distanceCost), decider.CostFunc[Candidate](prefixCost))}
}

// localCandidates and remoteCandidates are the numbers of random candidates in and outside the local availability zone.
// Two random choices give most of the benefit of a full comparison.
const (
	localCandidates  = 2
	remoteCandidates = 2
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
	if c.Requirements.Regions.Restricted() {
		c.drawConfined(consider)
	} else {
		c.drawAny(consider)
	}
	for _, id := range c.router.prefixes.holders(c.Requirements.Prefix) {
		if i, ok := c.router.view.index[id]; ok && c.inGroup(i) {
			consider(i)
		}
	}
	if best >= 0 {
		return best, true
	}
	return c.anyTarget()
}

// drawAny calls consider for random targets of the local availability zone and of others.
func (c *Choice) drawAny(consider func(i int)) {
	localZone, remoteZones := len(c.group.zones), len(c.group.zones)
	if z, ok := c.group.byZone[c.Requirements.Zone]; ok {
		localZone, remoteZones = z, remoteZones-1
		for range localCandidates {
			consider(c.randomMember(c.group.zones[z].members))
		}
	}
	for range min(remoteCandidates, remoteZones) {
		z := c.router.random.IntN(remoteZones)
		if z >= localZone {
			z++
		}
		consider(c.randomMember(c.group.zones[z].members))
	}
}

// Spread chooses the target with the lowest share of slots taken by this entry, the nearest of equal ones, and none if all
// slots are taken. Attempts that are started first are therefore the ones that run near the entry.
type Spread struct{}

// Decide returns the target with the lowest share of taken slots.
func (Spread) Decide(c *Choice) (int, bool) {
	best, least, nearest := -1, 1.0, 0.0
	for _, z := range c.group.zones {
		for _, i := range z.members {
			candidate, ok := c.candidate(i)
			if !ok {
				continue
			}
			taken := float64(c.router.ownLoads[candidate.Target.ID].inFlight) / float64(max(candidate.Target.Slots, 1))
			distance := distanceCost(candidate)
			if taken < least || best >= 0 && taken == least && distance < nearest {
				best, least, nearest = i, taken, distance
			}
		}
	}
	return best, best >= 0
}

// Combined uses a policy of its own for attempts whose requirements ask for it, and Balanced for all others.
type Combined struct {
	balanced Balanced
	spread   Policy
}

// NewCombined returns the policy for entries that serve both single requests and batch jobs.
func NewCombined() Combined { return Combined{balanced: NewBalanced(), spread: Spread{}} }

// WithSpread returns a copy of b that uses a policy, such as Cost, for the items of batch jobs.
func (b Combined) WithSpread(p Policy) Combined {
	b.spread = p
	return b
}

// Decide returns the choice of the policy that the requirements ask for.
func (b Combined) Decide(c *Choice) (int, bool) {
	if c.Requirements.Spread {
		return b.spread.Decide(c)
	}
	return b.balanced.Decide(c)
}

// LeastInFlight chooses the target with the fewest attempts of this entry among all targets. It is a baseline for
// comparison.
type LeastInFlight struct{}

// Decide returns the target with the fewest attempts of this entry.
func (LeastInFlight) Decide(c *Choice) (int, bool) {
	best, fewest := -1, 0
	for _, z := range c.group.zones {
		for _, i := range z.members {
			candidate, ok := c.candidate(i)
			if !ok {
				continue
			}
			if n := c.router.ownLoads[candidate.Target.ID].inFlight; best < 0 || n < fewest {
				best, fewest = i, n
			}
		}
	}
	return best, best >= 0
}

// RoundRobin chooses the targets in turn. It is a baseline for comparison.
type RoundRobin struct {
	next int
}

// Decide returns the next target.
func (r *RoundRobin) Decide(c *Choice) (int, bool) {
	total := 0
	for _, z := range c.group.zones {
		total += len(z.members)
	}
	for range total {
		at := r.next % total
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

// candidate returns the target at an index of the view, or false if the requirements exclude it.
func (c *Choice) candidate(i int) (Candidate, bool) {
	t := c.router.view.targets[i]
	if c.Requirements.avoids(t.ID) || !c.Requirements.Regions.Allows(t.Region) {
		return Candidate{}, false
	}
	return Candidate{Choice: c, Target: t, Load: c.router.load(t)}, true
}

// inGroup reports whether the target at an index of the view belongs to the choice's group.
func (c *Choice) inGroup(i int) bool {
	t := c.router.view.targets[i]
	required := c.Requirements
	return t.Service == required.Service && (required.Version == 0 || t.Version == required.Version) &&
		(required.Release == "" || t.Release == required.Release)
}

func (c *Choice) randomMember(members []int) int { return members[c.router.random.IntN(len(members))] }

// anyTarget scans the group from a random position for a target that is not excluded. It runs only when every candidate
// was excluded, for example by earlier attempts of the request.
func (c *Choice) anyTarget() (int, bool) {
	zones := c.group.zones
	first := c.router.random.IntN(len(zones))
	for z := range zones {
		zone := zones[(first+z)%len(zones)]
		if !c.Requirements.Regions.Allows(zone.region) {
			continue
		}
		members := zone.members
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
