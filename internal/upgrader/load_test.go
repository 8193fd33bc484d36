package upgrader

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
)

// Guards against more targets loading at a time than maxLoadingShare, loads at draining targets, loads of one model
// at every target of a service with several models, targets that change their model with each version, and a model of long
// texts that waits for targets because models of short texts have as many.
func TestChooseLoads(t *testing.T) {
	type versions = map[identifier.Model]identifier.Version
	fleet := func(n int, v versions) []registrar.Listing {
		all := make([]registrar.Listing, 0, n)
		for i := range n {
			all = append(all, registrar.Listing{ID: identifier.Target(fmt.Sprintf("t%d", i)), Service: "s", Versions: v})
		}
		return all
	}
	var out strings.Builder
	var work map[identifier.Model]int
	show := func(what string, models []identifier.Model, all []registrar.Listing, desired versions, loading ...identifier.Target) {
		plan := navigator.NewPlan(1).WithServices(navigator.Service{Name: "s", Models: models})
		loadingServices := make(map[identifier.Target]identifier.Service)
		for _, id := range loading {
			loadingServices[id] = "s"
		}
		lines := make([]string, 0, len(all))
		for _, w := range chooseLoads(plan, all, desired, work, loadingServices) {
			lines = append(lines, fmt.Sprintf("%s:%s=%d", w.listing.ID, w.model, w.version))
		}
		fmt.Fprintf(&out, "%-40s %s\n", what, strings.Join(lines, " "))
	}
	// loadAll completes the chosen loads until no target needs one.
	loadAll := func(what string, models []identifier.Model, all []registrar.Listing, desired versions) []registrar.Listing {
		plan := navigator.NewPlan(1).WithServices(navigator.Service{Name: "s", Models: models})
		loads := 0
		for {
			next := chooseLoads(plan, all, desired, work, nil)
			if len(next) == 0 {
				break
			}
			for _, w := range next {
				i := slices.IndexFunc(all, func(l registrar.Listing) bool { return l.ID == w.listing.ID })
				all[i] = all[i].WithVersion(w.model, w.version)
				loads++
			}
		}
		lines := make([]string, 0, len(all))
		for _, l := range all {
			lines = append(lines, fmt.Sprintf("%s%v", l.ID, l.Versions))
		}
		fmt.Fprintf(&out, "%-40s %d loads: %s\n", what, loads, strings.Join(lines, " "))
		return all
	}
	one, three := []identifier.Model{"a"}, []identifier.Model{"a", "b", "c"}
	show("no version is announced", one, fleet(8, versions{"a": 1}), nil)
	show("a quarter at a time", one, fleet(8, versions{"a": 1}), versions{"a": 2})
	show("one is loading", one, fleet(8, versions{"a": 1}), versions{"a": 2}, "t3")
	show("all are up to date", one, fleet(8, versions{"a": 2}), versions{"a": 2})
	behind := fleet(4, versions{"a": 3})
	behind[2].Versions = versions{"a": 1}
	behind[3].Draining = true
	show("the furthest behind first", one, behind, versions{"a": 4})
	show("a single target", one, fleet(1, versions{"a": 1}), versions{"a": 2})
	all := loadAll("three models share eight targets", three, fleet(8, versions{"a": 1, "b": 1, "c": 1}), versions{"a": 2, "b": 2, "c": 2})
	loadAll("the next version goes to the same", three, all, versions{"a": 3, "b": 2, "c": 2})
	loadAll("three models on two targets", three, fleet(2, versions{"a": 1, "b": 1, "c": 1}), versions{"a": 2, "b": 2, "c": 2})
	work = map[identifier.Model]int{"a": 8200, "b": 2600, "c": 0}
	two := three[:2]
	all = loadAll("long and short texts on thirty targets", two, fleet(30, versions{"a": 1, "b": 1}), versions{"a": 2, "b": 2})
	loadAll("the next version of the long texts", two, all, versions{"a": 3, "b": 2})
	loadAll("only the short texts have a version", two, fleet(30, versions{"a": 1, "b": 1}), versions{"b": 2})
	loadAll("a model without known work", three, fleet(9, versions{"a": 1, "b": 1, "c": 1}), versions{"a": 2, "b": 2, "c": 2})
	work = map[identifier.Model]int{"a": 100000, "b": 1}
	loadAll("hardly any work for the second", two, fleet(8, versions{"a": 1, "b": 1}), versions{"a": 2, "b": 2})
	goldie.New(t).Assert(t, "plan", []byte(out.String()))
}
