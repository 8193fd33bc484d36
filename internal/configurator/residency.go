package configurator

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/checker"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Regions returns where requests of a team to a service may be served: in the regions that both allow. A team or service that the document
// does not contain restricts nothing.
func (d Document) Regions(s identifier.Service, t identifier.Team) confiner.Regions {
	if !d.confined {
		return ""
	}
	service, _ := d.Service(s)
	team, _ := d.Team(t)
	return service.Regions.Intersect(team.Regions)
}

// Confined reports whether the document restricts a team or service to regions.
func (d Document) Confined() bool { return d.confined }

// Unserved is a restriction that no target satisfies. Team is empty if the service's own regions have no target.
type Unserved struct {
	Team    identifier.Team
	Service identifier.Service
	Regions confiner.Regions
}

// Unserved returns the restrictions of services, and of teams for each service, that no target satisfies. serves reports whether a target
// of a service is in one of the regions.
func (d Document) Unserved(serves func(identifier.Service, confiner.Regions) bool) []Unserved {
	if !d.confined {
		return nil
	}
	var all []Unserved
	for _, s := range d.services {
		if s.Regions.Restricted() && !serves(s.Name, s.Regions) {
			all = append(all, Unserved{Service: s.Name, Regions: s.Regions})
			continue
		}
		for _, t := range d.teams {
			if both := s.Regions.Intersect(t.Regions); t.Regions.Restricted() && !serves(s.Name, both) {
				all = append(all, Unserved{Team: t.Name, Service: s.Name, Regions: both})
			}
		}
	}
	return all
}

// withConfined returns a copy of d that knows whether any of its teams and services is restricted, so that a document without restrictions
// is not searched for each request.
func (d Document) withConfined() Document {
	d.confined = slices.ContainsFunc(d.teams, func(t Team) bool { return t.Regions.Restricted() }) ||
		slices.ContainsFunc(d.services, func(s Service) bool { return s.Regions.Restricted() })
	return d
}

// checkRegions returns a problem for each set of regions that no target can satisfy, since the document has no zone in any of them. A
// document without zones does not tell.
func (d Document) checkRegions() []Problem {
	var ps []Problem
	check := func(list string, i int, r confiner.Regions) {
		known := func(z Zone) bool { return r.Allows(z.Region) }
		if r.Empty() || r.Restricted() && len(d.zones) > 0 && !slices.ContainsFunc(d.zones, known) {
			ps = append(ps, Problem{Field: fieldPath(list, i, "regions"), Want: "the region of at least one zone of this document", Kind: checker.Unknown})
		}
	}
	for i, t := range d.teams {
		check("teams", i, t.Regions)
	}
	for i, s := range d.services {
		check("services", i, s.Regions)
	}
	return ps
}

// regionsText returns the regions of a team or service for the text of a difference; it is empty if there is no restriction.
func regionsText(r confiner.Regions) string {
	if !r.Restricted() {
		return ""
	}
	return " regions=" + r.String()
}
