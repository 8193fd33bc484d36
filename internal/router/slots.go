package router

import "github.com/mimosalb/mimosalb/internal/identifier"

// Slots returns the number of slots of all targets of a service.
func (v View) Slots(s identifier.Service) int {
	g := v.groups[groupKey{service: s}]
	if g == nil {
		return 0
	}
	n := 0
	for _, z := range g.zones {
		for _, i := range z.members {
			n += max(v.targets[i].Slots, 1)
		}
	}
	return n
}
