package router

import (
	"cmp"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// View is an immutable set of targets that accept new work. It is indexed by service, weight version, software version and
// availability zone, so that choosing a target never scans all of them.
type View struct {
	targets []Target
	index   map[identifier.Target]int
	groups  map[groupKey]*group
}

// groupKey selects the targets of a service that serve a weight version and run a software version; version zero and the empty
// release select those of any.
type groupKey struct {
	service identifier.Service
	version identifier.Version
	release identifier.Release
}

// group holds the targets of one key by availability zone.
type group struct {
	zones  []zoneGroup
	byZone map[identifier.Zone]int
}

// zoneGroup holds indices of the targets in one availability zone.
type zoneGroup struct {
	zone    identifier.Zone
	region  identifier.Region
	members []int
}

// NewView returns a view of the given targets.
func NewView(targets []Target) View {
	v := View{
		targets: slices.Clone(targets),
		index:   make(map[identifier.Target]int, len(targets)),
		groups:  make(map[groupKey]*group),
	}
	// The order must not depend on that of the argument, which may come from a map.
	slices.SortFunc(v.targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	for i, t := range v.targets {
		v.index[t.ID] = i
		v.addAll(groupKey{service: t.Service}, t.Release, i)
		if t.Version != 0 {
			v.addAll(groupKey{service: t.Service, version: t.Version}, t.Release, i)
		}
	}
	return v
}

// Len returns the number of targets of a service.
func (v View) Len(s identifier.Service) int {
	n := 0
	if g := v.groups[groupKey{service: s}]; g != nil {
		for _, z := range g.zones {
			n += len(z.members)
		}
	}
	return n
}

// Targets returns a copy of all targets, ordered by identifier.
func (v View) Targets() []Target { return slices.Clone(v.targets) }

// Target returns the target with the given identifier.
func (v View) Target(id identifier.Target) (Target, bool) {
	i, ok := v.index[id]
	if !ok {
		return Target{}, false
	}
	return v.targets[i], true
}

func (v View) group(r Requirements) *group {
	return v.groups[groupKey{service: r.Service, version: r.Version, release: r.Release}]
}

// Serves reports whether a target of a service runs a software version.
func (v View) Serves(s identifier.Service, r identifier.Release) bool {
	return r != "" && v.groups[groupKey{service: s, release: r}] != nil
}

// addAll adds the target at an index to the group of a key without release, and to that of the key with its own.
func (v View) addAll(k groupKey, r identifier.Release, i int) {
	v.add(k, i)
	if r != "" {
		k.release = r
		v.add(k, i)
	}
}

func (v View) add(k groupKey, i int) {
	g, ok := v.groups[k]
	if !ok {
		g = &group{byZone: make(map[identifier.Zone]int)}
		v.groups[k] = g
	}
	t := v.targets[i]
	z, ok := g.byZone[t.Zone]
	if !ok {
		z = len(g.zones)
		g.byZone[t.Zone] = z
		g.zones = append(g.zones, zoneGroup{zone: t.Zone, region: t.Region})
	}
	g.zones[z].members = append(g.zones[z].members, i)
}
