package registrar

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/pacer"
)

// RecordFirst records the time from the start of an attempt at a target to its first event.
func (r *Registrar) RecordFirst(id identifier.Target, took, now time.Duration) {
	r.update(id, func(rec record) record {
		rec.firsts = rec.firsts.with(took, now)
		r.recordPace(rec.listing.Service, func(p pacer.Pace) pacer.Pace { return p.WithFirst(took) })
		return rec
	})
}

// RecordScored records the time of the scoring call of an item of a service with its repeats.
func (r *Registrar) RecordScored(s identifier.Service, took time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.recordPace(s, func(p pacer.Pace) pacer.Pace { return p.WithScore(took) })
}

// RecordText records the length of a complete text of a service and its hint.
func (r *Registrar) RecordText(s identifier.Service, hint, events int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.recordPace(s, func(p pacer.Pace) pacer.Pace { return p.WithText(hint, events) })
}

// recordPace changes the measured pace of a service. The caller holds the lock.
func (r *Registrar) recordPace(s identifier.Service, f func(pacer.Pace) pacer.Pace) {
	if r.paces == nil {
		r.paces = make(map[identifier.Service]pacer.Pace)
	}
	r.paces[s] = f(r.paces[s])
}

// ServicePace returns the pace of the targets of a service.
func (r *Registrar) ServicePace(s identifier.Service) pacer.Pace {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.paces[s]
}

// Paces returns the recent pace of a target, as far as it is known, and that of all targets of its service.
func (r *Registrar) Paces(id identifier.Target, now time.Duration) (own, peers pacer.Pace) {
	r.lock.Lock()
	defer r.lock.Unlock()
	rec, ok := r.records[id]
	if !ok {
		return own, peers
	}
	own.Interval, _ = rec.intervals.median(now)
	own.First, _ = rec.firsts.median(now)
	peers = r.paces[rec.listing.Service]
	r.slowTargets(rec.listing.Service, now)
	if median := r.comparisons[rec.listing.Service].median; median > 0 {
		// The mean of few targets is that of the slow ones among them too.
		peers.Interval = median
	}
	return own, peers
}
