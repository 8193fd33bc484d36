package tracker

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Change is a target whose standing has changed.
type Change struct {
	Target identifier.Target
	Before Status
	After  Status
}

// AdoptRows takes over the rows of a zone's digest, which is older periods old, and returns what has changed. Rows
// whose age has reached silentAge make a target silent. A digest that is that old itself says nothing about the
// targets: this observer's own link is in doubt, and the last view stays.
func (t *Tracker) AdoptRows(zone identifier.Zone, rows []Row, older int, now time.Duration) []Change {
	if older >= silentAge || len(rows) == 0 {
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
		reported[r.Target] = r.Age < silentAge
		if r.Age >= silentAge {
			continue
		}
		before, after := m.observe(r.report(), now)
		m.relayed = now
		if before != after {
			changes = append(changes, Change{Target: r.Target, Before: before, After: after})
		}
	}
	for id, m := range t.members {
		// A member that this observer probes itself is judged by the probe.
		if m.listed.Zone == zone && !reported[id] && m.standing == Serving && m.seen == m.relayed {
			m.standing = Silent
			changes = append(changes, Change{Target: id, Before: Serving, After: Silent})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Target, b.Target) })
	return changes
}

// AdoptSummaries takes over the loads of services in other zones.
func (t *Tracker) AdoptSummaries(sums []Summary) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.summaries = make(map[place]Summary, len(sums))
	for _, s := range sums {
		t.summaries[place{s.Zone, s.Service}] = s
	}
}

const (
	// perPlace is how many targets of a service an observer probes in another zone.
	perPlace = 2
	// DefaultProbes bounds the targets that an observer probes itself. At about 250 bytes a probe they cost 4 KB/s.
	DefaultProbes = 16
)

// Probes returns the targets that the observer probes itself, at most limit: those of its own zone that the digest does
// not cover, then for each service some of other zones, near ones first. Observers with different seeds probe different
// targets of a zone. Targets that have said that they leave come last, and as many of them: only a probe finds out that
// one was started again.
func (t *Tracker) Probes(zone identifier.Zone, region identifier.Region, seed uint64, limit int, now, period time.Duration) []Member {
	t.lock.Lock()
	defer t.lock.Unlock()
	type candidate struct {
		member  Member
		near    int
		order   uint64
		covered bool
		leaving bool
	}
	var all []candidate
	for id, m := range t.members {
		c := candidate{member: m.listed, order: mix(seed, id), near: 2, leaving: m.standing == Leaving}
		switch {
		case m.listed.Zone == zone:
			c.near = 0
			c.covered = m.relayed > 0 && periods(m.relayed, now, period) < silentAge
		case m.listed.Region == region:
			c.near = 1
		}
		if !c.covered && !m.listed.Leaving {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(rank(a.leaving), rank(b.leaving)), cmp.Compare(a.near, b.near), cmp.Compare(a.order, b.order),
			cmp.Compare(a.member.Target, b.member.Target))
	})
	var out []Member
	type group struct {
		place
		leaving bool
	}
	count := make(map[group]int)
	for _, c := range all {
		at := group{place{c.member.Zone, c.member.Service}, c.leaving}
		if len(out) < limit && (c.near == 0 || count[at] < perPlace) {
			count[at]++
			out = append(out, c.member)
		}
	}
	return out
}

// rank orders false before true.
func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// mix orders targets differently for each seed.
func mix(seed uint64, id identifier.Target) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	// The multiplier is that of the splitmix64 generator; it spreads a change of the seed over all bits.
	return (h.Sum64() ^ seed) * 0xbf58476d1ce4e5b9
}
