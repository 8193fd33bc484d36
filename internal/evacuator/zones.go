// Package evacuator holds the operators' orders that nothing more is sent to the targets of an availability zone.
package evacuator

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Zones is a set of availability zones. It is immutable; the zero value is empty.
type Zones struct {
	// names are sorted and distinct.
	names []identifier.Zone
}

// NewZones returns the set of the given zones.
func NewZones(names ...identifier.Zone) Zones {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Zones{names: slices.Compact(sorted)}
}

// With returns a copy of z that contains the given zone.
func (z Zones) With(name identifier.Zone) Zones {
	return NewZones(append(slices.Clone(z.names), name)...)
}

// Without returns a copy of z that does not contain the given zone.
func (z Zones) Without(name identifier.Zone) Zones {
	return Zones{names: slices.DeleteFunc(slices.Clone(z.names), func(n identifier.Zone) bool { return n == name })}
}

// Contains reports whether z contains a zone.
func (z Zones) Contains(name identifier.Zone) bool {
	_, found := slices.BinarySearch(z.names, name)
	return found
}

// Names returns a copy of the zones, sorted.
func (z Zones) Names() []identifier.Zone { return slices.Clone(z.names) }

// Len returns the number of zones.
func (z Zones) Len() int { return len(z.names) }

// Equal reports whether both sets contain the same zones.
func (z Zones) Equal(other Zones) bool { return slices.Equal(z.names, other.names) }

// Stranded returns the services, sorted, that have targets only in the zones of z. The argument holds for each service the zones in
// which it has targets that would take requests.
func (z Zones) Stranded(zonesOf map[identifier.Service]Zones) []identifier.Service {
	var stranded []identifier.Service
	for service, zones := range zonesOf {
		if zones.Len() > 0 && !slices.ContainsFunc(zones.names, func(n identifier.Zone) bool { return !z.Contains(n) }) {
			stranded = append(stranded, service)
		}
	}
	slices.Sort(stranded)
	return stranded
}
