package navigator

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Draft is a configuration as operators wrote it: numbers may be out of bounds, and entries may replace each other. It is immutable; the
// zero value is empty.
type Draft struct {
	revision identifier.Revision
	routes   []Route
	services []Service
	teams    []Team
	limits   Limits
}

// NewDraft returns an empty draft with the given revision.
func NewDraft(revision identifier.Revision) Draft { return Draft{revision: revision} }

// WithRoutes returns a copy of d with the given routes.
func (d Draft) WithRoutes(routes ...Route) Draft {
	d.routes = slices.Clone(routes)
	return d
}

// WithServices returns a copy of d with the given services.
func (d Draft) WithServices(services ...Service) Draft {
	d.services = slices.Clone(services)
	return d
}

// WithTeams returns a copy of d with the given teams.
func (d Draft) WithTeams(teams ...Team) Draft {
	d.teams = slices.Clone(teams)
	return d
}

// WithLimits returns a copy of d with the given limits.
func (d Draft) WithLimits(l Limits) Draft {
	d.limits = l
	return d
}

// Plan returns the plan that processes adopt.
func (d Draft) Plan() Plan {
	return NewPlan(d.revision).WithLimits(d.limits).WithRoutes(d.routes...).WithServices(d.services...).WithTeams(d.teams...)
}
