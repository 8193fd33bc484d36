package tracker

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Change is a target whose status has changed.
type Change struct {
	Target identifier.Target
	Before Status
	After  Status
}

// AdoptRows records the rows of a zone's digest and returns the targets whose status has changed; digestAge is the age
// of the digest in periods. A target whose row has reached silentPeriods becomes silent. A digest that has itself reached
// silentPeriods is ignored and the last view stays, because the observer's own link is in doubt.
func (t *Tracker) AdoptRows(zone identifier.Zone, rows []Row, digestAge int, now time.Duration) []Change {
	if digestAge >= silentPeriods || len(rows) == 0 {
		return nil
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	var changes []Change
	reported := make(map[identifier.Target]bool, len(rows))
	for _, r := range rows {
		m, ok := t.members[r.Target]
		if !ok || m.listed.Zone != zone {
			continue
		}
		reported[r.Target] = r.Age < silentPeriods
		if r.Age >= silentPeriods {
			continue
		}
		before, after := m.recordReport(r.report(), now)
		m.lastRelayed = now
		if before != after {
			changes = append(changes, Change{Target: r.Target, Before: before, After: after})
		}
	}
	for id, m := range t.members {
		// The status of a member that this observer probes itself follows from the probes.
		if m.listed.Zone == zone && !reported[id] && m.status == Serving && m.lastReport == m.lastRelayed {
			m.status = Silent
			changes = append(changes, Change{Target: id, Before: Serving, After: Silent})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Target, b.Target) })
	return changes
}

// AdoptSummaries replaces the loads of services in other zones.
func (t *Tracker) AdoptSummaries(summaries []Summary) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.summaries = make(map[zoneService]Summary, len(summaries))
	for _, s := range summaries {
		t.summaries[zoneService{s.Zone, s.Service}] = s
	}
}

const (
	// probesPerService is how many targets of a service an observer probes in each other zone.
	probesPerService = 2
	// DefaultProbes bounds the number of targets that an observer probes itself. At about 250 bytes a probe they cost
	// 4 KB/s.
	DefaultProbes = 16
)

// Probes returns the targets that the observer probes itself, at most limit: those of its own zone that the digest
// does not contain, then up to probesPerService targets of each service in each other zone, nearby zones first.
// Observers with different seeds probe different targets of a zone. Targets that reported that they leave come last,
// with the same bound: only a probe discovers that such a target was restarted.
func (t *Tracker) Probes(zone identifier.Zone, region identifier.Region, seed uint64, limit int, now, period time.Duration) []Member {
	t.lock.Lock()
	defer t.lock.Unlock()
	type candidate struct {
		member   Member
		distance int
		order    uint64
		covered  bool
		leaving  bool
	}
	var all []candidate
	for id, m := range t.members {
		c := candidate{member: m.listed, order: shuffleKey(seed, id), distance: 2, leaving: m.status == Leaving}
		switch {
		case m.listed.Zone == zone:
			c.distance = 0
			c.covered = m.lastRelayed > 0 && periods(m.lastRelayed, now, period) < silentPeriods
		case m.listed.Region == region:
			c.distance = 1
		}
		if !c.covered && !m.listed.Leaving {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(boolOrder(a.leaving), boolOrder(b.leaving)), cmp.Compare(a.distance, b.distance), cmp.Compare(a.order, b.order),
			cmp.Compare(a.member.Target, b.member.Target))
	})
	var out []Member
	type group struct {
		zoneService
		leaving bool
	}
	count := make(map[group]int)
	for _, c := range all {
		g := group{zoneService{c.member.Zone, c.member.Service}, c.leaving}
		if len(out) < limit && (c.distance == 0 || count[g] < probesPerService) {
			count[g]++
			out = append(out, c.member)
		}
	}
	return out
}

// boolOrder sorts false before true.
func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// shuffleKey returns a sort key that orders targets differently for each seed.
func shuffleKey(seed uint64, id identifier.Target) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// The multiplier is that of the splitmix64 generator; it spreads a change of the seed over all bits.
	return (h.Sum64() ^ seed) * 0xbf58476d1ce4e5b9
}
