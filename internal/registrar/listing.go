// Package registrar holds what a process knows of the targets that registered themselves: their listings, and what
// attempts at them have shown.
package registrar

import (
	"maps"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Listing is what a target says of itself. It is immutable.
type Listing struct {
	ID      identifier.Target
	Service identifier.Service
	Address string
	Zone    identifier.Zone
	Slots   int
	// Draining targets take no new work.
	Draining bool
	// Incarnation is the start of the target; a target may start again under its identity.
	Incarnation identifier.Incarnation
	// Versions are the weight versions of the models that the target serves.
	Versions map[identifier.Model]identifier.Version
}

// WithVersion returns a copy of l that serves a model at a version.
func (l Listing) WithVersion(m identifier.Model, v identifier.Version) Listing {
	l.Versions = maps.Clone(l.Versions)
	if l.Versions == nil {
		l.Versions = make(map[identifier.Model]identifier.Version, 1)
	}
	l.Versions[m] = v
	return l
}
