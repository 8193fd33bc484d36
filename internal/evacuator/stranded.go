package evacuator

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Stranded are the services all of whose targets are in evacuated zones, as of one check. It is immutable; the zero value has none.
type Stranded struct{ services []identifier.Service }

// Update returns the services that are stranded now and were not before, those that no longer are, and the present ones.
func (s Stranded) Update(services []identifier.Service) (began, ended []identifier.Service, now Stranded) {
	now = Stranded{services: slices.Clone(services)}
	without := func(all []identifier.Service, other Stranded) []identifier.Service {
		return slices.DeleteFunc(slices.Clone(all), other.Contains)
	}
	return without(services, s), without(s.services, now), now
}

// Contains reports whether a service is stranded.
func (s Stranded) Contains(service identifier.Service) bool {
	return slices.Contains(s.services, service)
}

// Len returns the number of services.
func (s Stranded) Len() int { return len(s.services) }
