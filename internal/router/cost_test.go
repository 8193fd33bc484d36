package router_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// newCostRouter returns a router with Cost before targets in several zones.
func newCostRouter(n int, zones ...identifier.Zone) *router.Router {
	r := router.NewRouter(router.WithSeed(1), router.WithPolicy(router.NewCombined().WithSpread(router.Cost{})))
	r.Adopt(router.NewView(newTargets(n, zones...)))
	return r
}

// costly returns the requirements of an item with some work.
func costly(work time.Duration) router.Requirements {
	n := required
	n.Spread, n.Work = true, work
	return n
}

// Guards against choices by cost that ignore outstanding work, what other entries have in flight, speed, distance or a shared part;
// that prefer a shared part or a fast target to a free slot; and that take a slot beyond what this entry may use.
func TestCostChoices(t *testing.T) {
	var out strings.Builder
	show := func(title string, r *router.Router, times int, n router.Requirements) {
		fmt.Fprintf(&out, "# %s\n", title)
		for range times {
			chosen, ok := r.Choose(n)
			fmt.Fprintf(&out, "%s %v %v %v\n", chosen.ID, ok, chosen.Work, chosen.Held)
		}
	}
	r := newCostRouter(2, "macon")
	r.Choose(costly(10 * time.Second))
	show("short items go where no long one is", r, 3, costly(time.Second))
	r.Reduce("macon-0000", 9900*time.Millisecond)
	show("until the long text has grown", r, 2, costly(time.Second))

	r = newCostRouter(2, "macon")
	r.AdoptPeerLoads(1, [][]router.Load{{{Target: "macon-0000", Count: 3, Work: 6 * time.Second}}})
	show("targets are left to the others", r, 2, costly(time.Second))
	r.AdoptPeerLoads(1, [][]router.Load{
		{{Target: "macon-0000", Count: 8, Work: 80 * time.Second}, {Target: "macon-0001", Count: 6, Work: 6 * time.Second}},
	})
	show("full targets are used up to a share of their slots, of which two are taken", r, 5, costly(time.Second))
	r.AdoptPeerLoads(0, nil)
	show("and up to all slots once the others are silent", r, 11, costly(time.Second))

	r = newCostRouter(2, "macon")
	r.AdoptSpeeds(map[identifier.Target]float64{"macon-0000": 0.5, "macon-0001": 0.001})
	show("a slow target gets less, one that seems to stand still some", r, 4, costly(time.Second))

	show("items start nearby as long as that saves time", newCostRouter(1, "beaufort", "macon"), 4, costly(200*time.Millisecond))

	shared := costly(time.Second)
	shared.Shared = router.SharedPart{Key: 7, Saved: 600 * time.Millisecond}
	r = newCostRouter(3, "macon")
	show("the shared part is read once while that is faster", r, 6, shared)
	r.AdoptPeerLoads(1, [][]router.Load{{{Target: "macon-0000", Count: 7, Work: 70 * time.Millisecond}}})
	show("and never waited for", r, 2, shared)

	r = newCostRouter(2, "macon")
	r.Choose(shared)
	r.AdoptPeerLoads(1, [][]router.Load{
		{{Target: "macon-0000", Count: 7, Work: 8 * time.Millisecond}, {Target: "macon-0001", Count: 7, Work: 70 * time.Second}},
	})
	show("not even for a moment while another slot is free", r, 1, shared)

	r = newCostRouter(2, "macon")
	r.Choose(costly(10 * time.Second))
	r.Adopt(router.NewView(nil))
	r.Adopt(router.NewView(newTargets(2, "macon")))
	r.Release("macon-0000")
	show("work that was not subtracted goes with the last attempt", r, 1, costly(time.Second))

	show("unknown work is placed by slots", newCostRouter(2, "macon"), 3, costly(0))
	avoiding := costly(time.Second)
	avoiding.Avoid = []identifier.Target{"macon-0000", "macon-0001"}
	r = newCostRouter(3, "macon")
	show("targets to avoid are avoided", r, 1, avoiding)
	show("but only then", r, 2, costly(time.Second))
	show("no target gets more than its slots", newCostRouter(1, "macon"), 9, costly(time.Second))
	goldie.New(t).Assert(t, "cost", []byte(out.String()))
}

// Guards against outstanding work that is lost, negative or left at a target without attempts, whatever is chosen, reduced, released and listed
// anew in between, and against more attempts than slots.
func TestOutstandingWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newCostRouter(2, "macon")
		inFlight := make(map[identifier.Target][]time.Duration)
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				work := time.Duration(rapid.IntRange(1, 9).Draw(t, "work"))
				if chosen, ok := r.Choose(costly(work)); ok {
					inFlight[chosen.ID] = append(inFlight[chosen.ID], chosen.Work)
				}
			},
			"grow": func(t *rapid.T) {
				id := rapid.SampledFrom([]identifier.Target{"macon-0000", "macon-0001"}).Draw(t, "target")
				if n := inFlight[id]; len(n) > 0 && n[0] > 0 {
					n[0]--
					r.Reduce(id, 1)
				}
			},
			"release": func(t *rapid.T) {
				id := rapid.SampledFrom([]identifier.Target{"macon-0000", "macon-0001"}).Draw(t, "target")
				if n := inFlight[id]; len(n) > 0 {
					r.Reduce(id, n[0])
					r.Release(id)
					inFlight[id] = n[1:]
				}
			},
			"list": func(t *rapid.T) {
				r.Adopt(router.NewView(newTargets(rapid.IntRange(0, 2).Draw(t, "targets"), "macon")))
			},
			"": func(t *rapid.T) {
				r.Adopt(router.NewView(newTargets(2, "macon")))
				for _, l := range r.OwnLoads() {
					sum := time.Duration(0)
					for _, work := range inFlight[l.Target] {
						sum += work
					}
					if l.Count != len(inFlight[l.Target]) || l.Count > 8 || l.Work != sum {
						t.Fatalf("%+v, want %v", l, inFlight[l.Target])
					}
				}
			},
		})
	})
}

// BenchmarkCostChoice measures a choice by cost at the design size, with the loads of others, speeds, targets to avoid and a shared part.
func BenchmarkCostChoice(b *testing.B) {
	for _, zones := range []int{1, 5, 17} {
		b.Run(fmt.Sprint(zones*159, "-targets"), func(b *testing.B) {
			r, n := newDesignSizeRouter(zones)
			b.ReportAllocs()
			for b.Loop() {
				chosen, _ := r.Choose(n)
				r.Reduce(chosen.ID, chosen.Work)
				r.Release(chosen.ID)
			}
		})
	}
}

// newDesignSizeRouter returns a router before zones of 159 targets, a third of them loaded, and an item's requirements.
func newDesignSizeRouter(zones int) (*router.Router, router.Requirements) {
	names := make([]identifier.Zone, zones)
	for i := range names {
		names[i] = identifier.Zone(fmt.Sprintf("z%02d", i))
	}
	r := newCostRouter(159, names...)
	n := costly(time.Second)
	n.Shared = router.SharedPart{Key: 7, Saved: 300 * time.Millisecond}
	for i := range zones * 53 {
		chosen, _ := r.Choose(n)
		if i%20 == 0 {
			n.Avoid = append(n.Avoid, chosen.ID)
		}
	}
	r.AdoptPeerLoads(1, [][]router.Load{r.OwnLoads()})
	return r, n
}
