// Package navigator holds the operators' plan of routes: which request goes to which service, for whom, and within
// which limits.
package navigator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Kind is what a route allows to be done with its requests.
type Kind int

const (
	// Once marks requests that run at most once. It is the zero value: what is not known to be repeatable is not repeated.
	Once Kind = iota
	// Repeatable marks requests that may run more than once.
	Repeatable
	// Stream marks requests whose answer is a series of events.
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

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service identifier.Service
	Weight  float64
}

// Route is one way from a host and path prefix to services. It is immutable.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	Shares []Share
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target.
	Resumable bool
	// SingleVersion asks that one weight version makes all of an answer.
	SingleVersion bool
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	// Priority ranks the route; zero is the most urgent.
	Priority int
	// Timeout bounds the wait for an answer, Goal is the time within which an answer has its full worth.
	Timeout     time.Duration
	LatencyGoal time.Duration
	// QueueTTL is the time after which an unfinished item of a batch job may be given up.
	QueueTTL time.Duration
}

// Service is a group of targets that do the same work.
type Service struct {
	Name identifier.Service
	// MaxConnections bounds the connections to one target from all processes.
	MaxConnections int
	// Models are served by the targets of an engine service; a plain service has none.
	Models []identifier.Model
	// MinTargets and MaxTargets bound the targets in each availability zone that may be ordered; MaxTargets is zero where none may.
	MinTargets, MaxTargets int
}

// Team is a customer with its keys.
type Team struct {
	Name identifier.Team
	Keys []string
	// Priority goes before the route's if Ranked is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	Header identifier.Bytes
	Body   identifier.Bytes
}

// Plan is the whole of the operators' configuration at one revision. It is immutable; the zero value knows no route and
// has revision zero.
type Plan struct {
	revision identifier.Revision
	routes   map[string]Route
	services map[identifier.Service]Service
	holders  map[string]Team
	limits   Limits
}

// NewPlan returns an empty plan with a revision.
func NewPlan(revision identifier.Revision) Plan { return Plan{revision: revision} }

// WithRoutes returns a copy of p with the given routes.
func (p Plan) WithRoutes(routes ...Route) Plan {
	p.routes = maps.Clone(p.routes)
	if p.routes == nil {
		p.routes = make(map[string]Route, len(routes))
	}
	for _, r := range routes {
		r.Shares = slices.Clone(r.Shares)
		p.routes[r.Host+r.Prefix] = r
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
		p.services[s.Name] = s
	}
	return p
}

// WithTeams returns a copy of p with the given teams.
func (p Plan) WithTeams(teams ...Team) Plan {
	p.holders = maps.Clone(p.holders)
	if p.holders == nil {
		p.holders = make(map[string]Team)
	}
	for _, t := range teams {
		for _, key := range t.Keys {
			p.holders[key] = t
		}
	}
	return p
}

// WithLimits returns a copy of p with the given limits.
func (p Plan) WithLimits(l Limits) Plan {
	p.limits = l
	return p
}

// Revision returns the revision of the plan; zero means that there is none yet.
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

// Route returns the route of a host with the longest prefix of path. Prefixes end with a slash, so that a lookup for
// each slash of the path finds it whatever the number of routes.
func (p Plan) Route(host, path string) (Route, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := p.routes[host+path[:end+1]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// TeamByKey returns the team that holds a key.
func (p Plan) TeamByKey(key string) (Team, bool) {
	t, ok := p.holders[key]
	return t, ok
}

// RequiresSingleVersion reports whether a route to a service wants one weight version in each answer.
func (p Plan) RequiresSingleVersion(s identifier.Service) bool {
	for _, r := range p.routes {
		if r.SingleVersion && slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == s }) {
			return true
		}
	}
	return false
}
