// Package tracker decides which targets take new work, from the platform's VM list and the agents' reports.
package tracker

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Status is how a target stands with this observer.
type Status int

const (
	// Listed means that the VM list names the target and it has not reported yet.
	Listed Status = iota
	// Serving means that the agent reports.
	Serving
	// Silent means that the agent does not answer this observer. It says nothing about other observers.
	Silent
	// Leaving means that the target takes no new work. It is sticky for an incarnation.
	Leaving
)

// Member is a target VM of the VM list.
type Member struct {
	Target  identifier.Target
	Service identifier.Service
	Zone    identifier.Zone
	Region  identifier.Region
	Address string
	Leaving bool
}

// Report is what an agent says about its target.
type Report struct {
	Incarnation identifier.Incarnation
	Running     int
	Draining    bool
	Version     identifier.Version
}

// silentAfter is the number of failed probes in a row after which a target is silent.
const silentAfter = 2

// member is a listed target with what this observer knows about it.
type member struct {
	listed   Member
	report   Report
	standing Status
	failures int
	seen     time.Duration
	// relayed is when a digest last covered the target.
	relayed time.Duration
}

// Tracker is one observer's membership table. The zero value knows no target.
//
// Invariants: only the VM list removes a target, and not one that reports; a leaving target never serves again in the same incarnation; when
// more than half of a zone's targets are silent, the observer suspects its own link and keeps them. Lock rank:
// container.RankTracker.
type Tracker struct {
	lock      container.Lock[container.Tracker]
	members   map[identifier.Target]*member
	summaries map[place]Summary
}

// place is a service in an availability zone.
type place struct {
	zone    identifier.Zone
	service identifier.Service
}

// lingering is how long a target that the VM list no longer names stays after its last report. A list that the platform
// cut short must not empty the view, and a target that is gone does not report.
const lingering = 10 * time.Second

// AdoptList takes over a VM list. Targets that it does not name are gone once they do not report either; the list is
// offered each period for that.
func (t *Tracker) AdoptList(list []Member, now time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	next := make(map[identifier.Target]*member, len(list))
	for _, m := range list {
		row, ok := t.members[m.Target]
		if !ok || row.listed.Address != m.Address {
			row = &member{}
		}
		row.listed = m
		if m.Leaving {
			row.standing = Leaving
		}
		next[m.Target] = row
	}
	for id, m := range t.members {
		if _, ok := next[id]; !ok && m.seen > 0 && now-m.seen < lingering {
			next[id] = m
		}
	}
	t.members = next
}

// RecordReport takes over a report of a target's agent. It returns the standing before and after.
func (t *Tracker) RecordReport(id identifier.Target, r Report, now time.Duration) (before, after Status) {
	t.lock.Lock()
	defer t.lock.Unlock()
	m, ok := t.members[id]
	if !ok {
		return Listed, Listed
	}
	return m.observe(r, now)
}

// observe takes over a report. A report of an earlier incarnation is late and changes nothing.
func (m *member) observe(r Report, now time.Duration) (before, after Status) {
	before = m.standing
	if r.Incarnation < m.report.Incarnation {
		return before, before
	}
	sticky := m.standing == Leaving && r.Incarnation == m.report.Incarnation
	m.report, m.failures, m.seen = r, 0, now
	switch {
	case r.Draining, m.listed.Leaving, sticky:
		m.standing = Leaving
	default:
		m.standing = Serving
	}
	return before, m.standing
}

// RecordFailure records that a target's agent did not answer. It returns the standing before and after.
func (t *Tracker) RecordFailure(id identifier.Target) (before, after Status) {
	t.lock.Lock()
	defer t.lock.Unlock()
	m, ok := t.members[id]
	if !ok {
		return Listed, Listed
	}
	before = m.standing
	m.failures++
	if m.standing == Serving && m.failures >= silentAfter {
		m.standing = Silent
	}
	return before, m.standing
}

// EndProbing records that the observer no longer probes a target. Unless a digest covers it, nothing is known about it.
func (t *Tracker) EndProbing(id identifier.Target) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if m, ok := t.members[id]; ok && m.relayed == 0 && m.standing != Leaving {
		m.standing, m.seen = Listed, 0
	}
}

// Members returns the listed targets.
func (t *Tracker) Members() []Member {
	t.lock.Lock()
	defer t.lock.Unlock()
	all := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, m.listed)
	}
	return all
}

// View returns the targets that take new work.
func (t *Tracker) View() router.View {
	t.lock.Lock()
	defer t.lock.Unlock()
	suspect := t.suspectZones()
	targets := make([]router.Target, 0, len(t.members))
	for _, m := range t.members {
		if m.standing == Serving || m.standing == Silent && suspect[m.listed.Zone] {
			targets = append(targets, m.target(t.summaries[place{m.listed.Zone, m.listed.Service}].Mean()))
		}
	}
	return router.NewView(targets)
}

// suspectZones returns the zones of which more than half of the targets are silent.
func (t *Tracker) suspectZones() map[identifier.Zone]bool {
	silent, all := make(map[identifier.Zone]int), make(map[identifier.Zone]int)
	for _, m := range t.members {
		all[m.listed.Zone]++
		if m.standing == Silent {
			silent[m.listed.Zone]++
		}
	}
	suspect := make(map[identifier.Zone]bool)
	for z, n := range silent {
		suspect[z] = 2*n > all[z]
	}
	return suspect
}

func (m *member) target(mean int) router.Target {
	t := router.Target{
		ID:      m.listed.Target,
		Service: m.listed.Service,
		Zone:    m.listed.Zone,
		Region:  m.listed.Region,
		Address: m.listed.Address,
	}
	return t.WithReport(m.report.Incarnation, max(m.report.Running, mean), m.report.Version, m.seen)
}
