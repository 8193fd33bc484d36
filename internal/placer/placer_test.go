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

func writePlan(out *strings.Builder, name string, p placer.Plan) {
	fmt.Fprintf(out, "# %s\n", name)
	for _, n := range p.Needs {
		fmt.Fprintf(out, "base %d, held %d, wanted %d, have %d: %s\n", n.Base, n.Held, n.Wanted, n.Have, n.Reason)
	}
	for _, o := range p.Orders {
		fmt.Fprintln(out, o.Kind, o.Service, o.Zone, o.Target)
	}
}

// Guards against orders that do not follow from the view: a shortage that is not met at once, a queue, training
// window, lost zone, zone limit or spare zone that is ignored, and a needless start in an expensive zone.
func TestPlanOrders(t *testing.T) {
	limited := zones()
	limited[0].Limit = 1
	lost := zones()
	lost[0].Lost = true
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
		{"lost zone is replaced", placer.View{Zones: lost, Demands: demand(1.8, 0), Targets: running(2, 0, 0)}},
		{"no zone left", placer.View{Zones: lost[:1], Demands: demand(1.8, 0)}},
	}
	var out strings.Builder
	for _, tc := range cases {
		tc.view.Settings = settings
		writePlan(&out, tc.name, placer.MakePlan(tc.view))
	}
	goldie.New(t).Assert(t, "orders", []byte(out.String()))
}

// Guards against a surplus that is stopped before the hold time and needed again soon after, and against one that is
// never stopped. The load drops, returns for a minute and drops for good.
func TestSurplusStopsAfterHold(t *testing.T) {
	var out strings.Builder
	targets := running(3)
	var history placer.History
	for minute := range 16 {
		load := 0.5
		if minute == 0 || minute == 4 {
			load = 2.6
		}
		v := placer.View{
			Now: time.Duration(minute) * time.Minute, Settings: placer.DefaultSettings(), Zones: zones(),
			Demands: demand(load, 0), Targets: targets,
		}
		p := placer.MakePlan(v.WithHistory(history))
		history = p.History
		writePlan(&out, fmt.Sprintf("minute %d, load %.1f", minute, load), p)
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

// Guards against stops by a process that does not know the needs of the whole hold time: one that has just got the
// duty, or one that holds it again after a gap.
func TestNewDutyHolderWaitsForHold(t *testing.T) {
	var out strings.Builder
	var history placer.History
	for _, at := range []time.Duration{0, time.Minute, 20 * time.Minute, 23 * time.Minute, 25 * time.Minute, 26 * time.Minute} {
		v := placer.View{Now: at, Settings: placer.DefaultSettings(), Zones: zones(), Demands: demand(0.5, 0), Targets: running(3)}
		p := placer.MakePlan(v.WithHistory(history))
		history = p.History
		writePlan(&out, at.String(), p)
	}
	goldie.New(t).Assert(t, "holder", []byte(out.String()))
}

// Guards against a plan that keeps starting and stopping targets at a steady load, leaves idle targets, goes below
// MinTargets, or leaves too few targets when the largest zones are lost.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := rapid.Float64Range(0, 40).Draw(t, "load")
		spare := rapid.IntRange(0, 2).Draw(t, "spare")
		minTargets := rapid.IntRange(0, 3).Draw(t, "smallest")
		targets := running(rapid.IntRange(0, 30).Draw(t, "a"), rapid.IntRange(0, 30).Draw(t, "b"), rapid.IntRange(0, 30).Draw(t, "c"))
		var history placer.History
		lastOrder, started, need := 0, 0, 0
		for tick := range 60 {
			v := placer.View{
				Now: time.Duration(tick) * 20 * time.Second, Settings: placer.DefaultSettings(), Zones: zones(),
				Demands: []placer.Demand{{Service: "matcher", Arrivals: load, MinTargets: minTargets}}, Targets: targets,
				Rule: configurator.Rule{SpareZones: spare},
			}
			p := placer.MakePlan(v.WithHistory(history))
			history, need = p.History, p.Needs[0].Base
			for _, o := range p.Orders {
				lastOrder = tick
				if o.Kind == placer.Start {
					started++
					targets = append(targets, placer.Target{
						ID: identifier.Target(fmt.Sprint("new-", started)), Service: "matcher", Zone: o.Zone, State: placer.Running,
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
		if survivors < need || need < minTargets {
			t.Fatalf("%d targets remain without the spare zones, %d needed", survivors, need)
		}
		if excess := len(targets) - need; spare == 0 && excess > 0 {
			t.Fatalf("%d targets more than needed", excess)
		}
		if lastOrder > 25 {
			t.Fatalf("orders at tick %d of a steady load, want none after tick 25", lastOrder)
		}
	})
}
