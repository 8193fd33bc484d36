package navigator

import "github.com/mimosalb/mimosalb/internal/identifier"

// Priorities returns the priorities of all routes and teams, in no fixed order.
func (p Plan) Priorities() []int {
	all := make([]int, 0, len(p.routes)+len(p.teamsByKey))
	for _, r := range p.routes {
		all = append(all, r.Priority)
	}
	for _, t := range p.teamsByKey {
		if t.HasPriority {
			all = append(all, t.Priority)
		}
	}
	return all
}

// TeamPriorities returns the priorities of the teams that override those of routes.
func (p Plan) TeamPriorities() map[identifier.Team]int {
	teams := make(map[identifier.Team]int)
	for _, t := range p.teamsByKey {
		if t.HasPriority {
			teams[t.Name] = t.Priority
		}
	}
	return teams
}
