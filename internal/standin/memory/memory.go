// Package memory is an in-process stand-in for the key-value service. It returns the outcomes of calls without HTTP,
// for tests and benchmarks that run on the manual timer.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/mimosalb/mimosalb/internal/storer"
)

// Fault is the fault of one write.
type Fault int

const (
	// NoFault applies the write and returns its outcome.
	NoFault Fault = iota
	// Down refuses the write as Unavailable, without effect.
	Down
	// Lost applies the write and returns Unknown, as if the answer were lost.
	Lost
	// Delayed returns Unknown and applies the write just before the next one, if its guards still hold then.
	Delayed
)

// Store keeps keys in memory. The zero value is an empty store without faults.
type Store struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]storer.Entry
	// sortedKeys holds the keys of the map in ascending order.
	sortedKeys []string
	down       bool
	fault      func() Fault
	// delayed holds the writes with the fault Delayed until the next write.
	delayed []storer.Transaction
	reads   int
	writes  int
}

// SetDown sets whether the store refuses every call as Unavailable.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetFault sets the function that chooses the fault of each later write. With nil, writes have no fault.
func (s *Store) SetFault(fault func() Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Calls returns the numbers of reads and writes so far. Calls that SetDown refused don't count.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Get returns the entry of key; an entry with Changed zero does not exist.
func (s *Store) Get(_ context.Context, key string) (storer.Entry, storer.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return storer.Entry{Key: key}, storer.Unavailable
	}
	s.reads++
	e := s.keys[key]
	e.Key = key
	return e, storer.Applied
}

// List returns the entries whose keys begin with prefix, in key order.
func (s *Store) List(_ context.Context, prefix string) ([]storer.Entry, storer.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, storer.Unavailable
	}
	s.reads++
	var entries []storer.Entry
	first, _ := slices.BinarySearch(s.sortedKeys, prefix)
	for _, k := range s.sortedKeys[first:] {
		if !strings.HasPrefix(k, prefix) {
			break
		}
		entries = append(entries, s.keys[k])
	}
	return entries, storer.Applied
}

// Commit applies a transaction, subject to the fault that is chosen for it.
func (s *Store) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return storer.Unavailable
	}
	for _, earlier := range s.delayed {
		s.apply(earlier)
	}
	s.delayed = nil
	s.writes++
	fault := NoFault
	if s.fault != nil {
		fault = s.fault()
	}
	switch fault {
	case Down:
		return storer.Unavailable
	case Lost:
		s.apply(t)
		return storer.Unknown
	case Delayed:
		s.delayed = append(s.delayed, t)
		return storer.Unknown
	default:
		return s.apply(t)
	}
}

// apply applies a transaction if its guards hold. The caller holds the lock.
func (s *Store) apply(t storer.Transaction) storer.Outcome {
	for _, g := range t.Guards {
		if s.keys[g.Key].Changed != g.Changed {
			return storer.Conflict
		}
	}
	s.revision++
	if s.keys == nil {
		s.keys = make(map[string]storer.Entry)
	}
	for _, p := range t.Puts {
		if i, ok := slices.BinarySearch(s.sortedKeys, p.Key); !ok {
			s.sortedKeys = slices.Insert(s.sortedKeys, i, p.Key)
		}
		s.keys[p.Key] = storer.Entry{Key: p.Key, Value: slices.Clone(p.Value), Changed: s.revision}
	}
	for _, k := range t.Deletes {
		delete(s.keys, k)
		if i, ok := slices.BinarySearch(s.sortedKeys, k); ok {
			s.sortedKeys = slices.Delete(s.sortedKeys, i, i+1)
		}
	}
	return storer.Applied
}
