package tracker_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/tracker"
)

const period = time.Second

func target(i int) identifier.Target { return identifier.Target(fmt.Sprintf("t%02d", i)) }

// listOf returns a VM list with n targets in each of the zones.
func listOf(n int, zones ...identifier.Zone) []tracker.Member {
	out := make([]tracker.Member, 0, n*len(zones))
	for z, zone := range zones {
		for i := range n {
			out = append(out, tracker.Member{
				Target: target(z*n + i), Service: "sortmind", Zone: zone, Region: "south", Address: fmt.Sprintf("10.0.%d.%d:7000", z, i),
			})
		}
	}
	return out
}

func rowsOf(n int, change func(i int, r tracker.Row) tracker.Row) []tracker.Row {
	out := make([]tracker.Row, 0, n)
	for i := range n {
		r := tracker.Row{Target: target(i), Incarnation: 1, Running: i}
		if change != nil {
			r = change(i, r)
		}
		out = append(out, r)
	}
	return out
}

func serving(t *tracker.Tracker) int { return t.View().Len("sortmind") }

// Guards against a view that empties or flaps if the observer's own link, its relay or its region is cut off for an
// hour.
func TestCutOffObserverKeepsItsView(t *testing.T) {
	c := qt.New(t)
	var tr tracker.Tracker
	a := tracker.NewAssembler("a", period)
	list := listOf(10, "a")
	a.AdoptList(list)
	a.AddRows(rowsOf(10, nil), time.Second)
	a.BuildDigest("relay", time.Second, time.Unix(1, 0))
	changes := 0
	for s := range 3600 {
		now := time.Second + time.Duration(s)*time.Second
		tr.AdoptList(list, now)
		rows, digestAge := a.ZoneRows(now)
		changes += len(tr.AdoptRows("a", rows, digestAge, now))
		c.Assert(serving(&tr), qt.Equals, 10, qt.Commentf("after %d s", s))
	}
	c.Assert(changes, qt.Equals, 10)
}

// Guards against other targets leaving the view, and against more than one status change each way, when a tenth of the
// agents restart at once.
func TestRestartOfATenthDoesNotFlap(t *testing.T) {
	var out strings.Builder
	var tr tracker.Tracker
	a := tracker.NewAssembler("a", period)
	list := listOf(20, "a")
	a.AdoptList(list)
	for s := range 30 {
		now := time.Duration(s+1) * time.Second
		down := s >= 5 && s < 15
		rows := rowsOf(20, func(i int, r tracker.Row) tracker.Row {
			if i%10 == 0 && s >= 15 {
				r.Incarnation = 2
			}
			return r
		})
		if down {
			rows = slices.DeleteFunc(rows, func(r tracker.Row) bool { return r.Target == target(0) || r.Target == target(10) })
		}
		a.AddRows(rows, now)
		a.BuildDigest("relay", now, time.Unix(int64(s), 0))
		tr.AdoptList(list, now)
		digest, digestAge := a.ZoneRows(now)
		for _, ch := range tr.AdoptRows("a", digest, digestAge, now) {
			if s > 0 {
				fmt.Fprintf(&out, "second %d: %s from %d to %d\n", s, ch.Target, ch.Before, ch.After)
			}
		}
		if s%5 == 4 {
			fmt.Fprintf(&out, "second %d: %d in the view\n", s, serving(&tr))
		}
	}
	goldie.New(t).Assert(t, "restart", []byte(out.String()))
}

// Guards against an incomplete VM list that removes targets that still report from the view, and against a target that
// stays in the view after it is gone.
func TestShortListDoesNotEmptyTheView(t *testing.T) {
	c := qt.New(t)
	var tr tracker.Tracker
	tr.AdoptList(listOf(4, "a"), 0)
	for s := 1; s <= 60; s++ {
		now := time.Duration(s) * time.Second
		tr.AdoptRows("a", rowsOf(4, nil), 0, now)
		if s > 5 {
			tr.AdoptList(nil, now)
		}
		c.Assert(serving(&tr), qt.Equals, 4)
	}
	tr.AdoptList(nil, 71*time.Second)
	c.Assert(serving(&tr), qt.Equals, 0)
}

// Guards against a leaving target that gets new work again in the same incarnation, whichever of the three sources (VM
// list, digest, probe) reported it.
func TestLeavingIsSticky(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr tracker.Tracker
		list := listOf(1, "a")
		tr.AdoptList(list, 0)
		incarnation, left := identifier.Incarnation(1), false
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				now += period
				draining := rapid.Bool().Draw(t, "draining")
				left = left || draining
				tr.AdoptRows("a", []tracker.Row{{Target: target(0), Incarnation: incarnation, Draining: draining}}, 0, now)
			},
			"probe": func(t *rapid.T) {
				now += period
				draining := rapid.Bool().Draw(t, "draining")
				left = left || draining
				tr.RecordReport(target(0), tracker.Report{Incarnation: incarnation, Draining: draining}, now)
			},
			"late report": func(*rapid.T) {
				tr.AdoptRows("a", []tracker.Row{{Target: target(0), Incarnation: incarnation - 1}}, 0, now)
			},
			"miss": func(*rapid.T) { tr.RecordFailure(target(0)) },
			"list": func(t *rapid.T) {
				list[0].Leaving = list[0].Leaving || rapid.Bool().Draw(t, "leaving")
				left = left || list[0].Leaving
				tr.AdoptList(list, now)
			},
			"restart": func(*rapid.T) {
				incarnation++
				left = list[0].Leaving
				tr.AdoptRows("a", []tracker.Row{{Target: target(0), Incarnation: incarnation}}, 0, now)
			},
			"": func(t *rapid.T) {
				if left && serving(&tr) > 0 {
					t.Fatalf("leaving-idle: the target takes new work in incarnation %d", incarnation)
				}
			},
		})
	})
}

// Guards against probes of every agent: the digest covers the observer's own zone, and in other zones it probes only a
// few targets, which differ between observers.
func TestProbesAreFew(t *testing.T) {
	c := qt.New(t)
	var tr tracker.Tracker
	tr.AdoptList(listOf(50, "a", "b", "c"), 0)
	before := tr.Probes("a", "south", 1, tracker.DefaultProbes, 0, period)
	c.Assert(len(before), qt.Equals, tracker.DefaultProbes)
	tr.AdoptRows("a", rowsOf(50, nil), 0, time.Second)
	covered := tr.Probes("a", "south", 1, tracker.DefaultProbes, time.Second, period)
	c.Assert(len(covered), qt.Equals, 4)
	other := tr.Probes("a", "south", 2, tracker.DefaultProbes, time.Second, period)
	c.Assert(slices.Equal(covered, other), qt.IsFalse)
	uncovered := tr.Probes("a", "south", 1, tracker.DefaultProbes, 20*time.Second, period)
	c.Assert(len(uncovered), qt.Equals, tracker.DefaultProbes)
}

// Guards against an entry that uses the load of one probed target of another zone as the load of the whole zone.
func TestOtherZonesCountByTheirSummary(t *testing.T) {
	c := qt.New(t)
	var tr tracker.Tracker
	tr.AdoptList(listOf(1, "b"), 0)
	tr.RecordReport(target(0), tracker.Report{Incarnation: 1, Running: 2}, time.Second)
	tr.AdoptSummaries([]tracker.Summary{{Zone: "b", Service: "sortmind", Targets: 10, Running: 300}})
	c.Assert(tr.View().Targets()[0].Running, qt.Equals, 30)
}

// Guards against a relay that shows an old load or incarnation because most reports are sent as briefs.
func TestBriefReportsCarryTheLoad(t *testing.T) {
	c := qt.New(t)
	node, relay := tracker.NewAssembler("a", period), tracker.NewAssembler("a", period)
	fullRows := 0
	for round := range 20 {
		now := time.Duration(round+1) * time.Second
		incarnation := identifier.Incarnation(1 + round/10)
		node.AddRows(rowsOf(10, func(i int, r tracker.Row) tracker.Row {
			r.Running, r.Incarnation = 100*round+i, incarnation
			return r
		}), now)
		rows, briefs := node.ReportsToForward(now, round)
		fullRows += len(rows)
		c.Assert(len(rows)+len(briefs), qt.Equals, 10)
		relay.AddRows(rows, now)
		relay.AddBriefs(briefs, now)
		relay.BuildDigest("relay", now, time.Unix(int64(round), 0))
		got, _ := relay.ZoneRows(now)
		for i, r := range got {
			c.Assert(r.Running, qt.Equals, 100*round+i)
			c.Assert(r.Incarnation, qt.Equals, incarnation)
		}
	}
	// All ten rows for each of the two incarnations, and a fifth of the others in turn.
	c.Assert(fullRows <= 2*10+20*10/5, qt.IsTrue, qt.Commentf("%d full rows", fullRows))
}

// Guards against targets that leave the view because the relay of their zone failed and its backup relay has few
// reports yet.
func TestNewMakerKeepsTheRoster(t *testing.T) {
	c := qt.New(t)
	var tr tracker.Tracker
	relay, backup := tracker.NewAssembler("a", period), tracker.NewAssembler("a", period)
	tr.AdoptList(listOf(10, "a"), 0)
	relay.AddRows(rowsOf(10, nil), time.Second)
	relay.BuildDigest("relay", time.Second, time.Unix(1, 0))
	c.Assert(backup.AcceptDigest(relay.Digest(tracker.Roster{}, time.Second), time.Second), qt.IsTrue)
	for s := 2; s < 12; s++ {
		now := time.Duration(s) * time.Second
		// Four more agents report to the backup relay each second.
		backup.AddRows(rowsOf(min(10, 4*(s-1)), nil), now)
		backup.BuildDigest("deputy", now, time.Unix(int64(s), 0))
		rows, digestAge := backup.ZoneRows(now)
		tr.AdoptRows("a", rows, digestAge, now)
		c.Assert(serving(&tr), qt.Equals, 10, qt.Commentf("second %d", s))
	}
}

// Guards against a target of another zone that drained, was restarted and never returns to the view, because the
// observer probes no target that reported that it leaves.
func TestRestartedTargetIsFoundAgain(t *testing.T) {
	c := qt.New(t)
	var tr tracker.Tracker
	tr.AdoptList(listOf(3, "a", "b"), 0)
	probed := func() map[identifier.Target]bool {
		all := make(map[identifier.Target]bool)
		for _, m := range tr.Probes("a", "south", 1, tracker.DefaultProbes, 0, period) {
			all[m.Target] = true
		}
		return all
	}
	for i := range 6 {
		tr.RecordReport(target(i), tracker.Report{Incarnation: 1}, 0)
	}
	c.Assert(serving(&tr), qt.Equals, 6)
	for i := range 6 {
		tr.RecordReport(target(i), tracker.Report{Incarnation: 1, Draining: true}, 0)
	}
	c.Assert(serving(&tr), qt.Equals, 0)
	for id := range probed() {
		tr.RecordReport(id, tracker.Report{Incarnation: 2}, 0)
	}
	// Three targets of the observer's own zone and two of the other.
	c.Assert(serving(&tr), qt.Equals, 5)
	leaving := listOf(3, "a", "b")
	leaving[0].Leaving = true
	tr.AdoptList(leaving, 0)
	c.Assert(probed()[target(0)], qt.IsFalse)
}
