package upgrader

import (
	"cmp"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
)

// waveShare is the part of a service's targets that loads at a time: the others go on serving, and loads slow each other
// when more run at once.
const waveShare = 0.25

// job is a load to be done.
type job struct {
	listing registrar.Listing
	model   identifier.Model
	version identifier.Version
	change  LoadMode
}

// choose returns the loads that may begin: the targets that are furthest behind first, and at each service no more than
// its share at a time, those that are loading included.
func choose(plan navigator.Plan, listings []registrar.Listing, wanted map[identifier.Model]identifier.Version,
	loading map[identifier.Target]identifier.Service,
) []job {
	var jobs []job
	for _, s := range plan.Services() {
		var targets []registrar.Listing
		room := 0
		for _, l := range listings {
			if l.Service != s.Name || l.Draining {
				continue
			}
			targets = append(targets, l)
			if _, ok := loading[l.ID]; ok {
				room--
			}
		}
		room += max(1, int(float64(len(targets))*waveShare+0.5))
		behind := lagging(s, targets, wanted, loading)
		for _, j := range behind[:max(0, min(room, len(behind)))] {
			j.change = change(plan, s.Name)
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// lagging returns the loads that the targets of a service need, the furthest behind first.
func lagging(s navigator.Service, targets []registrar.Listing, wanted map[identifier.Model]identifier.Version,
	loading map[identifier.Target]identifier.Service,
) []job {
	homes := assign(s, targets, wanted)
	var behind []job
	for _, l := range targets {
		if _, ok := loading[l.ID]; ok {
			continue
		}
		for _, m := range homes[l.ID] {
			if l.Versions[m] < wanted[m] {
				behind = append(behind, job{listing: l, model: m, version: wanted[m]})
				break
			}
		}
	}
	slices.SortStableFunc(behind, func(a, b job) int { return cmp.Compare(a.lag(), b.lag()) * -1 })
	return behind
}

// lag returns the number of versions that a target is behind.
func (j job) lag() identifier.Version { return j.version - j.listing.Versions[j.model] }

// assign gives each target the models that it is kept up to date for. When a service has several trained models, each
// gets an equal share of the targets, so that a new version takes a load at its share and not at all targets. A target
// stays with the model for which it is the least behind.
func assign(
	s navigator.Service, targets []registrar.Listing, wanted map[identifier.Model]identifier.Version,
) map[identifier.Target][]identifier.Model {
	var models []identifier.Model
	for _, m := range s.Models {
		if _, ok := wanted[m]; ok {
			models = append(models, m)
		}
	}
	homes := make(map[identifier.Target][]identifier.Model, len(targets))
	if len(models) == 0 || len(targets) == 0 {
		return homes
	}
	if len(targets) < len(models) {
		for i, m := range models {
			id := targets[i%len(targets)].ID
			homes[id] = append(homes[id], m)
		}
		return homes
	}
	rooms := make(map[identifier.Model]int, len(models))
	for i, m := range models {
		rooms[m] = (len(targets) + len(models) - 1 - i) / len(models)
	}
	type pair struct {
		target, model int
		lag           identifier.Version
	}
	var pairs []pair
	for t, l := range targets {
		for m, name := range models {
			pairs = append(pairs, pair{target: t, model: m, lag: max(wanted[name], l.Versions[name]) - l.Versions[name]})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		// Equal pairs are dealt out in turn, so that the targets of an availability zone serve different models.
		turn := cmp.Compare((a.target+a.model)%len(models), (b.target+b.model)%len(models))
		return cmp.Or(cmp.Compare(a.lag, b.lag), turn, cmp.Compare(a.target, b.target))
	})
	for _, p := range pairs {
		id, m := targets[p.target].ID, models[p.model]
		if len(homes[id]) == 0 && rooms[m] > 0 {
			homes[id] = append(homes[id], m)
			rooms[m]--
		}
	}
	return homes
}
