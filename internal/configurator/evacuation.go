package configurator

import (
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Evacuated returns the zones to whose targets nothing is sent.
func (d Document) Evacuated() evacuator.Zones { return d.evacuated }

// WithEvacuated returns a copy of d in which the given zones are evacuated.
func (d Document) WithEvacuated(z evacuator.Zones) Document {
	d.evacuated = z
	return d
}

// KnownZones returns the zones that the document lists or evacuates, and the given ones.
func (d Document) KnownZones(others ...identifier.Zone) evacuator.Zones {
	names := append(d.evacuated.Names(), others...)
	for _, z := range d.zones {
		names = append(names, z.Name)
	}
	return evacuator.NewZones(names...)
}

// diffEvacuated compares the evacuated zones.
func diffEvacuated(before, after evacuator.Zones) []Change {
	var all []Change
	for _, z := range evacuator.NewZones(append(before.Names(), after.Names()...)...).Names() {
		c := Change{Field: "evacuated[" + string(z) + "]"}
		if before.Contains(z) {
			c.Before = "yes"
		}
		if after.Contains(z) {
			c.After = "yes"
		}
		if c.Before != c.After {
			all = append(all, c)
		}
	}
	return all
}
