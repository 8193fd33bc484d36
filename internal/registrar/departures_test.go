package registrar_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/registrar"
)

// Guards against a target that left and that a late, lost, restored or contradicting listing brings back, and against a later
// start of it that gets no work.
func TestLeavingTargetsStayAway(t *testing.T) {
	c := qt.New(t)
	var d registrar.Departures
	r := registrar.NewRegistrar(nil).WithDepartures(&d)
	r.Put(listing("a", 5))
	r.Put(listing("b", 5))
	c.Assert(serving(r), qt.Equals, "a b")
	c.Assert(d.Record("a", 5, time.Second), qt.IsTrue)
	c.Assert(d.Record("a", 5, time.Second), qt.IsFalse)
	c.Assert(serving(r), qt.Equals, "b")
	r.Put(listing("a", 5))
	c.Assert(serving(r), qt.Equals, "b", qt.Commentf("a ready listing of the same start"))
	r.Remove("a")
	r.ReplaceAfterOutage([]registrar.Listing{listing("a", 4), listing("b", 5)}, time.Second)
	c.Assert(serving(r), qt.Equals, "b", qt.Commentf("an older history"))
	r.Put(listing("a", 6))
	c.Assert(serving(r), qt.Equals, "a b", qt.Commentf("a later start"))
	c.Assert(d.Record("a", 5, time.Second), qt.IsFalse, qt.Commentf("an answer of the earlier start arrives late"))
	c.Assert(serving(r), qt.Equals, "a b")
}

// Guards against entries that are not told of a target that leaves, are told without end, or never hear of it because the entry
// that knew has stopped.
func TestDeparturesAreTold(t *testing.T) {
	c := qt.New(t)
	var first, second, third registrar.Departures
	first.Record("a", 5, time.Second)
	told, revision := first.ObservedAt(3*time.Second, 0)
	c.Assert(told, qt.DeepEquals, registrar.DepartureNotices{{Target: "a", Incarnation: 5, Age: 2 * time.Second}})
	again, _ := first.ObservedAt(3*time.Second, revision)
	c.Assert(again.IsEmpty(), qt.IsTrue)
	c.Assert(second.Apply(told, 3*time.Second), qt.IsTrue)
	c.Assert(second.Apply(told, 4*time.Second), qt.IsFalse)
	c.Assert(second.Left("a", 5), qt.IsTrue)
	passedOn, _ := second.ObservedAt(4*time.Second, 0)
	c.Assert(passedOn.IsEmpty(), qt.IsTrue)
	second.Record("a", 5, 5*time.Second)
	passedOn, _ = second.ObservedAt(5*time.Second, 0)
	c.Assert(third.Apply(passedOn, 5*time.Second), qt.IsTrue)
	// It is forgotten once its process has ended for long.
	registrar.NewRegistrar(nil).WithDepartures(&first).Expire(time.Hour)
	c.Assert(first.Left("a", 5), qt.IsFalse)
}

// Guards against work for a target that leaves and serves on for longer than departures are remembered, while it is listed.
func TestLeavingTargetStaysAwayWhileListed(t *testing.T) {
	c := qt.New(t)
	var d registrar.Departures
	r := registrar.NewRegistrar(nil).WithDepartures(&d)
	r.Put(listing("a", 5))
	d.Record("a", 5, time.Second)
	for at := time.Minute; at < time.Hour; at += time.Minute {
		d.Record("b", identifier.Incarnation(at), at)
		r.Expire(at)
		r.Put(listing("a", 5))
		c.Assert(serving(r), qt.Equals, "", qt.Commentf("after %s", at))
	}
	r.Remove("a")
	r.Expire(2 * time.Hour)
	c.Assert(d.Count(), qt.Equals, 0)
}
