package configurator

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/checker"
	"github.com/mimosalb/mimosalb/internal/confiner"
)

// warnRegions warns of regions that no zone has, of regions whose zones are all evacuated, and of services and teams that have no region in
// common. A document without zones does not tell. A set without any zone is a problem, and is left out here.
func (d Document) warnRegions() []checker.Finding {
	if !d.confined || len(d.zones) == 0 {
		return nil
	}
	var all []checker.Finding
	for i, t := range d.teams {
		all = append(all, d.warnAllowed(fieldPath("teams", i, "regions"), t.Regions)...)
	}
	for i, s := range d.services {
		all = append(all, d.warnAllowed(fieldPath("services", i, "regions"), s.Regions)...)
		all = append(all, d.warnDisjoint(i, s)...)
	}
	return all
}

// warnAllowed warns of regions of one team or service.
func (d Document) warnAllowed(path string, allowed confiner.Regions) []checker.Finding {
	if !allowed.Restricted() || !d.hasZone(allowed, false) {
		return nil
	}
	var all []checker.Finding
	for _, name := range allowed.Names() {
		if !d.hasZone(confiner.NewRegions(name), false) {
			all = append(all, warn(checker.Unknown, path, "no zone is in region %s", name).WithOther("zones"))
		}
	}
	if !d.hasZone(allowed, true) {
		all = append(all, warn(checker.Conflict, path, "all zones in these regions are evacuated: every request is refused"))
	}
	return all
}

// hasZone reports whether a zone is in a set of regions; with serving set, only zones that are not evacuated count.
func (d Document) hasZone(r confiner.Regions, serving bool) bool {
	return slices.ContainsFunc(d.zones, func(z Zone) bool { return r.Allows(z.Region) && (!serving || !d.evacuated.Contains(z.Name)) })
}

// warnDisjoint warns of teams that have no region with a zone in common with the service at index i. Teams with equal regions are named
// once.
func (d Document) warnDisjoint(i int, s Service) []checker.Finding {
	if !s.Regions.Restricted() || !d.hasZone(s.Regions, false) {
		return nil
	}
	var all []checker.Finding
	seen := make(map[confiner.Regions]bool)
	for j, t := range d.teams {
		if !t.Regions.Restricted() || seen[t.Regions] {
			continue
		}
		seen[t.Regions] = true
		if d.hasZone(t.Regions, false) && !d.hasZone(s.Regions.Intersect(t.Regions), false) {
			all = append(all, warn(checker.Conflict, fieldPath("services", i, "regions"),
				"the service and the team %s have no region of a zone in common: its requests are refused", t.Name).
				WithOther(fieldPath("teams", j, "regions")))
		}
	}
	return all
}
