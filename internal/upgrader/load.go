package upgrader

import (
	"cmp"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
)

// maxLoadingShare is the largest share of a service's targets that load weights at a time. The other targets keep
// serving, and more concurrent loads would slow each other down.
const maxLoadingShare = 0.25

// weightLoad is a load of a weight version by one target.
type weightLoad struct {
	listing registrar.Listing
	model   identifier.Model
	version identifier.Version
	mode    LoadMode
}

// chooseLoads returns the loads that may start, the targets that are the most versions behind first. At each service
// at most maxLoadingShare of the targets load at a time, including those that are loading already.
func chooseLoads(plan navigator.Plan, listings []registrar.Listing, desired map[identifier.Model]identifier.Version,
	loading map[identifier.Target]identifier.Service,
) []weightLoad {
	var loads []weightLoad
	for _, s := range plan.Services() {
		var targets []registrar.Listing
		allowed := 0
		for _, l := range listings {
			if l.Service != s.Name || l.Draining {
				continue
			}
			targets = append(targets, l)
			if _, ok := loading[l.ID]; ok {
				allowed--
			}
		}
		allowed += max(1, int(float64(len(targets))*maxLoadingShare+0.5))
		needed := neededLoads(s, targets, desired, loading)
		for _, w := range needed[:max(0, min(allowed, len(needed)))] {
			w.mode = loadMode(plan, s.Name)
			loads = append(loads, w)
		}
	}
	return loads
}

// neededLoads returns the loads that the targets of a service need, those that are the most versions behind first.
func neededLoads(s navigator.Service, targets []registrar.Listing, desired map[identifier.Model]identifier.Version,
	loading map[identifier.Target]identifier.Service,
) []weightLoad {
	assigned := assignModels(s, targets, desired)
	var needed []weightLoad
	for _, l := range targets {
		if _, ok := loading[l.ID]; ok {
			continue
		}
		for _, m := range assigned[l.ID] {
			if l.Versions[m] < desired[m] {
				needed = append(needed, weightLoad{listing: l, model: m, version: desired[m]})
				break
			}
		}
	}
	slices.SortStableFunc(needed, func(a, b weightLoad) int { return cmp.Compare(a.lag(), b.lag()) * -1 })
	return needed
}

// lag returns the number of versions that the target is behind.
func (w weightLoad) lag() identifier.Version { return w.version - w.listing.Versions[w.model] }

// assignModels assigns to each target the models that it is kept up to date for. If a service has several trained
// models, each gets an equal share of the targets, so that a new version is loaded by that share only and not by all
// targets. A target keeps the model for which it is the fewest versions behind.
func assignModels(
	s navigator.Service, targets []registrar.Listing, desired map[identifier.Model]identifier.Version,
) map[identifier.Target][]identifier.Model {
	var models []identifier.Model
	for _, m := range s.Models {
		if _, ok := desired[m]; ok {
			models = append(models, m)
		}
	}
	assigned := make(map[identifier.Target][]identifier.Model, len(targets))
	if len(models) == 0 || len(targets) == 0 {
		return assigned
	}
	if len(targets) < len(models) {
		for i, m := range models {
			id := targets[i%len(targets)].ID
			assigned[id] = append(assigned[id], m)
		}
		return assigned
	}
	remaining := make(map[identifier.Model]int, len(models))
	for i, m := range models {
		remaining[m] = (len(targets) + len(models) - 1 - i) / len(models)
	}
	type pair struct {
		target, model int
		lag           identifier.Version
	}
	var pairs []pair
	for t, l := range targets {
		for m, name := range models {
			pairs = append(pairs, pair{target: t, model: m, lag: max(desired[name], l.Versions[name]) - l.Versions[name]})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		// Pairs with the same lag rotate over the models, so that the targets of an availability zone serve different
		// ones.
		rotation := cmp.Compare((a.target+a.model)%len(models), (b.target+b.model)%len(models))
		return cmp.Or(cmp.Compare(a.lag, b.lag), rotation, cmp.Compare(a.target, b.target))
	})
	for _, p := range pairs {
		id, m := targets[p.target].ID, models[p.model]
		if len(assigned[id]) == 0 && remaining[m] > 0 {
			assigned[id] = append(assigned[id], m)
			remaining[m]--
		}
	}
	return assigned
}
