package rationer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// reportPeriod is the time between two reports while slots are short, and reportPeriodPerPeer the time for each peer that is told: a
	// process then sends at most 100 reports a second, whatever the number of processes.
	reportPeriod        = 250 * time.Millisecond
	reportPeriodPerPeer = 10 * time.Millisecond
	// reportedPeriods is the number of periods after which the report of a process that sends none any more is dropped.
	reportedPeriods = 4
	// maxTeams bounds the teams of a report. Those with the most requests are named: only they can exceed their share.
	maxTeams = 16
	// reportedShare is the part of its even share of a service's slots from which a process reports.
	reportedShare = 0.5
)

// Usage is what one process has at the targets of a service. It is immutable.
type Usage struct {
	Service identifier.Service
	Running int
	Teams   map[identifier.Team]int
}

// Report tells other processes what one has at targets while slots are short. It is immutable.
type Report struct {
	From   identifier.Node
	Usages []Usage
	// Valid is the time for which the report counts unless another one comes.
	Valid time.Duration
}

// IsEmpty reports whether there is nothing to tell.
func (r Report) IsEmpty() bool { return r.From == "" }

// peers holds the latest reports of other processes. The lock of the Rationer guards it.
type peers struct {
	reports map[identifier.Node]received
	// last is the report of this process, revision counts its reports and changed is closed at the next one.
	last     Report
	revision int
	changed  chan struct{}
}

// received is a report with the monotonic time up to which it counts.
type received struct {
	Report
	until time.Duration
}

func newPeers() peers {
	return peers{reports: make(map[identifier.Node]received), changed: make(chan struct{})}
}

// add returns the situation of a service with what other processes reported.
func (p *peers) add(name identifier.Service, now time.Duration, s Situation) Situation {
	maps.DeleteFunc(p.reports, func(_ identifier.Node, r received) bool { return r.until <= now })
	if len(p.reports) == 0 {
		return s
	}
	s.Teams = maps.Clone(s.Teams)
	for _, r := range p.reports {
		for _, u := range r.Usages {
			if u.Service != name {
				continue
			}
			s.Running += u.Running
			for team, n := range u.Teams {
				s.Teams[team] += n
			}
		}
	}
	return s
}

// Apply takes in the report of another process.
func (r *Rationer) Apply(report Report) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.peers.reports[report.From] = received{Report: report, until: r.clock.Monotonic() + min(report.Valid, maxRetryAfter)}
}

// Period returns the time between two reports to a number of peers.
func Period(peerCount int) time.Duration {
	return max(reportPeriod, time.Duration(peerCount)*reportPeriodPerPeer)
}

// Load is the number of attempts of this process at a service's targets, and the number of their slots.
type Load struct {
	Service        identifier.Service
	Running, Slots int
}

// Publish makes a report of the services of which this process has a considerable part of its even share of the slots. Nothing is sent while
// it has none, except once after it had some.
func (r *Rationer) Publish(from identifier.Node, loads []Load, peerCount int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	report := Report{From: from, Valid: reportedPeriods * Period(peerCount)}
	for _, l := range loads {
		if even := float64(l.Slots) / float64(peerCount+1); l.Running == 0 || float64(l.Running) < reportedShare*even {
			continue
		}
		report.Usages = append(report.Usages, Usage{Service: l.Service, Running: l.Running, Teams: largest(r.service(l.Service).teams)})
	}
	if len(report.Usages) == 0 && len(r.peers.last.Usages) == 0 {
		return
	}
	r.peers.last = report
	r.peers.revision++
	close(r.peers.changed)
	r.peers.changed = make(chan struct{})
}

// largest returns the teams with the most requests.
func largest(teams map[identifier.Team]int) map[identifier.Team]int {
	names := slices.SortedFunc(maps.Keys(teams), func(a, b identifier.Team) int {
		return cmp.Or(cmp.Compare(teams[b], teams[a]), cmp.Compare(a, b))
	})
	named := make(map[identifier.Team]int, maxTeams)
	for _, team := range names[:min(len(names), maxTeams)] {
		named[team] = teams[team]
	}
	return named
}

// Observed returns the report of this process if it is newer than a revision, and the present revision.
func (r *Rationer) Observed(after int) (Report, int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if after == r.peers.revision {
		return Report{}, after
	}
	return r.peers.last, r.peers.revision
}

// Changed returns a channel that is closed at the next report.
func (r *Rationer) Changed() <-chan struct{} {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.peers.changed
}

// IsEmpty reports whether a new process would have to be told nothing.
func (r *Rationer) IsEmpty() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.peers.last.Usages) == 0
}
