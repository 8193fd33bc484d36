package registrar

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// paceSamples is the number of gaps between events that a target's pace is the median of. A single pause, such as
	// that of a load of weights, does not move it.
	paceSamples = 8
	// leastSamples is the number of gaps from which on a pace is known.
	leastSamples = 4
	// paceMemory is how long a pace counts without a new gap; then the target is tried again.
	paceMemory = 3 * time.Second
	// slowFactor is how many times the median pace of its service a slow target needs for an event. Full batches
	// stretch a pace by less than a tenth.
	slowFactor = 1.7
	// leastPaced is the number of targets with a known pace from which on they are compared.
	leastPaced = 3
	// slowPeriod is the time for which a comparison holds.
	slowPeriod = 100 * time.Millisecond
)

// pace holds the last gaps between events of a target's streams. The zero value holds none.
type pace struct {
	gaps  [paceSamples]time.Duration
	count int
	at    time.Duration
}

// with returns a copy of p with one more gap.
func (p pace) with(gap, now time.Duration) pace {
	if now-p.at > paceMemory {
		p = pace{}
	}
	p.gaps[p.count%paceSamples] = gap
	p.count++
	p.at = now
	return p
}

// median returns the pace, unless too little is known.
func (p pace) median(now time.Duration) (time.Duration, bool) {
	if p.count < leastSamples || now-p.at > paceMemory {
		return 0, false
	}
	known := p.gaps
	sorted := known[:min(p.count, paceSamples)]
	slices.Sort(sorted)
	return sorted[len(sorted)/2], true
}

// slowness is a comparison of the paces of a service's targets.
type slowness struct {
	targets []identifier.Target
	at      time.Duration
}

// RecordInterval records the time between two events of a target's stream.
func (r *Registrar) RecordInterval(id identifier.Target, gap, now time.Duration) {
	r.update(id, func(rec record) record {
		rec.pace = rec.pace.with(gap, now)
		return rec
	})
}

// IsSlow reports whether a target is much slower than the others of its service.
func (r *Registrar) IsSlow(id identifier.Target, now time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	rec, ok := r.records[id]
	return ok && slices.Contains(r.compare(rec.listing.Service, now), id)
}

// SlowTargets returns the targets of a service that are much slower than the others.
func (r *Registrar) SlowTargets(s identifier.Service, now time.Duration) []identifier.Target {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.compare(s, now))
}

// compare returns the slow targets of a service. The caller holds the lock.
func (r *Registrar) compare(s identifier.Service, now time.Duration) []identifier.Target {
	if last, ok := r.slow[s]; ok && now-last.at < slowPeriod {
		return last.targets
	}
	known := make(map[identifier.Target]time.Duration)
	var paces []time.Duration
	for id, rec := range r.records {
		if rec.listing.Service != s {
			continue
		}
		if p, ok := rec.pace.median(now); ok {
			known[id] = p
			paces = append(paces, p)
		}
	}
	found := slowness{at: now}
	if len(paces) >= leastPaced {
		slices.Sort(paces)
		limit := time.Duration(float64(paces[len(paces)/2]) * slowFactor)
		for id, p := range known {
			if p > limit {
				found.targets = append(found.targets, id)
			}
		}
	}
	if r.slow == nil {
		r.slow = make(map[identifier.Service]slowness)
	}
	r.slow[s] = found
	return found.targets
}
