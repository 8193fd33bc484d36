// Package memory is a stand-in for the key-value service within one process: the outcomes of calls without HTTP, for
// tests and benchmarks that run on the manual timer.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/mimosalb/mimosalb/internal/storer"
)

// Fault is what happens to one write.
type Fault int

const (
	// NoFault lets the write take effect.
	NoFault Fault = iota
	// Down refuses the write.
	Down
	// Lost applies the write and loses the answer.
	Lost
	// Late loses the answer and applies the write, if its guards still hold, just before the next write.
	Late
)

// Store keeps keys in memory. The zero value is an empty store without faults.
type Store struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]storer.Entry
	// order holds the keys in order.
	order  []string
	down   bool
	fault  func() Fault
	late   []storer.Transaction
	reads  int
	writes int
}

// SetDown makes the store refuse every call, or not.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetFault sets what happens to each write from now on; nil is no fault.
func (s *Store) SetFault(fault func() Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Calls returns how many reads and writes the store has taken.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Get returns the entry of key.
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
	first, _ := slices.BinarySearch(s.order, prefix)
	for _, k := range s.order[first:] {
		if !strings.HasPrefix(k, prefix) {
			break
		}
		entries = append(entries, s.keys[k])
	}
	return entries, storer.Applied
}

// Commit applies a transaction.
func (s *Store) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return storer.Unavailable
	}
	for _, old := range s.late {
		s.apply(old)
	}
	s.late = nil
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
	case Late:
		s.late = append(s.late, t)
		return storer.Unknown
	default:
		return s.apply(t)
	}
}

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
		if i, ok := slices.BinarySearch(s.order, p.Key); !ok {
			s.order = slices.Insert(s.order, i, p.Key)
		}
		s.keys[p.Key] = storer.Entry{Key: p.Key, Value: slices.Clone(p.Value), Changed: s.revision}
	}
	for _, k := range t.Deletes {
		delete(s.keys, k)
		if i, ok := slices.BinarySearch(s.order, k); ok {
			s.order = slices.Delete(s.order, i, i+1)
		}
	}
	return storer.Applied
}
