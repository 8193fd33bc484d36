package registrar_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/registrar"
)

func listing(id string, incarnation identifier.Incarnation) registrar.Listing {
	return registrar.Listing{
		ID: identifier.Target(id), Service: "s", Zone: "macon", Slots: 8, Incarnation: incarnation,
		Versions: map[identifier.Model]identifier.Version{"m": 3},
	}
}

func serving(r *registrar.Registrar) string {
	view, _ := r.Watch()
	ids := make([]string, 0, len(view.Targets()))
	for _, t := range view.Targets() {
		ids = append(ids, string(t.ID))
	}
	return strings.Join(ids, " ")
}

func avoided(ids []identifier.Target) string {
	slices.Sort(ids)
	return fmt.Sprint(ids)
}

// Guards against requests for targets that are draining, removed, suspended or serve too old a version, and against
// targets that are dropped because the leases of their listings expired while the store was unavailable.
func TestTargets(t *testing.T) {
	r := registrar.NewRegistrar(map[identifier.Zone]identifier.Region{"macon": "piedmont"})
	var out strings.Builder
	show := func(what string) { fmt.Fprintf(&out, "%-34s %s\n", what, serving(r)) }
	avoid := func(what string, at time.Duration, least identifier.Version) {
		fmt.Fprintf(&out, "%-34s avoid %s\n", what, avoided(r.TargetsToAvoid("s", "m", least, at)))
	}
	for _, id := range []string{"a", "b", "c"} {
		r.Put(listing(id, 1))
	}
	show("three listed")
	leaving := listing("a", 1)
	leaving.Draining = true
	r.Put(leaving)
	show("a drains")
	r.Remove("b")
	show("b is gone")
	r.ReplaceAfterOutage([]registrar.Listing{listing("b", 2)}, 12*time.Second)
	show("only b is there after an outage")
	r.Expire(11 * time.Second)
	show("a second later")
	r.Put(listing("c", 1))
	r.Expire(13 * time.Second)
	show("c came back, a did not")
	r.MarkLapsed("c", 22*time.Second)
	r.Expire(21 * time.Second)
	show("c lapsed a second ago")
	r.Expire(22 * time.Second)
	show("c lapsed two seconds ago")
	r.Put(listing("c", 1))
	r.Put(listing("d", 1))
	r.MarkLapsed("d", 25*time.Second)
	_, removed := r.Replace([]registrar.Listing{listing("b", 2), listing("c", 1)})
	show(fmt.Sprintf("the store holds b and c, not %s", removed))
	for i := range 5 {
		r.RecordFailure("c", time.Duration(30+i)*time.Second)
	}
	avoid("c failed five times until 34 s", 34*time.Second, 0)
	avoid("the suspension ends", 39*time.Second, 0)
	r.Put(listing("c", 2))
	avoid("a new incarnation is not suspended", 34*time.Second, 0)
	r.Suspend("b", 41*time.Second)
	avoid("b is suspended", 40*time.Second, 0)
	avoid("all serve version 3", 50*time.Second, 4)
	r.RecordVersion("c", "m", 4)
	avoid("c answered with version 4", 50*time.Second, 4)
	r.RecordVersion("c", "m", 2)
	avoid("an old answer changes nothing", 50*time.Second, 4)
	goldie.New(t).Assert(t, "targets", []byte(out.String()))
}

// Guards against a target that counts as slow because of a single pause or of full batches, and against a slow target
// that is not detected or never gets requests again.
func TestSlowTargets(t *testing.T) {
	c := qt.New(t)
	var r registrar.Registrar
	intervals := map[string]time.Duration{"a": 40, "b": 42, "c": 44, "d": 120}
	now := time.Second
	for id := range intervals {
		r.Put(listing(id, 1))
	}
	for range 8 {
		now += 10 * time.Millisecond
		for id, ms := range intervals {
			r.RecordInterval(identifier.Target(id), ms*time.Millisecond, now)
		}
	}
	c.Assert(avoided(r.SlowTargets("s", now)), qt.Equals, "[d]")
	now += 200 * time.Millisecond
	r.RecordInterval("a", time.Second, now)
	c.Assert(r.IsSlow("a", now), qt.IsFalse)
	now += 5 * time.Second
	c.Assert(avoided(r.SlowTargets("s", now)), qt.Equals, "[]")
}

// Guards against a target that counts as slow although too few targets are compared to tell.
func TestTooFewTargetsToCompare(t *testing.T) {
	c := qt.New(t)
	var r registrar.Registrar
	for _, id := range []string{"a", "b"} {
		r.Put(listing(id, 1))
	}
	for range 8 {
		r.RecordInterval("a", 40*time.Millisecond, time.Second)
		r.RecordInterval("b", 400*time.Millisecond, time.Second)
	}
	c.Assert(r.SlowTargets("s", time.Second), qt.HasLen, 0)
}

// Guards against speeds that are not relative to the usual target of the same service, are told of a service with too few targets to compare,
// or outlive their intervals.
func TestSpeeds(t *testing.T) {
	c := qt.New(t)
	var r registrar.Registrar
	for id, ms := range map[string]time.Duration{"a": 40, "b": 40, "c": 80, "other": 10} {
		l := listing(id, 1)
		if id == "other" {
			l.Service = "t"
		}
		r.Put(l)
		for range 8 {
			r.RecordInterval(identifier.Target(id), ms*time.Millisecond, time.Second)
		}
	}
	c.Assert(r.Speeds(2*time.Second), qt.DeepEquals, map[identifier.Target]float64{"a": 1, "b": 1, "c": 0.5})
	c.Assert(r.Speeds(5*time.Second), qt.HasLen, 0)
}
