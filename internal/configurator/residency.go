package configurator

import (
	"slices"

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
			ps = append(ps, Problem{Field: fieldPath(list, i, "regions"), Want: "the region of at least one zone of this document"})
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
