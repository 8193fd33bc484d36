package router

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// View is an immutable set of targets that take new work, grouped by service and availability zone.
type View struct {
	groups map[groupKey][]Target
	zones  map[identifier.Service][]zoneOf
}

type groupKey struct {
	service identifier.Service
	zone    identifier.Zone
}

type zoneOf struct {
	zone   identifier.Zone
	region identifier.Region
}

// NewView returns a view of the given targets.
func NewView(targets []Target) View {
	v := View{groups: make(map[groupKey][]Target), zones: make(map[identifier.Service][]zoneOf)}
	for _, t := range targets {
		k := groupKey{service: t.Service, zone: t.Zone}
		if _, ok := v.groups[k]; !ok {
			v.zones[t.Service] = append(v.zones[t.Service], zoneOf{zone: t.Zone, region: t.Region})
		}
		v.groups[k] = append(v.groups[k], t)
	}
	return v
}

// Len returns the number of targets of a service.
func (v View) Len(s identifier.Service) int {
	n := 0
	for _, z := range v.zones[s] {
		n += len(v.groups[groupKey{service: s, zone: z.zone}])
	}
	return n
}

// Targets returns all targets of the view.
func (v View) Targets() []Target {
	var all []Target
	for _, g := range v.groups {
		all = append(all, g...)
	}
	return all
}

// near returns the target groups for a need: own availability zone, then own region, then the rest.
func (v View) near(n Need) [][]Target {
	zones := slices.Clone(v.zones[n.Service])
	slices.SortStableFunc(zones, func(a, b zoneOf) int { return distance(a, n) - distance(b, n) })
	groups := make([][]Target, 0, len(zones))
	for _, z := range zones {
		groups = append(groups, v.groups[groupKey{service: n.Service, zone: z.zone}])
	}
	return groups
}

func distance(z zoneOf, n Need) int {
	switch {
	case z.zone == n.Zone:
		return 0
	case z.region == n.Region:
		return 1
	default:
		return 2
	}
}
