package registrar

import (
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// WithEvacuator makes r leave the targets of zones that e evacuates out of its views, and returns r.
func (r *Registrar) WithEvacuator(e *evacuator.Evacuator) *Registrar {
	r.evacuator = e
	return r
}

// NotifyEvacuation wakes those who wait for a change of the listings, because the orders of the evacuator have changed.
func (r *Registrar) NotifyEvacuation() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.notify()
}

// Stranded returns the services, sorted, that have targets which would take requests, all of them in zones that are evacuated by an
// order.
func (r *Registrar) Stranded() []identifier.Service {
	evacuated := r.evacuator.Zones()
	if evacuated.Len() == 0 {
		return nil
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	zonesOf := make(map[identifier.Service]evacuator.Zones)
	for _, rec := range r.records {
		if l := rec.listing; r.accepts(rec) && !zonesOf[l.Service].Contains(l.Zone) {
			zonesOf[l.Service] = zonesOf[l.Service].With(l.Zone)
		}
	}
	return evacuated.Stranded(zonesOf)
}

// TargetsIn returns the targets in a zone that would take requests, whether the zone is evacuated or not.
func (r *Registrar) TargetsIn(z identifier.Zone) []router.Target {
	r.lock.Lock()
	defer r.lock.Unlock()
	var targets []router.Target
	for _, rec := range r.records {
		if rec.listing.Zone == z && r.accepts(rec) {
			targets = append(targets, r.target(rec.listing))
		}
	}
	return targets
}

// accepts reports whether a target takes requests by what it says itself. The caller holds the lock.
func (r *Registrar) accepts(rec record) bool {
	l := rec.listing
	return !l.Draining && !rec.contradictory && !r.departures.Left(l.ID, l.Incarnation)
}

// markEvacuated returns a listing with its target draining if its zone is evacuated.
func (r *Registrar) markEvacuated(l Listing) Listing {
	l.Draining = l.Draining || r.evacuator.Evacuated(l.Zone)
	return l
}
