package registrar

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Speeds returns the speed of each target with enough recent intervals between events, as a multiple of the usual speed of its service's
// targets. Services with fewer than minComparedTargets such targets have no usual speed.
func (r *Registrar) Speeds(now time.Duration) map[identifier.Target]float64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	medians := make(map[identifier.Service][]time.Duration)
	for _, rec := range r.records {
		if median, ok := rec.intervals.median(now); ok {
			medians[rec.listing.Service] = append(medians[rec.listing.Service], median)
		}
	}
	for _, all := range medians {
		slices.Sort(all)
	}
	speeds := make(map[identifier.Target]float64)
	for id, rec := range r.records {
		all := medians[rec.listing.Service]
		if median, ok := rec.intervals.median(now); ok && median > 0 && len(all) >= minComparedTargets {
			speeds[id] = float64(all[len(all)/2]) / float64(median)
		}
	}
	return speeds
}
