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
	work map[identifier.Model]int, loading map[identifier.Target]identifier.Service,
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
		needed := neededLoads(s, targets, desired, work, loading)
		for _, w := range needed[:max(0, min(allowed, len(needed)))] {
			w.mode = loadMode(plan, s.Name)
			loads = append(loads, w)
		}
	}
	return loads
}

// neededLoads returns the loads that the targets of a service need, those that are the most versions behind first.
func neededLoads(s navigator.Service, targets []registrar.Listing, desired map[identifier.Model]identifier.Version,
	work map[identifier.Model]int, loading map[identifier.Target]identifier.Service,
) []weightLoad {
	assigned := assignModels(s, targets, desired, work)
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

// minShare is the smallest share of the targets that a trained model gets, as a fraction of an equal share. It covers
// work that is underestimated.
const minShare = 0.5

// assignModels assigns to each target the model that it is kept up to date for. If a service has several trained models,
// each gets targets in proportion to its work, so that a new version is loaded by that share only and not by all targets.
// A target keeps the model for which it is the fewest versions behind.
func assignModels(
	s navigator.Service, targets []registrar.Listing, desired map[identifier.Model]identifier.Version, work map[identifier.Model]int,
) map[identifier.Target][]identifier.Model {
	var models []identifier.Model
	for _, m := range s.Models {
		if _, ok := desired[m]; ok || work[m] > 0 {
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
	remaining := shareTargets(len(targets), models, work)
	for _, p := range preferredPairs(targets, models, desired) {
		id, m := targets[p.target].ID, models[p.model]
		if len(assigned[id]) == 0 && remaining[m] > 0 {
			assigned[id] = append(assigned[id], m)
			remaining[m]--
		}
	}
	return assigned
}

// shareTargets divides n targets among models in proportion to their work, at least minShare of an equal share each.
// Models are equal if the work of any of them is unknown. There are at least as many targets as models.
func shareTargets(n int, models []identifier.Model, work map[identifier.Model]int) map[identifier.Model]int {
	weights := make([]float64, len(models))
	total := 0
	for _, m := range models {
		total += work[m]
	}
	sum := 0.0
	for i, m := range models {
		weights[i] = 1
		if !slices.ContainsFunc(models, func(m identifier.Model) bool { return work[m] <= 0 }) {
			weights[i] = max(minShare, float64(work[m]*len(models))/float64(total))
		}
		sum += weights[i]
	}
	shares := make(map[identifier.Model]int, len(models))
	before, weight := 0, 0.0
	for i, m := range models {
		// Rounding the sums in place of the shares distributes every target.
		weight += weights[i]
		until := max(before+1, min(n-(len(models)-1-i), int(float64(n)*weight/sum+roundHalf)))
		shares[m] = until - before
		before = until
	}
	return shares
}

// roundHalf rounds a positive number to the nearest integer when it is added before the conversion.
const roundHalf = 0.5

// pair is a possible assignment of a model to a target, both by index.
type pair struct {
	target, model int
	lag           identifier.Version
}

// preferredPairs returns all pairs of targets and models, the preferred ones first: those with the fewest versions to
// catch up. Pairs with the same lag rotate over the models, so that the targets of an availability zone serve different
// ones.
func preferredPairs(targets []registrar.Listing, models []identifier.Model, desired map[identifier.Model]identifier.Version) []pair {
	pairs := make([]pair, 0, len(targets)*len(models))
	for t, l := range targets {
		for m, name := range models {
			pairs = append(pairs, pair{target: t, model: m, lag: max(desired[name], l.Versions[name]) - l.Versions[name]})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		rotation := cmp.Compare((a.target+a.model)%len(models), (b.target+b.model)%len(models))
		return cmp.Or(cmp.Compare(a.lag, b.lag), rotation, cmp.Compare(a.target, b.target))
	})
	return pairs
}
