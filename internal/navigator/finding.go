package navigator

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/checker"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Findings returns what is wrong with the draft: as an error what keeps processes from adopting it, and as warnings entries that can never
// match, names that don't exist, limits that contradict each other and numbers out of bounds. regions are those of the deployment's
// availability zones; without any, the names of regions are not checked.
func (d Draft) Findings(regions ...identifier.Region) []checker.Finding {
	r := &review{draft: d, regions: regions, services: make(map[identifier.Service]Service, len(d.services))}
	for _, s := range d.services {
		r.services[s.Name] = s
	}
	if d.revision == 0 {
		r.findings = append(r.findings, checker.New(checker.Error, checker.Invalid, "revision", "want a revision of at least 1"))
	}
	r.checkRoutes()
	r.checkServices()
	r.checkTeams()
	if d.limits.Header < 0 || d.limits.Body < 0 {
		r.warn(checker.Invalid, "limits", "a negative limit counts as none")
	}
	return r.findings
}

// review collects the findings of a draft.
type review struct {
	draft    Draft
	regions  []identifier.Region
	services map[identifier.Service]Service
	findings []checker.Finding
}

// element is an element of a list of a draft.
type element struct {
	list  string
	index int
}

// String returns the path of the element.
func (e element) String() string { return fmt.Sprintf("%s[%d]", e.list, e.index) }

// field returns the path of a field of the element. It is called only for findings: a draft may have thousands of elements.
func (e element) field(name string) string { return e.String() + "." + name }

// item returns the path of a field of an element of a list within the element.
func (e element) item(list string, i int, name string) string {
	return e.field(strings.TrimSuffix(fmt.Sprintf("%s[%d].%s", list, i, name), "."))
}

func (r *review) warn(k checker.Kind, path, format string, args ...any) {
	r.findings = append(r.findings, checker.New(checker.Warning, k, path, fmt.Sprintf(format, args...)))
}

// warnOther adds a warning that refers to another place.
func (r *review) warnOther(k checker.Kind, path, other, format string, args ...any) {
	r.findings = append(r.findings, checker.New(checker.Warning, k, path, fmt.Sprintf(format, args...)).WithOther(other))
}

// warnCovered warns of each element that a later one of the same name replaces, since the last one is in force.
func warnCovered[T any](r *review, list string, all []T, name func(T) string, message string) {
	last := make(map[string]int, len(all))
	for i, v := range all {
		last[name(v)] = i
	}
	if len(last) == len(all) {
		return
	}
	for i, v := range all {
		if j := last[name(v)]; j != i {
			r.warnOther(checker.Covered, element{list, i}.String(), element{list, j}.String(), "%s", message)
		}
	}
}

func (r *review) checkRoutes() {
	warnCovered(r, "routes", r.draft.routes, func(v Route) string { return v.Host + v.Prefix },
		"another route of the same host and prefix is used instead")
	for i, route := range r.draft.routes {
		at := element{"routes", i}
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			r.warn(checker.Unused, at.field("prefix"), "no request matches: want a prefix that begins and ends with a slash")
		}
		r.checkShares(at, route)
		r.checkTimes(at, route)
		r.checkRegions(at, route.Regions)
		if route.MaxAttempts < 0 || route.MaxAttempts > maxAttempts {
			r.warn(checker.Invalid, at.field("attempts"), "want a number from 0 to %d; the nearest one is used", maxAttempts)
		}
		if route.Resumable && route.Kind != Stream {
			r.warn(checker.Unused, at.field("resumable"), "only streams are resumed")
		}
	}
}

// checkShares checks the services of a route.
func (r *review) checkShares(at element, route Route) {
	total, models := 0.0, false
	for i, s := range route.Shares {
		service, known := r.services[s.Service]
		if !known {
			r.warn(checker.Unknown, at.item("shares", i, "service"), "there is no service %q", s.Service)
		}
		models = models || len(service.Models) > 0
		if s.Weight < 0 || math.IsNaN(s.Weight) {
			r.warn(checker.Invalid, at.item("shares", i, "weight"), "a negative weight counts as 0")
			continue
		}
		total += s.Weight
	}
	if total <= 0 {
		r.warn(checker.Conflict, at.field("shares"), "no service has a weight above 0: every request is refused")
	}
	if route.SingleVersion && !models {
		r.warn(checker.Unused, at.field("single"), "no service of the route has models")
	}
}

// checkTimes checks the times of a route, of which those within another one must not exceed it.
func (r *review) checkTimes(at element, route Route) {
	for _, t := range []struct {
		field string
		time  time.Duration
	}{{"timeout", route.Timeout}, {"goal", route.LatencyGoal}, {"ttl", route.QueueTTL}, {"due", route.ResultDue}} {
		if t.time < 0 || t.time > maxTime {
			r.warn(checker.Invalid, at.field(t.field), "want a time from 0s to %v; the nearest one is used", maxTime)
		}
	}
	if route.Timeout > 0 && route.LatencyGoal > route.Timeout {
		r.warn(checker.Conflict, at.field("goal"), "the goal of %v is after the timeout of %v", route.LatencyGoal, route.Timeout)
	}
	switch {
	case route.Kind != Rollout && (route.QueueTTL > 0 || route.ResultDue > 0):
		r.warn(checker.Unused, at.field("kind"), "only batch jobs have a due time or a time after which items are abandoned")
	case route.QueueTTL > 0 && route.ResultDue > route.QueueTTL:
		r.warn(checker.Conflict, at.field("due"), "results are due after %v, but items are abandoned after %v", route.ResultDue, route.QueueTTL)
	}
}

// checkRegions checks that the allowed regions of a route or team exist.
func (r *review) checkRegions(at element, allowed confiner.Regions) {
	if len(r.regions) == 0 || !allowed.Restricted() {
		return
	}
	served := false
	for _, name := range allowed.Names() {
		if slices.Contains(r.regions, name) {
			served = true
			continue
		}
		r.warn(checker.Unknown, at.field("regions"), "no availability zone is in region %q", name)
	}
	if !served {
		r.warn(checker.Conflict, at.field("regions"), "no availability zone is in an allowed region: every request is refused")
	}
}

func (r *review) checkServices() {
	warnCovered(r, "services", r.draft.services, func(s Service) string { return string(s.Name) },
		"another service of the same name is used instead")
	routed := make(map[identifier.Service]bool, len(r.services))
	for _, route := range r.draft.routes {
		for _, s := range route.Shares {
			routed[s.Service] = true
		}
	}
	for i, s := range r.draft.services {
		at := element{"services", i}
		if !routed[s.Name] {
			r.warn(checker.Unused, at.field("name"), "no route names the service")
		}
		if s.MinTargets > s.MaxTargets {
			r.warn(checker.Conflict, at.field("min"), "at least %d targets, but at most %d", s.MinTargets, s.MaxTargets)
		}
		if s.ColdFor < 0 || s.ColdFor > maxTime {
			r.warn(checker.Invalid, at.field("coldfor"), "want a time from 0s to %v; the nearest one is used", maxTime)
		}
		if s.ColdRate < 0 || math.IsNaN(s.ColdRate) {
			r.warn(checker.Invalid, at.field("coldrate"), "a negative rate counts as 0")
		}
		if (s.ColdFor > 0) != (s.ColdRate > 0) {
			r.warn(checker.Conflict, at.field("coldfor"), "a target is cold only if both the time and the rate are above 0")
		}
	}
}

func (r *review) checkTeams() {
	type place struct{ team, key int }
	last := make(map[string]place)
	names := make(map[identifier.Team]int, len(r.draft.teams))
	for i, t := range r.draft.teams {
		for j, key := range t.Keys {
			last[key] = place{i, j}
		}
	}
	for i, t := range r.draft.teams {
		at := element{"teams", i}
		if j, seen := names[t.Name]; seen {
			r.warnOther(checker.Covered, at.field("name"), element{"teams", j}.field("name"), "the team is listed before; it is bound by the regions of both")
		} else {
			names[t.Name] = i
		}
		if len(t.Keys) == 0 {
			r.warn(checker.Unused, at.field("keys"), "no request belongs to a team without a key")
		}
		for j, key := range t.Keys {
			if used := last[key]; used != (place{i, j}) {
				r.warnOther(checker.Covered, at.item("keys", j, ""), element{"teams", used.team}.item("keys", used.key, ""),
					"the key is listed again, and the last one is used")
			}
			if key == "" {
				r.warn(checker.Invalid, at.item("keys", j, ""), "an empty key is that of every request without one")
			}
		}
		r.checkRegions(at, t.Regions)
	}
	r.checkConfinement()
}

// checkConfinement warns of routes and teams that have no region in common. Routes with equal regions are compared once.
func (r *review) checkConfinement() {
	seen := make(map[confiner.Regions]bool)
	for i, route := range r.draft.routes {
		if !route.Regions.Restricted() || route.Regions.Empty() || seen[route.Regions] {
			continue
		}
		seen[route.Regions] = true
		for j, t := range r.draft.teams {
			if t.Regions.Restricted() && route.Regions.Intersect(t.Regions).Empty() {
				r.warnOther(checker.Conflict, element{"routes", i}.field("regions"), element{"teams", j}.field("regions"),
					"the route and the team %q have no region in common: its requests are refused", t.Name)
			}
		}
	}
}
