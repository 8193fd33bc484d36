package collector_test

import (
	"context"
	"slices"
	"strings"

	"github.com/mimosalb/mimosalb/internal/storer"
)

// fakeStore is an in-memory key-value store. before is called ahead of each commit and returns its fault; read returns
// false when a read is to fail.
type fakeStore struct {
	rows     map[string]storer.Entry
	revision int64
	commits  int
	before   func() fault
	read     func() bool
}

// fault is the way in which a commit fails.
type fault int

const (
	noFault fault = iota
	// refusedFault means that the commit has no effect.
	refusedFault
	// lostFault means that the commit takes effect and its answer is lost.
	lostFault
	// droppedFault means that the commit is lost before it reaches the store.
	droppedFault
)

func newFakeStore() *fakeStore {
	return &fakeStore{rows: make(map[string]storer.Entry), before: func() fault { return noFault }, read: func() bool { return true }}
}

func (s *fakeStore) Get(_ context.Context, key string) (storer.Entry, storer.Outcome) {
	if !s.read() {
		return storer.Entry{}, storer.Unavailable
	}
	return s.rows[key], storer.Applied
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]storer.Entry, storer.Outcome) {
	if !s.read() {
		return nil, storer.Unavailable
	}
	var all []storer.Entry
	for k, e := range s.rows {
		if strings.HasPrefix(k, prefix) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) })
	return all, storer.Applied
}

func (s *fakeStore) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	f := s.before()
	switch f {
	case refusedFault:
		return storer.Unavailable
	case droppedFault:
		return storer.Unknown
	default:
	}
	for _, g := range t.Guards {
		if s.rows[g.Key].Changed != g.Changed {
			if f == lostFault {
				return storer.Unknown
			}
			return storer.Conflict
		}
	}
	s.revision++
	s.commits++
	for _, k := range t.Deletes {
		delete(s.rows, k)
	}
	for _, p := range t.Puts {
		s.rows[p.Key] = storer.Entry{Key: p.Key, Value: slices.Clone(p.Value), Changed: s.revision}
	}
	if f == lostFault {
		return storer.Unknown
	}
	return storer.Applied
}
