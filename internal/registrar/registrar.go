package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

const (
	// lapseGrace is the time for which a target whose listing went while the store was away still counts: listings
	// that lapsed then are back within two seconds of the store's return.
	lapseGrace = 2 * time.Second
	// firstSuspension is how long a target gets no work after a failure; it doubles with each further one.
	firstSuspension = 500 * time.Millisecond
	// longestSuspension bounds it, so that a target that is back is found within that time.
	longestSuspension = 4 * time.Second
)

// Registrar is the table of targets of one process. The zero value knows none.
//
// Invariants: a draining or removed target is in no view; a suspension ends. Lock rank: container.RankRegistrar.
type Registrar struct {
	lock    container.Lock[container.Registrar]
	records map[identifier.Target]record
	regions map[identifier.Zone]identifier.Region
	changed chan struct{}
	slow    map[identifier.Service]slowness
}

// record is a target with what attempts have shown.
type record struct {
	listing Listing
	// failures counts the failures in a row, and until is the boot clock time at which the suspension ends.
	failures int
	until    time.Duration
	// lapsed is the boot clock time at which a listing that went counts as gone; zero while it is there.
	lapsed time.Duration
	pace   pace
}

// NewRegistrar returns a Registrar that knows the region of each availability zone.
func NewRegistrar(regions map[identifier.Zone]identifier.Region) *Registrar {
	return &Registrar{regions: maps.Clone(regions)}
}

// Put takes over a new or changed listing.
func (r *Registrar) Put(l Listing) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.put(l)
	r.wake()
}

// Remove takes over that a listing went.
func (r *Registrar) Remove(id identifier.Target) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.records, id)
	r.wake()
}

// MarkLapsed takes over that a listing went while the view of the listings was not to be trusted.
func (r *Registrar) MarkLapsed(id identifier.Target, now time.Duration) {
	r.update(id, func(rec record) record {
		if rec.lapsed == 0 {
			rec.lapsed = now + lapseGrace
		}
		return rec
	})
}

// Replace takes over all listings after the view of them was interrupted. Targets that are missing are kept for a
// grace time, because listings lapse while the store is away.
func (r *Registrar) Replace(all []Listing, now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	listed := make(map[identifier.Target]bool, len(all))
	for _, l := range all {
		listed[l.ID] = true
		r.put(l)
	}
	for id, rec := range r.records {
		if !listed[id] && rec.lapsed == 0 {
			rec.lapsed = now + lapseGrace
			r.records[id] = rec
		}
	}
	r.wake()
}

// Expire drops the targets whose grace time is over, and reports whether there were any.
func (r *Registrar) Expire(now time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	dropped := false
	for id, rec := range r.records {
		if rec.lapsed > 0 && rec.lapsed <= now {
			delete(r.records, id)
			dropped = true
		}
	}
	if dropped {
		r.wake()
	}
	return dropped
}

// RecordFailure records that an attempt at a target failed, and suspends the target.
func (r *Registrar) RecordFailure(id identifier.Target, now time.Duration) {
	r.update(id, func(rec record) record {
		rec.until = now + min(firstSuspension<<min(rec.failures, 8), longestSuspension)
		rec.failures++
		return rec
	})
}

// Suspend keeps work off a target for a time without counting a failure.
func (r *Registrar) Suspend(id identifier.Target, until time.Duration) {
	r.update(id, func(rec record) record {
		rec.until = max(rec.until, until)
		return rec
	})
}

// RecordSuccess records that a target answered.
func (r *Registrar) RecordSuccess(id identifier.Target) {
	r.update(id, func(rec record) record {
		rec.failures, rec.until = 0, 0
		return rec
	})
}

// RecordVersion takes over the weight version under which a target answered.
func (r *Registrar) RecordVersion(id identifier.Target, m identifier.Model, v identifier.Version) {
	r.update(id, func(rec record) record {
		if rec.listing.Versions[m] < v {
			rec.listing = rec.listing.WithVersion(m, v)
		}
		return rec
	})
}

// TargetsToAvoid returns the targets of a service that should get no work now: suspended ones, and those whose version of the
// model is below least.
func (r *Registrar) TargetsToAvoid(s identifier.Service, m identifier.Model, least identifier.Version, now time.Duration) []identifier.Target {
	r.lock.Lock()
	defer r.lock.Unlock()
	var avoid []identifier.Target
	for id, rec := range r.records {
		if rec.listing.Service == s && (rec.until > now || least > 0 && rec.listing.Versions[m] < least) {
			avoid = append(avoid, id)
		}
	}
	return avoid
}

// Listings returns the listings of all targets, draining ones included, in order of their identities.
func (r *Registrar) Listings() []Listing {
	r.lock.Lock()
	defer r.lock.Unlock()
	all := make([]Listing, 0, len(r.records))
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		all = append(all, r.records[id].listing)
	}
	return all
}

// Watch returns the view of the targets that take new work and a channel that is closed when it changes.
func (r *Registrar) Watch() (router.View, <-chan struct{}) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	targets := make([]router.Target, 0, len(r.records))
	for _, rec := range r.records {
		if l := rec.listing; !l.Draining {
			targets = append(targets, router.Target{
				ID: l.ID, Service: l.Service, Zone: l.Zone, Region: r.regions[l.Zone], Incarnation: l.Incarnation,
				Address: l.Address, Slots: l.Slots,
			})
		}
	}
	return router.NewView(targets), r.changed
}

// put adds a listing; a new incarnation starts without the failures of the last one.
func (r *Registrar) put(l Listing) {
	if r.records == nil {
		r.records = make(map[identifier.Target]record)
	}
	rec := r.records[l.ID]
	if rec.listing.Incarnation != l.Incarnation {
		rec = record{}
	}
	rec.listing, rec.lapsed = l, 0
	r.records[l.ID] = rec
}

func (r *Registrar) update(id identifier.Target, f func(record) record) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if rec, ok := r.records[id]; ok {
		r.records[id] = f(rec)
	}
}

func (r *Registrar) wake() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
