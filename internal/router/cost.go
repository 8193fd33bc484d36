package router

import "time"

// Costs of the distance to a target, as the time that a call takes there and back. Links between zones of a region take up to 1.5 ms in
// one direction, links between regions about 20 ms.
const (
	zoneTime   = 3 * time.Millisecond
	regionTime = 40 * time.Millisecond
)

// earlyTime is the expected wait for a slot below which an attempt is sent to a target whose slots are all taken, as far as is known, beyond
// this entry's share. One that comes too early is refused, which keeps the target from the entry for 150 ms, twice as long.
const earlyTime = 75 * time.Millisecond

// Cost chooses the target at which an attempt is expected to be done first: by the outstanding work there, as far as this entry and the
// others that lead jobs have told, by the work of the attempt, less what the target has in its cache, and by the target's measured
// speed. Targets with a free slot come before all others, so that a cached part never makes an attempt wait.
//
// No target gets more attempts of this entry than it has slots. Once the slots are taken by several entries, an entry goes on up to its
// share of them, so that the one that came first does not keep the others out. Attempts of unknown work are placed by Spread.
type Cost struct {
	spread Spread
}

// expectation is how early an attempt is expected to be done at a target. Among equal ones the first target considered is kept.
type expectation struct {
	target int
	free   bool
	done   time.Duration
}

// better reports whether e comes before the best one so far.
func (e expectation) better(best expectation) bool {
	if best.target < 0 || e.free != best.free {
		return best.target < 0 || e.free
	}
	return e.done < best.done
}

// Decide returns the target at which the attempt is expected to be done first.
func (p Cost) Decide(c *Choice) (int, bool) {
	if c.Requirements.Work <= 0 {
		return p.spread.Decide(c)
	}
	c.router.markAvoided(c.Requirements.Avoid, true)
	best := c.earliest()
	c.router.markAvoided(c.Requirements.Avoid, false)
	return best, best >= 0
}

// earliest returns the target at which the attempt is expected to be done first, or -1. Whatever excludes a target as a candidate excludes
// it here: rules come before cost.
func (c *Choice) earliest() int {
	best := c.compare()
	if best.target < 0 {
		return -1
	}
	if _, allowed := c.candidate(best.target); allowed {
		return best.target
	}
	row := &c.router.work.rows[best.target]
	row.avoided = true
	next := c.earliest()
	row.avoided = false
	return next
}

// compare returns the best expectation of all targets that are not marked as avoided.
func (c *Choice) compare() expectation {
	best := expectation{target: -1}
	for z := range c.group.zones {
		zone := &c.group.zones[z]
		if !c.allowsZone(z) {
			continue
		}
		away := c.distanceTime(zone)
		for _, i := range zone.members {
			if e, ok := c.expect(i, c.Requirements.Work, away); ok && e.better(best) {
				best = e
			}
		}
	}
	if best.target >= 0 && c.Requirements.Shared.Key != 0 {
		return c.preferHolder(best)
	}
	return best
}

// preferHolder returns the best of an expectation and of those at the targets that probably have the shared part.
func (c *Choice) preferHolder(best expectation) expectation {
	for _, id := range c.router.work.shared.targets(c.Requirements.Shared.Key) {
		i, ok := c.router.view.index[id]
		if !ok || !c.inGroup(i) {
			continue
		}
		work, _ := c.router.countedWork(c.Requirements, id)
		t := &c.router.view.targets[i]
		away := c.distanceTime(&zoneGroup{zone: t.Zone, region: t.Region})
		if e, ok := c.expect(i, work, away); ok && e.better(best) {
			best = e
		}
	}
	return best
}

// expect returns when an attempt is expected to be done at the target with an index of the view. It is false if the target must not get it.
func (c *Choice) expect(i int, work, away time.Duration) (expectation, bool) {
	row := &c.router.work.rows[i]
	taken := row.own + row.peers
	free := taken < row.slots
	if row.avoided || row.own >= row.slots {
		return expectation{}, false
	}
	// The slots advance side by side, so that the work of the others slows the attempt by one slot's share of it.
	busy := work + row.work/time.Duration(row.slots)
	if !free {
		wait := row.work / time.Duration(taken) * time.Duration(taken-row.slots+1) / time.Duration(row.slots)
		if row.own >= c.share(row.slots) && wait > earlyTime {
			return expectation{}, false
		}
		busy += wait
	}
	return expectation{target: i, free: free, done: away + time.Duration(float64(busy)/row.speed)}, true
}

// share returns the number of slots of a full target that this entry may use beside the other leading ones.
func (c *Choice) share(slots int) int {
	entries := c.router.work.leaders + 1
	return (slots + entries - 1) / entries
}

// distanceTime returns the time of a call to a zone and back.
func (c *Choice) distanceTime(z *zoneGroup) time.Duration {
	switch {
	case z.zone == c.Requirements.Zone:
		return 0
	case z.region == c.Requirements.Region:
		return zoneTime
	default:
		return regionTime
	}
}
