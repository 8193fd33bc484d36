package navigator

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// withTeamRegions keeps the regions of a team, whose jobs are known by its name. A team that is listed twice is bound by both.
func (p Plan) withTeamRegions(t Team) Plan {
	if !t.Regions.Restricted() {
		return p
	}
	p.confinedTeams = maps.Clone(p.confinedTeams)
	if p.confinedTeams == nil {
		p.confinedTeams = make(map[identifier.Team]confiner.Regions)
	}
	p.confinedTeams[t.Name] = p.confinedTeams[t.Name].Intersect(t.Regions)
	return p
}

// Regions returns where requests of a team to a host and path may be served: in the regions that both the route and the team allow. A
// route or a team that the plan does not contain restricts nothing.
func (p Plan) Regions(host, path string, team identifier.Team) confiner.Regions {
	route, _ := p.Route(host, path)
	return route.Regions.Intersect(p.confinedTeams[team])
}

// Unserved is a restriction that no target satisfies: requests of the route, and of the team unless that is empty, are refused.
type Unserved struct {
	Route   string
	Team    identifier.Team
	Service identifier.Service
	Regions confiner.Regions
}

// Unserved returns the restrictions that no target satisfies, in a stable order. serves reports whether a target of a service is in one
// of the given regions.
func (p Plan) Unserved(serves func(identifier.Service, confiner.Regions) bool) []Unserved {
	var all []Unserved
	for _, r := range p.routes {
		for _, share := range r.Shares {
			if share.Weight <= 0 {
				continue
			}
			if r.Regions.Restricted() && !serves(share.Service, r.Regions) {
				all = append(all, Unserved{Route: r.Name, Service: share.Service, Regions: r.Regions})
				continue
			}
			for team, regions := range p.confinedTeams {
				if both := r.Regions.Intersect(regions); !serves(share.Service, both) {
					all = append(all, Unserved{Route: r.Name, Team: team, Service: share.Service, Regions: both})
				}
			}
		}
	}
	slices.SortFunc(all, func(a, b Unserved) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service))
	})
	return all
}
