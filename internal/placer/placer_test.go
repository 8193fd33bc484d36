package placer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/placer"
)

func zones() []placer.Zone {
	return []placer.Zone{{Name: "macon", Price: 1}, {Name: "greenville-ms", Price: 1.2}, {Name: "beaufort", Price: 1.5}}
}

func running(n ...int) []placer.Target {
	var targets []placer.Target
	for i, z := range zones() {
		if i >= len(n) {
			break
		}
		for j := range n[i] {
			targets = append(targets, placer.Target{
				ID: identifier.Target(fmt.Sprintf("%s-%d", z.Name, j)), Service: "matcher", Zone: z.Name, State: placer.Running, Busy: j,
			})
		}
	}
	return targets
}

func demand(arrivals, queue float64) []placer.Demand {
	return []placer.Demand{{Service: "matcher", Arrivals: arrivals, Queue: queue, MinTargets: 1}}
}

func show(out *strings.Builder, name string, p placer.Plan) {
	fmt.Fprintf(out, "# %s\n", name)
	for _, n := range p.Needs {
		fmt.Fprintf(out, "base %d, held %d, wanted %d, have %d: %s\n", n.Base, n.Held, n.Wanted, n.Have, n.Reason)
	}
	for _, o := range p.Orders {
		fmt.Fprintln(out, o.Kind, o.Service, o.Zone, o.Target)
	}
}

// Guards against orders that do not follow from the view: a shortage that waits, a queue, training window, lost zone,
// zone limit or spare zone that is passed over, or a needless start in an expensive zone.
func TestPlanOrders(t *testing.T) {
	limited := zones()
	limited[0].Limit = 1
	without := zones()
	without[0].Lost = true
	settings := placer.DefaultSettings()
	training := []placer.TrainingWindow{{Service: "matcher", Start: 90 * time.Second, End: time.Hour, Load: 2}}
	cases := []struct {
		name string
		view placer.View
	}{
		{"idle service keeps the smallest team's target", placer.View{Zones: zones(), Demands: demand(0, 0), Targets: running(1)}},
		{"shortage is met in the cheapest zone", placer.View{Zones: zones(), Demands: demand(2.5, 0), Targets: running(1)}},
		{"queue adds to the load", placer.View{Zones: zones(), Demands: demand(0.5, 240), Targets: running(1)}},
		{"training window is met ahead", placer.View{Zones: zones(), Demands: demand(0.9, 0), Windows: training, Targets: running(1)}},
		{"zone limit", placer.View{Zones: limited, Demands: demand(2.5, 0), Targets: running(1)}},
		{"one zone to spare", placer.View{Zones: zones(), Demands: demand(3.5, 0), Targets: running(4), Rule: configurator.Rule{SpareZones: 1}}},
		{"lost zone is replaced", placer.View{Zones: without, Demands: demand(1.8, 0), Targets: running(2, 0, 0)}},
		{"no zone left", placer.View{Zones: without[:1], Demands: demand(1.8, 0)}},
	}
	var out strings.Builder
	for _, tc := range cases {
		tc.view.Settings = settings
		show(&out, tc.name, placer.MakePlan(tc.view))
	}
	goldie.New(t).Assert(t, "orders", []byte(out.String()))
}

// Guards against a surplus that is stopped at once and then missed, and against one that is never stopped. The load
// drops, comes back shortly, and drops for good.
func TestSurplusStopsAfterHold(t *testing.T) {
	var out strings.Builder
	targets := running(3)
	var memory placer.History
	for minute := range 16 {
		load := 0.5
		if minute == 0 || minute == 4 {
			load = 2.6
		}
		v := placer.View{
			Now: time.Duration(minute) * time.Minute, Settings: placer.DefaultSettings(), Zones: zones(),
			Demands: demand(load, 0), Targets: targets,
		}
		p := placer.MakePlan(v.WithHistory(memory))
		memory = p.History
		show(&out, fmt.Sprintf("minute %d, load %.1f", minute, load), p)
		for _, o := range p.Orders {
			for i, target := range targets {
				if target.ID == o.Target {
					targets = append(targets[:i:i], targets[i+1:]...)
					break
				}
			}
		}
	}
	goldie.New(t).Assert(t, "hold", []byte(out.String()))
}

// Guards against a stop by a process that has just taken over the duty and knows only the need of this moment, and by one
// that holds it again after a gap.
func TestNewHolderStopsNothingAtOnce(t *testing.T) {
	var out strings.Builder
	var memory placer.History
	for _, at := range []time.Duration{0, time.Minute, 20 * time.Minute, 23 * time.Minute, 25 * time.Minute, 26 * time.Minute} {
		v := placer.View{Now: at, Settings: placer.DefaultSettings(), Zones: zones(), Demands: demand(0.5, 0), Targets: running(3)}
		p := placer.MakePlan(v.WithHistory(memory))
		memory = p.History
		show(&out, at.String(), p)
	}
	goldie.New(t).Assert(t, "holder", []byte(out.String()))
}

// Guards against a plan that flaps at a steady load, strands idle targets, goes below the smallest team's need, or keeps
// too little when the largest zones are lost.
func TestPlanSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := rapid.Float64Range(0, 40).Draw(t, "load")
		spare := rapid.IntRange(0, 2).Draw(t, "spare")
		smallest := rapid.IntRange(0, 3).Draw(t, "smallest")
		targets := running(rapid.IntRange(0, 30).Draw(t, "a"), rapid.IntRange(0, 30).Draw(t, "b"), rapid.IntRange(0, 30).Draw(t, "c"))
		var memory placer.History
		last, made, need := 0, 0, 0
		for tick := range 60 {
			v := placer.View{
				Now: time.Duration(tick) * 20 * time.Second, Settings: placer.DefaultSettings(), Zones: zones(),
				Demands: []placer.Demand{{Service: "matcher", Arrivals: load, MinTargets: smallest}}, Targets: targets,
				Rule: configurator.Rule{SpareZones: spare},
			}
			p := placer.MakePlan(v.WithHistory(memory))
			memory, need = p.History, p.Needs[0].Base
			for _, o := range p.Orders {
				last = tick
				if o.Kind == placer.Start {
					made++
					targets = append(targets, placer.Target{
						ID: identifier.Target(fmt.Sprint("new-", made)), Service: "matcher", Zone: o.Zone, State: placer.Running,
					})
					continue
				}
				for i, target := range targets {
					if target.ID == o.Target {
						targets = append(targets[:i:i], targets[i+1:]...)
						break
					}
				}
			}
		}
		count := map[identifier.Zone]int{}
		for _, target := range targets {
			count[target.Zone]++
		}
		largest := max(count["macon"], count["greenville-ms"], count["beaufort"])
		smallestZone := min(count["macon"], count["greenville-ms"], count["beaufort"])
		survivors := []int{len(targets), len(targets) - largest, smallestZone}[spare]
		if survivors < need || need < smallest {
			t.Fatalf("%d targets are left, %d needed", survivors, need)
		}
		if excess := len(targets) - need; spare == 0 && excess > 0 {
			t.Fatalf("%d targets idle", excess)
		}
		if last > 25 {
			t.Fatalf("orders at tick %d of a steady load", last)
		}
	})
}
