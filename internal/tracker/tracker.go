// Package tracker decides which targets take new work, from the platform's VM list and the agents' reports.
package tracker

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Status is the state of a target as this observer sees it.
type Status int

const (
	// Listed means that the VM list contains the target and it has not reported yet.
	Listed Status = iota
	// Serving means that the agent reports.
	Serving
	// Silent means that the agent does not answer this observer; it may answer others.
	Silent
	// Leaving means that the target accepts no new work. It lasts for the rest of the incarnation.
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

// Report is the state of a target as its agent reports it.
type Report struct {
	Incarnation identifier.Incarnation
	Running     int
	Draining    bool
	Version     identifier.Version
	// Release is the software version of the target's back end.
	Release identifier.Release
}

// silentThreshold is the number of consecutive failed probes after which a target is silent.
const silentThreshold = 2

// member is a listed target with the state that this observer has of it.
type member struct {
	listed Member
	report Report
	status Status
	// failures is the number of consecutive failed probes.
	failures int
	// lastReport is the monotonic time of the last report; zero if there is none.
	lastReport time.Duration
	// lastRelayed is the monotonic time at which a digest last contained a report of the target.
	lastRelayed time.Duration
}

// Tracker is one observer's membership table. The zero value is an empty table.
//
// Invariants: a target is removed only if the VM list omits it and it does not report; a leaving target never serves
// again in the same incarnation; if more than half of a zone's targets are silent, the observer suspects its own link
// and keeps them in the view. Lock rank: container.RankTracker.
type Tracker struct {
	lock      container.Lock[container.Tracker]
	members   map[identifier.Target]*member
	summaries map[zoneService]Summary
	evacuated evacuator.Zones
}

// zoneService identifies a service in an availability zone.
type zoneService struct {
	zone    identifier.Zone
	service identifier.Service
}

// unlistedGrace is how long a target that the VM list no longer contains stays in the table after its last report. An
// incomplete list from the platform must not empty the view, and a target that is gone does not report.
const unlistedGrace = 10 * time.Second

// AdoptList replaces the members by those of a VM list. A target that the list omits is removed once it has not
// reported for unlistedGrace, so the caller passes the list again each period.
func (t *Tracker) AdoptList(list []Member, now time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	next := make(map[identifier.Target]*member, len(list))
	for _, m := range list {
		state, ok := t.members[m.Target]
		if !ok || state.listed.Address != m.Address {
			state = &member{}
		}
		state.listed = m
		if m.Leaving {
			state.status = Leaving
		}
		next[m.Target] = state
	}
	for id, m := range t.members {
		if _, ok := next[id]; !ok && m.lastReport > 0 && now-m.lastReport < unlistedGrace {
			next[id] = m
		}
	}
	t.members = next
}

// RecordReport records a report of a target's agent. It returns the status before and after.
func (t *Tracker) RecordReport(id identifier.Target, r Report, now time.Duration) (before, after Status) {
	t.lock.Lock()
	defer t.lock.Unlock()
	m, ok := t.members[id]
	if !ok {
		return Listed, Listed
	}
	return m.recordReport(r, now)
}

// recordReport records a report. A report of an earlier incarnation is late and is ignored.
func (m *member) recordReport(r Report, now time.Duration) (before, after Status) {
	before = m.status
	if r.Incarnation < m.report.Incarnation {
		return before, before
	}
	stillLeaving := m.status == Leaving && r.Incarnation == m.report.Incarnation
	m.report, m.failures, m.lastReport = r, 0, now
	switch {
	case r.Draining, m.listed.Leaving, stillLeaving:
		m.status = Leaving
	default:
		m.status = Serving
	}
	return before, m.status
}

// RecordFailure records that a target's agent did not answer a probe. It returns the status before and after.
func (t *Tracker) RecordFailure(id identifier.Target) (before, after Status) {
	t.lock.Lock()
	defer t.lock.Unlock()
	m, ok := t.members[id]
	if !ok {
		return Listed, Listed
	}
	before = m.status
	m.failures++
	if m.status == Serving && m.failures >= silentThreshold {
		m.status = Silent
	}
	return before, m.status
}

// EndProbing records that the observer no longer probes a target. Unless digests contain it, its status becomes
// Listed.
func (t *Tracker) EndProbing(id identifier.Target) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if m, ok := t.members[id]; ok && m.lastRelayed == 0 && m.status != Leaving {
		m.status, m.lastReport = Listed, 0
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

// View returns the targets that accept new work.
func (t *Tracker) View() router.View {
	t.lock.Lock()
	defer t.lock.Unlock()
	suspect := t.suspectZones()
	targets := make([]router.Target, 0, len(t.members))
	for _, m := range t.members {
		if m.status == Serving || m.status == Silent && suspect[m.listed.Zone] {
			targets = append(targets, m.routerTarget(t.summaries[zoneService{m.listed.Zone, m.listed.Service}].Mean()))
		}
	}
	return router.NewView(targets)
}

// suspectZones returns the zones in which more than half of the targets are silent.
func (t *Tracker) suspectZones() map[identifier.Zone]bool {
	silent, all := make(map[identifier.Zone]int), make(map[identifier.Zone]int)
	for _, m := range t.members {
		all[m.listed.Zone]++
		if m.status == Silent {
			silent[m.listed.Zone]++
		}
	}
	suspect := make(map[identifier.Zone]bool)
	for z, n := range silent {
		suspect[z] = 2*n > all[z]
	}
	return suspect
}

// routerTarget returns the target for the router. Its load is at least mean, the mean load of its zone and service.
func (m *member) routerTarget(mean int) router.Target {
	t := router.Target{
		ID:      m.listed.Target,
		Service: m.listed.Service,
		Zone:    m.listed.Zone,
		Region:  m.listed.Region,
		Address: m.listed.Address,
		Release: m.report.Release,
	}
	return t.WithReport(m.report.Incarnation, max(m.report.Running, mean), m.report.Version, m.lastReport)
}
