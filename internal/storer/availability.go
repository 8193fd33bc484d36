package storer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Availability knows from the calls of this process whether the key-value service was away for so long that leases may have
// expired for that reason alone. A nil Availability knows of no outage.
//
// Invariant: a call that breaks off while others are answered is no outage. Lock rank: container.RankStorer.
type Availability struct {
	lock  container.Lock[container.Storer]
	clock timer.Service
	// minOutage is the shortest outage in which a lease can expire.
	minOutage time.Duration
	// answered is the monotonic time of the last answer. failing is set while a call after it has none, and failingSince is
	// when the first such call began.
	answered     time.Duration
	failing      bool
	failingSince time.Duration
	// restored is the monotonic time at which the last outage ended; it is valid if wasAway is set.
	wasAway  bool
	restored time.Duration
}

// NewAvailability returns an Availability that counts what is shorter than minOutage as no outage.
func NewAvailability(clock timer.Service, minOutage time.Duration) *Availability {
	return &Availability{clock: clock, minOutage: minOutage}
}

// ReturnEnd returns the monotonic time until which keys whose leases expired in an outage may return, which they do within span of
// its end. While the service is away, that is span from now. The second result is false if there was no outage so recently.
func (a *Availability) ReturnEnd(span time.Duration) (time.Duration, bool) {
	if a == nil {
		return 0, false
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	now := a.clock.Monotonic()
	switch {
	case a.away(now):
		return now + span, true
	case a.wasAway && now-a.restored < span:
		return a.restored + span, true
	default:
		return 0, false
	}
}

// answerGrace is the time without an answer after which a call does not count as one that is merely under way. A slow service answers
// sooner.
const answerGrace = 300 * time.Millisecond

// AnsweredWithin reports whether the service answered a call within the given time before now, and none has waited long since.
func (a *Availability) AnsweredWithin(span time.Duration) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	now := a.clock.Monotonic()
	return a.answered > 0 && now-a.answered < span && (!a.failing || now-a.failingSince < answerGrace)
}

// away reports whether calls have had no answer for minOutage. The caller holds the lock.
func (a *Availability) away(now time.Duration) bool {
	return a.failing && now-a.failingSince >= a.minOutage
}

// Begin records that a call begins and returns its monotonic time.
func (a *Availability) Begin() time.Duration {
	a.lock.Lock()
	defer a.lock.Unlock()
	now := a.clock.Monotonic()
	a.fail(now)
	return now
}

// fail records that a call that began at a time has no answer. The caller holds the lock.
func (a *Availability) fail(began time.Duration) {
	if !a.failing {
		a.failing, a.failingSince = true, max(began, a.answered)
	}
}

// End records the outcome of a call that began at a time. For a call that waited for a change, that is the time at which it
// broke off.
func (a *Availability) End(began time.Duration, out Outcome) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if out != Applied && out != Conflict {
		a.fail(began)
		return
	}
	now := a.clock.Monotonic()
	if a.away(now) {
		a.wasAway, a.restored = true, now
	}
	a.failing, a.answered = false, now
}

// Service is a key-value service that is read, written and followed.
type Service interface {
	Driver
	Feed
}

// Observe returns a Service that records the outcome of each call to s in a.
func Observe(s Service, a *Availability) Service { return observed{Service: s, availability: a} }

// observed is a Service that records its calls in an Availability.
type observed struct {
	Service
	availability *Availability
}

// record runs one call that does not wait for changes.
func record[T any](a *Availability, call func() (T, Outcome)) (T, Outcome) {
	began := a.Begin()
	value, out := call()
	a.End(began, out)
	return value, out
}

// recordOutcome is record for a call without a value.
func recordOutcome(a *Availability, call func() Outcome) Outcome {
	_, out := record(a, func() (struct{}, Outcome) { return struct{}{}, call() })
	return out
}

func (o observed) Get(ctx context.Context, key string) (Entry, Outcome) {
	return record(o.availability, func() (Entry, Outcome) { return o.Service.Get(ctx, key) })
}

// GetStale reads as Get does if the service has no cheaper read.
func (o observed) GetStale(ctx context.Context, key string) (Entry, Outcome) {
	reader, ok := o.Service.(StaleReader)
	if !ok {
		return o.Get(ctx, key)
	}
	return record(o.availability, func() (Entry, Outcome) { return reader.GetStale(ctx, key) })
}

func (o observed) GetIfChanged(ctx context.Context, key string, after int64) (Entry, Outcome) {
	return record(o.availability, func() (Entry, Outcome) { return o.Service.GetIfChanged(ctx, key, after) })
}

func (o observed) List(ctx context.Context, prefix string) ([]Entry, Outcome) {
	return record(o.availability, func() ([]Entry, Outcome) { return o.Service.List(ctx, prefix) })
}

func (o observed) Commit(ctx context.Context, t Transaction) Outcome {
	return recordOutcome(o.availability, func() Outcome { return o.Service.Commit(ctx, t) })
}

func (o observed) Grant(ctx context.Context, ttl time.Duration) (Lease, Outcome) {
	return record(o.availability, func() (Lease, Outcome) { return o.Service.Grant(ctx, ttl) })
}

func (o observed) KeepAlive(ctx context.Context, l Lease) Outcome {
	return recordOutcome(o.availability, func() Outcome { return o.Service.KeepAlive(ctx, l) })
}

func (o observed) Revoke(ctx context.Context, l Lease) Outcome {
	return recordOutcome(o.availability, func() Outcome { return o.Service.Revoke(ctx, l) })
}

func (o observed) Snapshot(ctx context.Context, prefix string) ([]Entry, int64, Outcome) {
	revision := int64(0)
	entries, out := record(o.availability, func() (entries []Entry, out Outcome) {
		entries, revision, out = o.Service.Snapshot(ctx, prefix)
		return entries, out
	})
	return entries, revision, out
}

func (o observed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, Outcome) {
	changes, revision, out := o.Service.Changes(ctx, prefix, after, wait)
	o.availability.End(o.availability.clock.Monotonic(), out)
	return changes, revision, out
}
