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

// newTargets returns n targets of one service in each of the given zones.
func newTargets(n int, zones ...identifier.Zone) []router.Target {
	targets := make([]router.Target, 0, n*len(zones))
	for _, z := range zones {
		for i := range n {
			targets = append(targets, router.Target{
				ID: identifier.Target(fmt.Sprintf("%s-%04d", z, i)), Service: "matcher", Zone: z, Region: identifier.Region("region-" + z),
				Slots: 8, Version: identifier.Version(i%2 + 1), Reported: time.Second,
			})
		}
	}
	return targets
}

var required = router.Requirements{Service: "matcher", Zone: "macon", Region: "region-macon"}

// Guards against choices that ignore load, distance, the cached prefix, the pinned version or the targets to avoid.
func TestChoices(t *testing.T) {
	var out strings.Builder
	show := func(title string, targets []router.Target, requirements ...router.Requirements) {
		r := router.NewRouter(router.WithSeed(1))
		r.Adopt(router.NewView(targets))
		fmt.Fprintf(&out, "# %s\n", title)
		for _, n := range requirements {
			chosen, ok := r.Choose(n)
			fmt.Fprintf(&out, "%s %v\n", chosen.ID, ok)
		}
	}
	show("fills its own zone, then overflows into another", newTargets(2, "macon", "beaufort"), repeat(required, 40)...)
	busy := newTargets(2, "macon", "beaufort")
	busy[0].Running, busy[1].Running = 100, 100
	show("leaves a zone that is overloaded", busy, repeat(required, 4)...)
	pinned := required
	pinned.Version = 2
	show("keeps to the pinned version", newTargets(4, "macon"), repeat(pinned, 4)...)
	avoiding := required
	avoiding.Avoid = []identifier.Target{"macon-0000", "macon-0001"}
	show("avoids the targets of earlier attempts", newTargets(3, "macon"), repeat(avoiding, 4)...)
	avoiding.Avoid = append(avoiding.Avoid, "macon-0002")
	show("finds nothing when all are avoided", newTargets(3, "macon"), avoiding)
	other := required
	other.Service = "ledger"
	show("finds nothing for a service without targets", newTargets(3, "macon"), other)
	cached := required
	cached.Prefix, cached.PromptBytes = router.NewPrefix(strings.Repeat("x", 9000)), 9000
	show("returns to the target with the cached prefix", newTargets(8, "macon"), repeat(cached, 5)...)
	goldie.New(t).Assert(t, "choices", []byte(out.String()))
}

func repeat(r router.Requirements, times int) []router.Requirements {
	repeated := make([]router.Requirements, times)
	for i := range repeated {
		repeated[i] = r
	}
	return repeated
}

// Guards against attempts in flight that are lost or counted twice when the view or a report changes before their
// release.
func TestInFlightCountsUnreleasedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := router.NewRouter(router.WithSeed(1))
		targets := newTargets(3, "macon", "beaufort")
		r.Adopt(router.NewView(targets))
		var inFlight []identifier.Target
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(*rapid.T) {
				if chosen, ok := r.Choose(required); ok {
					inFlight = append(inFlight, chosen.ID)
				}
			},
			"release": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("no attempt is in flight")
				}
				r.Release(inFlight[0])
				inFlight = inFlight[1:]
			},
			"report": func(t *rapid.T) {
				i := rapid.IntRange(0, len(targets)-1).Draw(t, "target")
				targets[i] = targets[i].WithReport(1, 1, 1, targets[i].Reported+time.Second)
				r.Adopt(router.NewView(targets))
			},
			"": func(t *rapid.T) {
				if n := r.InFlight("matcher"); n != len(inFlight) {
					t.Fatalf("InFlight returned %d, want %d", n, len(inFlight))
				}
			},
		})
	})
}

// Guards against items that are started first, which are the longest, on targets of another region: there the connection
// and each answer take longer. The pattern is a step that takes two slots of each target.
func TestSpreadStartsNearby(t *testing.T) {
	var out strings.Builder
	r := router.NewRouter(router.WithSeed(1), router.WithPolicy(router.NewCombined()))
	r.Adopt(router.NewView(newTargets(2, "beaufort", "macon", "greenville-ms")))
	near := required
	near.Spread = true
	for range 12 {
		chosen, ok := r.Choose(near)
		fmt.Fprintf(&out, "%s %v\n", chosen.ID, ok)
	}
	goldie.New(t).Assert(t, "spread", []byte(out.String()))
}
