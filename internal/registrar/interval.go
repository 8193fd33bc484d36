package registrar

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/pacer"
)

const (
	// maxIntervals is the number of recent intervals whose median is compared. A single pause, such as a weight load,
	// does not change the median.
	maxIntervals = 8
	// minIntervals is the number of intervals that a median needs.
	minIntervals = 4
	// intervalMaxAge is how long the intervals are used after the last one. Then a slow target gets requests again.
	intervalMaxAge = 3 * time.Second
	// slowFactor is the ratio to the service's median interval above which a target is slow. Full batches lengthen the
	// interval by less than a tenth.
	slowFactor = 1.7
	// minComparedTargets is the number of targets with a median that a comparison needs.
	minComparedTargets = 3
	// comparisonTTL is the time for which the result of a comparison is reused.
	comparisonTTL = 100 * time.Millisecond
)

// eventIntervals holds the latest intervals between events of a target's streams. The zero value holds none.
type eventIntervals struct {
	recent [maxIntervals]time.Duration
	count  int
	lastAt time.Duration
}

// with returns a copy of e with one more interval.
func (e eventIntervals) with(interval, now time.Duration) eventIntervals {
	if now-e.lastAt > intervalMaxAge {
		e = eventIntervals{}
	}
	e.recent[e.count%maxIntervals] = interval
	e.count++
	e.lastAt = now
	return e
}

// median returns the median interval. It reports false if there are too few intervals or they are too old.
func (e eventIntervals) median(now time.Duration) (time.Duration, bool) {
	if e.count < minIntervals || now-e.lastAt > intervalMaxAge {
		return 0, false
	}
	recent := e.recent
	sorted := recent[:min(e.count, maxIntervals)]
	slices.Sort(sorted)
	return sorted[len(sorted)/2], true
}

// comparison is the result of comparing the intervals of a service's targets.
type comparison struct {
	slow []identifier.Target
	// median is that of the targets' medians; zero if too few are compared.
	median time.Duration
	at     time.Duration
}

// RecordInterval records the time between two events of a target's stream.
func (r *Registrar) RecordInterval(id identifier.Target, interval, now time.Duration) {
	r.update(id, func(rec record) record {
		rec.intervals = rec.intervals.with(interval, now)
		r.recordPace(rec.listing.Service, func(p pacer.Pace) pacer.Pace { return p.WithInterval(interval) })
		return rec
	})
}

// IsSlow reports whether a target is slower than the others of its service by more than slowFactor.
func (r *Registrar) IsSlow(id identifier.Target, now time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	rec, ok := r.records[id]
	return ok && slices.Contains(r.slowTargets(rec.listing.Service, now), id)
}

// SlowTargets returns the targets of a service that are slower than the others by more than slowFactor.
func (r *Registrar) SlowTargets(s identifier.Service, now time.Duration) []identifier.Target {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.slowTargets(s, now))
}

// slowTargets returns the slow targets of a service, from the last comparison if it is recent. The caller holds the
// lock.
func (r *Registrar) slowTargets(s identifier.Service, now time.Duration) []identifier.Target {
	if last, ok := r.comparisons[s]; ok && now-last.at < comparisonTTL {
		return last.slow
	}
	medians := make(map[identifier.Target]time.Duration)
	var all []time.Duration
	for id, rec := range r.records {
		if rec.listing.Service != s {
			continue
		}
		if median, ok := rec.intervals.median(now); ok {
			medians[id] = median
			all = append(all, median)
		}
	}
	result := comparison{at: now}
	if len(all) >= minComparedTargets {
		slices.Sort(all)
		result.median = all[len(all)/2]
		limit := time.Duration(float64(result.median) * slowFactor)
		for id, median := range medians {
			if median > limit {
				result.slow = append(result.slow, id)
			}
		}
	}
	if r.comparisons == nil {
		r.comparisons = make(map[identifier.Service]comparison)
	}
	r.comparisons[s] = result
	return result.slow
}
