package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/pacer"
	"github.com/mimosalb/mimosalb/internal/router"
)

const (
	// minSuspension is how long a target gets no requests after a failure; it doubles with each consecutive failure.
	minSuspension = 500 * time.Millisecond
	// maxDoublings bounds how often minSuspension is doubled; maxSuspension is reached before.
	maxDoublings = 8
	// maxSuspension bounds the suspension, so that a target that has recovered gets requests again within that time.
	maxSuspension = 4 * time.Second
)

// Registrar is the table of targets of one process. The zero value is empty and knows no regions.
//
// Invariants: no view contains a draining, leaving, contradictory or removed target, nor one in an evacuated zone; each suspension
// ends. Lock rank: container.RankRegistrar.
type Registrar struct {
	lock        container.Lock[container.Registrar]
	records     map[identifier.Target]record
	regions     map[identifier.Zone]identifier.Region
	changed     chan struct{}
	comparisons map[identifier.Service]comparison
	paces       map[identifier.Service]pacer.Pace
	departures  *Departures
	evacuator   *evacuator.Evacuator
}

// record is a target with the results of attempts at it.
type record struct {
	listing Listing
	// failures is the number of consecutive failures, suspendedUntil the monotonic time at which the suspension ends.
	failures       int
	suspendedUntil time.Duration
	// expiresAt is the monotonic time from which a target without a listing is dropped; zero while it has one.
	expiresAt time.Duration
	// intervals are the latest times between two events, firsts those to the first event of an attempt.
	intervals, firsts eventIntervals
	// contradictory is set once listings of one start have named several releases, so that the running one is not known.
	contradictory bool
	// unconfirmed is set after a failed attempt, until the target confirms the start that its listing names. confirmed is when
	// it was last asked for its start and confirmed it; zero if it never was.
	unconfirmed bool
	confirmed   time.Time
}

// NewRegistrar returns an empty Registrar with the region of each availability zone.
func NewRegistrar(regions map[identifier.Zone]identifier.Region) *Registrar {
	return &Registrar{regions: maps.Clone(regions)}
}

// WithDepartures makes r leave the targets in d out of its views, and returns r.
func (r *Registrar) WithDepartures(d *Departures) *Registrar {
	r.departures = d
	return r
}

// Put adds or replaces a listing. It returns the listing of the incarnation that the target had before, if that is another.
func (r *Registrar) Put(l Listing) []Listing {
	r.lock.Lock()
	defer r.lock.Unlock()
	defer r.notify()
	return r.put(l)
}

// Remove removes a target whose listing was removed. It returns its last listing, if there was one.
func (r *Registrar) Remove(id identifier.Target) []Listing {
	r.lock.Lock()
	defer r.lock.Unlock()
	defer r.notify()
	rec, listed := r.records[id]
	if !listed {
		return nil
	}
	delete(r.records, id)
	return []Listing{rec.listing}
}

// MarkLapsed handles the removal of a listing whose lease may have expired only because the store was unavailable. The
// target is kept until the monotonic time end.
func (r *Registrar) MarkLapsed(id identifier.Target, end time.Duration) {
	r.update(id, func(rec record) record {
		if rec.expiresAt == 0 {
			rec.expiresAt = end
		}
		return rec
	})
}

// Replace makes all listings the contents of the table. It returns the listings of incarnations that have ended, and which
// targets are no longer listed.
func (r *Registrar) Replace(all []Listing) (ended []Listing, removed []identifier.Target) {
	r.lock.Lock()
	defer r.lock.Unlock()
	defer r.notify()
	ended = r.putAll(all)
	removed = r.unlisted(all)
	for _, id := range removed {
		ended = append(ended, r.records[id].listing)
		delete(r.records, id)
	}
	return ended, removed
}

// ReplaceAfterOutage puts all listings into the table after an outage of the store. Targets without a listing are kept until the
// monotonic time end, because the leases of listings expire while the store is away. It returns the listings of incarnations that
// were replaced by others.
func (r *Registrar) ReplaceAfterOutage(all []Listing, end time.Duration) []Listing {
	r.lock.Lock()
	defer r.lock.Unlock()
	defer r.notify()
	replaced := r.putAll(all)
	for _, id := range r.unlisted(all) {
		if rec := r.records[id]; rec.expiresAt == 0 {
			rec.expiresAt = end
			r.records[id] = rec
		}
	}
	return replaced
}

// putAll adds or replaces listings and returns those of the incarnations that were replaced. The caller holds the lock.
func (r *Registrar) putAll(all []Listing) []Listing {
	replaced := make([]Listing, 0, len(all))
	for _, l := range all {
		replaced = append(replaced, r.put(l)...)
	}
	return replaced
}

// unlisted returns the targets that are not among the listings, in order of their IDs. The caller holds the lock.
func (r *Registrar) unlisted(all []Listing) []identifier.Target {
	listed := make(map[identifier.Target]bool, len(all))
	for _, l := range all {
		listed[l.ID] = true
	}
	var missing []identifier.Target
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// Expire drops the targets whose grace period is over, and returns their last listings.
func (r *Registrar) Expire(now time.Duration) []Listing {
	r.lock.Lock()
	defer r.lock.Unlock()
	var dropped []Listing
	for id, rec := range r.records {
		if rec.expiresAt > 0 && rec.expiresAt <= now {
			delete(r.records, id)
			dropped = append(dropped, rec.listing)
		}
	}
	r.departures.forget(now, func(id identifier.Target) bool { return r.records[id].listing.ID == id })
	if len(dropped) > 0 {
		r.notify()
	}
	return dropped
}

// RecordFailure records that an attempt at a target failed, and suspends the target.
func (r *Registrar) RecordFailure(id identifier.Target, now time.Duration) {
	r.update(id, func(rec record) record {
		rec.suspendedUntil = now + min(minSuspension<<min(rec.failures, maxDoublings), maxSuspension)
		rec.failures++
		rec.unconfirmed = true
		return rec
	})
}

// Suspend suspends a target until the given monotonic time without counting a failure.
func (r *Registrar) Suspend(id identifier.Target, deadline time.Duration) {
	r.update(id, func(rec record) record {
		rec.suspendedUntil = max(rec.suspendedUntil, deadline)
		return rec
	})
}

// RecordSuccess records that a target answered, and ends its suspension.
func (r *Registrar) RecordSuccess(id identifier.Target) {
	r.update(id, func(rec record) record {
		rec.failures, rec.suspendedUntil = 0, 0
		return rec
	})
}

// Unconfirmed reports whether an attempt at a target has failed since the target last confirmed its start. It may have restarted
// under its ID with other software before its new listing was read.
func (r *Registrar) Unconfirmed(id identifier.Target) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.records[id].unconfirmed
}

// Confirm records that the start of a target which its listing names serves, by an answer to a question of the given time.
func (r *Registrar) Confirm(id identifier.Target, asked time.Time) {
	r.update(id, func(rec record) record {
		rec.unconfirmed = false
		if asked.After(rec.confirmed) {
			rec.confirmed = asked
		}
		return rec
	})
}

// ConfirmedSince reports whether a target was asked for its start at the given time or later, and confirmed the listed one. It is
// false for the zero time.
func (r *Registrar) ConfirmedSince(id identifier.Target, since time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return !since.IsZero() && !r.records[id].confirmed.Before(since)
}

// RecordVersion records the weight version with which a target answered. It ignores versions below the known one.
func (r *Registrar) RecordVersion(id identifier.Target, m identifier.Model, v identifier.Version) {
	r.update(id, func(rec record) record {
		if rec.listing.Versions[m] < v {
			rec.listing = rec.listing.WithVersion(m, v)
		}
		return rec
	})
}

// TargetsToAvoid returns the targets of a service that should get no requests now: suspended ones, and those whose
// version of the model is below minVersion.
func (r *Registrar) TargetsToAvoid(s identifier.Service, m identifier.Model, minVersion identifier.Version, now time.Duration) []identifier.Target {
	r.lock.Lock()
	defer r.lock.Unlock()
	var avoid []identifier.Target
	for id, rec := range r.records {
		if rec.listing.Service == s && (rec.suspendedUntil > now || minVersion > 0 && rec.listing.Versions[m] < minVersion) {
			avoid = append(avoid, id)
		}
	}
	return avoid
}

// Listings returns the listings of all targets, including draining ones, in order of their IDs. Those in evacuated zones are listed as
// draining.
func (r *Registrar) Listings() []Listing {
	all := r.Listed()
	for i, l := range all {
		all[i] = r.markEvacuated(l)
	}
	return all
}

// Listed returns the listings of all targets as they were read, in order of their IDs.
func (r *Registrar) Listed() []Listing {
	r.lock.Lock()
	defer r.lock.Unlock()
	all := make([]Listing, 0, len(r.records))
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		all = append(all, r.records[id].listing)
	}
	return all
}

// Watch returns a view of the targets that neither drain nor said that they leave, whose zones are not evacuated and whose listings
// agree on their release, and a channel that is closed when a listing changes.
func (r *Registrar) Watch() (router.View, <-chan struct{}) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	targets := make([]router.Target, 0, len(r.records))
	for _, rec := range r.records {
		if l := rec.listing; r.accepts(rec) && !r.evacuator.Evacuated(l.Zone) {
			targets = append(targets, r.target(l))
		}
	}
	return router.NewView(targets), r.changed
}

// target returns the target of a listing.
func (r *Registrar) target(l Listing) router.Target {
	return router.Target{
		ID: l.ID, Service: l.Service, Zone: l.Zone, Region: r.regions[l.Zone], Incarnation: l.Incarnation,
		Address: l.Address, Slots: l.Slots, Release: l.Release,
	}
}

// put adds or replaces a listing. A new incarnation starts without the failures of the previous one, whose listing is
// returned.
func (r *Registrar) put(l Listing) []Listing {
	if r.records == nil {
		r.records = make(map[identifier.Target]record)
	}
	rec, listed := r.records[l.ID]
	var replaced []Listing
	if rec.listing.Incarnation != l.Incarnation {
		if listed {
			replaced = []Listing{rec.listing}
		}
		rec = record{}
	}
	rec.contradictory = rec.contradictory || listed && len(replaced) == 0 && rec.listing.Release != l.Release
	rec.listing, rec.expiresAt = l, 0
	r.records[l.ID] = rec
	return replaced
}

// Contradictory reports whether listings of the present start of a target have named several releases.
func (r *Registrar) Contradictory(id identifier.Target) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.records[id].contradictory
}

func (r *Registrar) update(id identifier.Target, f func(record) record) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if rec, ok := r.records[id]; ok {
		r.records[id] = f(rec)
	}
}

func (r *Registrar) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
