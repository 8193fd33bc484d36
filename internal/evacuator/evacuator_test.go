package evacuator_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

func put(zone string, revision int64) evacuator.Order {
	return evacuator.Order{Zone: identifier.Zone(zone), Revision: revision}
}

func removal(zone string, revision int64) evacuator.Order {
	return evacuator.Order{Zone: identifier.Zone(zone), Revision: revision, Removed: true}
}

// Guards against an order that is lost, undone or repeated because it comes late, twice, from two operators, after a read of all orders
// or for an unknown zone, and against a zone that stays evacuated after its order is gone.
func TestOrders(t *testing.T) {
	e := evacuator.NewEvacuator("z1", "z2", "z3")
	var out strings.Builder
	show := func(what string, changes []evacuator.Change) {
		effects := map[evacuator.Effect]string{evacuator.Evacuated: "evacuated", evacuator.TakenBack: "taken back", evacuator.UnknownZone: "unknown"}
		fmt.Fprintf(&out, "%s:", what)
		for _, c := range changes {
			fmt.Fprintf(&out, " %s %s at %d,", c.Zone, effects[c.Effect], c.Revision)
		}
		fmt.Fprintf(&out, " now %v, unknown %v, z3 used: %t\n", e.Zones().Names(), e.Unknown(), !e.Evacuated("z3"))
	}
	replace := func(what string, orders ...evacuator.Order) { show(what, e.Replace(orders)) }
	apply := func(what string, o evacuator.Order) { show(what, e.Apply(o)) }
	show("started", nil)
	replace("first read", put("z1", 5))
	apply("one operator evacuates z2", put("z2", 7))
	apply("the other one as well", put("z2", 8))
	apply("the order comes again", put("z2", 7))
	apply("one operator takes z2 back", removal("z2", 10))
	apply("an order from before comes late", put("z2", 8))
	apply("a second removal", removal("z2", 11))
	apply("z2 is evacuated again", put("z2", 12))
	apply("a removal from before comes late", removal("z2", 10))
	apply("z2 is taken back at the revision of its order", removal("z2", 12))
	apply("unknown zone", put("z9", 13))
	apply("unknown zone again", put("z9", 13))
	apply("unknown zone written again", put("z9", 14))
	apply("unknown zone taken back", removal("z9", 15))
	apply("unknown zone again", put("z9", 15))
	apply("z3 is evacuated", put("z3", 16))
	replace("a read without the order for z3", put("z1", 5), put("z9", 14))
	apply("z2 is evacuated", put("z2", 20))
	replace("a read of a store that was restored", put("z3", 3))
	apply("an order at its lower revision", put("z1", 4))
	for i := range 100 {
		e.Apply(put(fmt.Sprint("x", i), int64(30+i)))
	}
	fmt.Fprintf(&out, "%d unknown zones are kept of 100\n", len(e.Unknown()))
	goldie.New(t).Assert(t, "orders", []byte(out.String()))
}

// Guards against a process without evacuation that leaves out targets.
func TestZeroValueEvacuatesNothing(t *testing.T) {
	c := qt.New(t)
	var none *evacuator.Evacuator
	for _, e := range []*evacuator.Evacuator{none, {}} {
		c.Assert(e.Evacuated("z"), qt.IsFalse)
		c.Assert(e.Synced(), qt.IsTrue)
		c.Assert(e.Zones().Len(), qt.Equals, 0)
	}
}

// Guards against a service that is refused although it has targets elsewhere, and against one that has none and is not reported.
func TestStranded(t *testing.T) {
	c := qt.New(t)
	zonesOf := map[identifier.Service]evacuator.Zones{
		"here": evacuator.NewZones("z1"), "both": evacuator.NewZones("z2", "z1"), "elsewhere": evacuator.NewZones("z3"), "nowhere": {},
	}
	one := evacuator.NewZones("z1")
	c.Check(one.Stranded(zonesOf), qt.DeepEquals, []identifier.Service{"here"})
	c.Check(one.With("z2").Stranded(zonesOf), qt.DeepEquals, []identifier.Service{"both", "here"})
	c.Check(one.Names(), qt.DeepEquals, []identifier.Zone{"z1"}, qt.Commentf("a set that another is derived from"))
	c.Check(one.With("z2").Without("z1").Equal(evacuator.NewZones("z2")), qt.IsTrue)
}
