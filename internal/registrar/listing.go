// Package registrar holds the targets that a process knows: the listings under which they registered themselves, and
// the failures, suspensions and event intervals that were observed in attempts.
package registrar

import (
	"maps"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Listing is the registration of a target, written by itself. It is immutable.
type Listing struct {
	ID      identifier.Target
	Service identifier.Service
	Address string
	Zone    identifier.Zone
	Slots   int
	// Draining targets take no new work.
	Draining bool
	// Incarnation identifies one start of the target; a target may restart under the same ID.
	Incarnation identifier.Incarnation
	// Release is the software version of the target.
	Release identifier.Release
	// Versions are the weight versions of the models that the target serves.
	Versions map[identifier.Model]identifier.Version
	// Cold is the time for which the target was still cold when the listing was read.
	Cold time.Duration
}

// WithVersion returns a copy of l with the given version of a model.
func (l Listing) WithVersion(m identifier.Model, v identifier.Version) Listing {
	l.Versions = maps.Clone(l.Versions)
	if l.Versions == nil {
		l.Versions = make(map[identifier.Model]identifier.Version, 1)
	}
	l.Versions[m] = v
	return l
}
