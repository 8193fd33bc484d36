// Package navigator holds the operators' configuration: the routes that assign requests to services, the services, the
// teams with their API keys, and the limits.
package navigator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Kind is how a route's requests may be handled.
type Kind int

const (
	// Once marks requests that run at most once. It is the zero value, so that a request of unknown kind is not
	// repeated.
	Once Kind = iota
	// Repeatable marks requests that may run more than once.
	Repeatable
	// Stream marks requests whose answer is a stream of events.
	Stream
	// Rollout marks batch jobs.
	Rollout
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"once", "repeatable", "stream", "rollout"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Share is a service of a route and its weight; the weights of a route need not sum to one.
type Share struct {
	Service identifier.Service
	Weight  float64
}

// Route assigns the requests of a host and path prefix to services. It is immutable.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	Shares []Share
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue at another target.
	Resumable bool
	// SingleVersion requires that each answer is generated with one weight version.
	SingleVersion bool
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int
	// Priority ranks the route; zero is the most urgent.
	Priority int
	// Timeout bounds the wait for an answer. LatencyGoal is the time within which an answer has its full value.
	Timeout     time.Duration
	LatencyGoal time.Duration
	// QueueTTL is the time after which an unfinished item of a batch job may be abandoned.
	QueueTTL time.Duration
	// ResultDue is the time from the submission of a batch job until its results are due; zero if it is unknown.
	ResultDue time.Duration
	// Regions are those in which the requests of the route may be served, cached, stored and forwarded.
	Regions confiner.Regions
}

// Service is a group of targets that do the same work.
type Service struct {
	Name identifier.Service
	// MaxConnections is the maximum number of connections from all processes to one target.
	MaxConnections int
	// Models are the models that the targets of an engine service serve; any other service has none.
	Models []identifier.Model
	// MinTargets and MaxTargets bound the number of targets in each availability zone that may be ordered; MaxTargets
	// is zero where none may.
	MinTargets, MaxTargets int
	// ColdFor is how long a target is cold after its start, and ColdRate the requests a second that a cold target sustains. If either
	// is zero, no target of the service is ever cold.
	ColdFor  time.Duration
	ColdRate float64
}

// GoesCold reports whether targets of the service are cold after their start.
func (s Service) GoesCold() bool { return s.ColdFor > 0 && s.ColdRate > 0 }

// Team holds the API keys and the priority of a team.
type Team struct {
	Name identifier.Team
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are those in which the requests of the team may be served, cached, stored and forwarded.
	Regions confiner.Regions
}

// Limits bound the size of a caller's header and body. Zero means no limit.
type Limits struct {
	Header identifier.Bytes
	Body   identifier.Bytes
}

// Plan is the operators' complete configuration at one revision. It is immutable. The zero value is empty and has
// revision zero.
type Plan struct {
	revision   identifier.Revision
	routes     map[string]Route
	services   map[identifier.Service]Service
	teamsByKey map[string]Team
	// confinedTeams holds the regions of the teams that are restricted.
	confinedTeams map[identifier.Team]confiner.Regions
	limits        Limits
}

// NewPlan returns an empty plan with the given revision.
func NewPlan(revision identifier.Revision) Plan { return Plan{revision: revision} }

// WithRoutes returns a copy of p with the given routes, their numbers within bounds.
func (p Plan) WithRoutes(routes ...Route) Plan {
	p.routes = maps.Clone(p.routes)
	if p.routes == nil {
		p.routes = make(map[string]Route, len(routes))
	}
	for _, r := range routes {
		p.routes[r.Host+r.Prefix] = r.withinBounds()
	}
	return p
}

// WithServices returns a copy of p with the given services.
func (p Plan) WithServices(services ...Service) Plan {
	p.services = maps.Clone(p.services)
	if p.services == nil {
		p.services = make(map[identifier.Service]Service, len(services))
	}
	for _, s := range services {
		s.Models = slices.Clone(s.Models)
		p.services[s.Name] = s.withinBounds()
	}
	return p
}

// WithTeams returns a copy of p with the given teams.
func (p Plan) WithTeams(teams ...Team) Plan {
	p.teamsByKey = maps.Clone(p.teamsByKey)
	if p.teamsByKey == nil {
		p.teamsByKey = make(map[string]Team)
	}
	for _, t := range teams {
		for _, key := range t.Keys {
			p.teamsByKey[key] = t
		}
		p = p.withTeamRegions(t)
	}
	return p
}

// WithLimits returns a copy of p with the given limits.
func (p Plan) WithLimits(l Limits) Plan {
	p.limits = l.withinBounds()
	return p
}

// Revision returns the revision of the plan; zero means that no configuration was read yet.
func (p Plan) Revision() identifier.Revision { return p.revision }

// Limits returns the limits of the plan.
func (p Plan) Limits() Limits { return p.limits }

// Service returns a service by its name.
func (p Plan) Service(name identifier.Service) (Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Services returns the services in order of their names.
func (p Plan) Services() []Service {
	return slices.SortedFunc(maps.Values(p.services), func(a, b Service) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
}

// Routes returns all routes, in no fixed order.
func (p Plan) Routes() []Route { return slices.Collect(maps.Values(p.routes)) }

// Route returns the route of a host with the longest matching prefix of path. Prefixes end with a slash, so one
// lookup for each slash of the path is enough, whatever the number of routes.
func (p Plan) Route(host, path string) (Route, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := p.routes[host+path[:end+1]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// TeamByKey returns the team that an API key belongs to.
func (p Plan) TeamByKey(key string) (Team, bool) {
	t, ok := p.teamsByKey[key]
	return t, ok
}

// RequiresSingleVersion reports whether any route to a service has SingleVersion set.
func (p Plan) RequiresSingleVersion(s identifier.Service) bool {
	for _, r := range p.routes {
		if r.SingleVersion && slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == s }) {
			return true
		}
	}
	return false
}
