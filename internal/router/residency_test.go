package router_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Guards against a target outside of the required regions, by any policy, however busy or avoided the targets inside are, and against a
// target inside that is not found.
func TestChoicesKeepToTheirRegions(t *testing.T) {
	c := qt.New(t)
	targets := newTargets(3, "macon", "beaufort", "greenville-ms", "athens")
	for i := range targets {
		if targets[i].Zone == "beaufort" {
			targets[i].Running = 1000
		}
	}
	for _, p := range []router.Policy{router.NewBalanced(), router.Spread{}, router.LeastInFlight{}, &router.RoundRobin{}, router.NewCombined()} {
		for _, regions := range []confiner.Regions{
			confiner.NewRegions("region-beaufort"), confiner.NewRegions("region-beaufort", "region-athens"),
			confiner.NewRegions("region-macon"), confiner.NewRegions("nowhere"),
		} {
			r := router.NewRouter(router.WithSeed(1), router.WithPolicy(p))
			r.Adopt(router.NewView(targets))
			n := required
			n.Regions = regions
			n.Avoid = nil
			for i := range 12 {
				chosen, ok := r.Choose(n)
				c.Assert(ok, qt.Equals, regions != confiner.NewRegions("nowhere"), qt.Commentf("%T %s %d", p, regions, i))
				c.Assert(!ok || regions.Allows(chosen.Region), qt.IsTrue, qt.Commentf("%T %s: %s", p, regions, chosen.ID))
			}
			n.Avoid = router.NewView(targets).Outside("matcher", confiner.NewRegions("region-macon"))
			chosen, ok := r.Choose(n)
			c.Assert(ok, qt.Equals, regions.Allows("region-macon"), qt.Commentf("%T %s: %s", p, regions, chosen.ID))
		}
	}
	view := router.NewView(targets)
	c.Check(view.ServesIn("matcher", confiner.NewRegions("region-athens")), qt.IsTrue)
	c.Check(view.ServesIn("matcher", confiner.NewRegions("nowhere")), qt.IsFalse)
	c.Check(view.ServesIn("ledger", ""), qt.IsFalse)
	c.Check(view.Outside("matcher", ""), qt.HasLen, 0)
}

// Guards against a small set of regions in which most choices are the first one of a scan, which does not compare loads.
func TestConfinedChoicesAreBalanced(t *testing.T) {
	r := router.NewRouter(router.WithSeed(1))
	r.Adopt(router.NewView(newTargets(8, "macon", "beaufort", "greenville-ms", "athens", "dalton", "rome")))
	n := required
	n.Regions = confiner.NewRegions("region-rome")
	counts := make(map[identifier.Target]int)
	for range 64 {
		chosen, _ := r.Choose(n)
		counts[chosen.ID]++
	}
	// Targets have 8 slots. The best of four draws stays within 8±2; single draws reach 12 with this seed.
	for id, count := range counts {
		qt.Check(t, count <= 10, qt.IsTrue, qt.Commentf("%s: %d of 64", id, count))
	}
	qt.Check(t, counts, qt.HasLen, 8)
}
