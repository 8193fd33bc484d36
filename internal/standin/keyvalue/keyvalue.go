// Package keyvalue is a stand-in for a key-value service with revisions, leases and a history of changes. It can lose
// answers, apply writes late, drop the history and refuse calls.
package keyvalue

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Service is a key-value service in memory. It implements storer.Driver and storer.Feed.
type Service struct {
	clock timer.Service

	mutex    sync.Mutex
	revision int64
	// compacted is the revision of the last Compact. The history holds the changes after it.
	compacted int64
	items     map[string]item
	leases    map[storer.Lease]lease
	history   []storer.Change
	// changed is closed and replaced when the waiting Changes calls have to check the history again.
	changed chan struct{}
	faults  Faults
	// delayed holds the writes that wait for ApplyDelayed.
	delayed []storer.Transaction
	writes  int
}

// Faults are the failure switches.
type Faults struct {
	// Down refuses every call.
	Down bool
	// LostAnswers is the number of writes whose answers are lost after they took effect.
	LostAnswers int
	// DelayedWrites is the number of writes that get no answer and are applied only by ApplyDelayed.
	DelayedWrites int
	// WriteTime is the time that each write waits before it is applied.
	WriteTime time.Duration
}

type item struct {
	storer.Entry
	lease storer.Lease
}

type lease struct {
	ttl time.Duration
	// expiresAt is a time of the monotonic clock.
	expiresAt time.Duration
}

// NewService returns an empty service.
func NewService(clock timer.Service) *Service {
	return &Service{
		clock: clock, revision: 1, items: make(map[string]item), leases: make(map[storer.Lease]lease), changed: make(chan struct{}),
	}
}

// Set sets the failure switches.
func (s *Service) Set(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
}

// ApplyDelayed applies the delayed writes whose guards still hold.
func (s *Service) ApplyDelayed() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, t := range s.delayed {
		s.apply(t)
	}
	s.delayed = nil
}

// Compact drops the history, so that watches from earlier revisions fail and need a new snapshot.
func (s *Service) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notifyWatchers()
}

// Writes returns the number of transactions that took effect.
func (s *Service) Writes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writes
}

// Write sets a key without guards, as another client would.
func (s *Service) Write(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(storer.Put{Key: key, Value: value})
	s.notifyWatchers()
}

// Remove deletes a key without guards, as another client would.
func (s *Service) Remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(key)
	s.notifyWatchers()
}

// Get returns the entry of key; an entry with Changed zero does not exist.
func (s *Service) Get(_ context.Context, key string) (storer.Entry, storer.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return storer.Entry{}, storer.Unavailable
	}
	s.expire()
	e := s.items[key].Entry
	e.Key = key
	return e, storer.Applied
}

// GetIfChanged returns the entry of key if it was changed after the given revision.
func (s *Service) GetIfChanged(ctx context.Context, key string, after int64) (storer.Entry, storer.Outcome) {
	e, out := s.Get(ctx, key)
	if e.Changed <= after {
		e = storer.Entry{Key: key}
	}
	return e, out
}

// List returns the entries whose keys begin with prefix, in key order.
func (s *Service) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome) {
	entries, _, out := s.Snapshot(ctx, prefix)
	return entries, out
}

// Snapshot returns the entries whose keys begin with prefix, in key order, and the current revision.
func (s *Service) Snapshot(_ context.Context, prefix string) ([]storer.Entry, int64, storer.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return nil, 0, storer.Unavailable
	}
	s.expire()
	var entries []storer.Entry
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, i.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries, s.revision, storer.Applied
}

// leaseCheckPeriod is the period at which a waiting Changes call checks for expired leases.
const leaseCheckPeriod = 50 * time.Millisecond

// Changes waits up to wait for changes after a revision of keys that begin with prefix, and returns them and the
// revision up to which they are complete. The outcome is Conflict if the history does not reach back to after.
func (s *Service) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, storer.Outcome) {
	timeout := s.clock.After(wait)
	defer timeout.Stop()
	ticks := s.clock.Every(leaseCheckPeriod)
	defer ticks.Stop()
	for {
		found, revision, out, changed := s.changesAfter(prefix, after)
		if out != storer.Applied || len(found) > 0 {
			return found, revision, out
		}
		select {
		case <-changed:
		case <-ticks.C():
		case <-timeout.C():
			return nil, revision, storer.Applied
		case <-ctx.Done():
			return nil, 0, storer.Unavailable
		}
	}
}

// changesAfter returns the changes after a revision without waiting, and the channel that closes at the next change.
func (s *Service) changesAfter(prefix string, after int64) ([]storer.Change, int64, storer.Outcome, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return nil, 0, storer.Unavailable, nil
	}
	s.expire()
	if after < s.compacted {
		return nil, 0, storer.Conflict, nil
	}
	var found []storer.Change
	for _, c := range s.history {
		if c.Changed > after && strings.HasPrefix(c.Key, prefix) {
			found = append(found, c)
		}
	}
	return found, s.revision, storer.Applied, s.changed
}

// Commit applies a transaction, subject to the faults that Set has set.
func (s *Service) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	s.mutex.Lock()
	duration := s.faults.WriteTime
	s.mutex.Unlock()
	if duration > 0 {
		delay := s.clock.After(duration)
		defer delay.Stop()
		select {
		case <-delay.C():
		case <-ctx.Done():
			return storer.Unknown
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.faults.Down:
		return storer.Unavailable
	case s.faults.DelayedWrites > 0:
		s.faults.DelayedWrites--
		s.delayed = append(s.delayed, t)
		return storer.Unknown
	}
	out := s.apply(t)
	if s.faults.LostAnswers > 0 {
		s.faults.LostAnswers--
		return storer.Unknown
	}
	return out
}

// apply applies a transaction if its guards hold and its leases exist. The caller holds the lock.
func (s *Service) apply(t storer.Transaction) storer.Outcome {
	s.expire()
	for _, g := range t.Guards {
		if s.items[g.Key].Changed != g.Changed {
			return storer.Conflict
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return storer.Conflict
		}
	}
	for _, p := range t.Puts {
		s.put(p)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.writes++
	s.notifyWatchers()
	return storer.Applied
}

func (s *Service) put(p storer.Put) {
	s.revision++
	e := storer.Entry{Key: p.Key, Value: slices.Clone(p.Value), Changed: s.revision}
	s.items[p.Key] = item{Entry: e, lease: p.Lease}
	s.history = append(s.history, storer.Change{Entry: e})
}

func (s *Service) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, storer.Change{Entry: storer.Entry{Key: key, Changed: s.revision}, Removed: true})
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (s *Service) Grant(_ context.Context, ttl time.Duration) (storer.Lease, storer.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return 0, storer.Unavailable
	}
	s.revision++
	id := storer.Lease(s.revision)
	s.leases[id] = lease{ttl: ttl, expiresAt: s.clock.Monotonic() + ttl}
	return id, storer.Applied
}

// KeepAlive renews a lease. The outcome is Conflict if the lease does not exist or has expired.
func (s *Service) KeepAlive(_ context.Context, id storer.Lease) storer.Outcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return storer.Unavailable
	}
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return storer.Conflict
	}
	l.expiresAt = s.clock.Monotonic() + l.ttl
	s.leases[id] = l
	return storer.Applied
}

// Revoke ends a lease and deletes its keys.
func (s *Service) Revoke(_ context.Context, id storer.Lease) storer.Outcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return storer.Unavailable
	}
	s.endLease(id)
	s.notifyWatchers()
	return storer.Applied
}

// watchWait is the time for which one call of Changes by Watch waits for a change.
const watchWait = time.Second

// Watch calls changed for each change after the given revision of keys that begin with key. It returns when
// Changes fails.
func (s *Service) Watch(ctx context.Context, key string, after int64, changed func(storer.Entry)) storer.Outcome {
	for {
		found, revision, out := s.Changes(ctx, key, after, watchWait)
		if out != storer.Applied {
			return out
		}
		for _, c := range found {
			changed(c.Entry)
		}
		after = revision
	}
}

// expire ends the leases that have expired. The caller holds the lock.
func (s *Service) expire() {
	now := s.clock.Monotonic()
	for id, l := range s.leases {
		if now >= l.expiresAt {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and the keys that are bound to it. The caller holds the lock.
func (s *Service) endLease(id storer.Lease) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.lease == id && id != 0 {
			s.remove(key)
		}
	}
}

// notifyWatchers wakes the waiting Changes calls. The caller holds the lock.
func (s *Service) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
