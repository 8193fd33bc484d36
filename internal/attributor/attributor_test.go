package attributor_test

import (
	"context"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/attributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// fakeStore is an attributor.Archive and an attributor.Peer in memory.
type fakeStore struct {
	lock  sync.Mutex
	down  bool
	all   []attributor.Attribution
	reads int
}

func (s *fakeStore) Save(_ context.Context, all []attributor.Attribution) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.down {
		s.all = append(s.all, all...)
	}
	return !s.down
}

func (s *fakeStore) Read(context.Context, int) ([]attributor.Attribution, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.reads++
	return s.all, !s.down
}

// attributorID names a stream.
type attributorID struct {
	team    identifier.Team
	request identifier.Request
}

// noPeer is the attributor.Peer of a process that has none.
type noPeer struct{}

func (noPeer) Save(context.Context, []attributor.Attribution) bool { return false }

func (noPeer) Find(context.Context, attributor.Key) (attributor.Origin, bool) {
	return attributor.Origin{}, false
}

// start runs an Attributor on a store until the test ends.
func start(t *testing.T, s *fakeStore) *attributor.Attributor {
	a := attributor.NewAttributor(s, noPeer{}, timer.NewSystem())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { a.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return a
}

// Guards against a stream that is continued as that of another team, or of one of two origins that were recorded for it, and
// against origins that are lost while the store is away or with the process that recorded them.
func TestOrigins(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	store := &fakeStore{down: true}
	a := start(t, store)
	one, two := attributor.Origin{Service: "s", Release: "1"}, attributor.Origin{Service: "s", Release: "2"}
	a.Record("team", "r1", one)
	a.Record("team", "r2", one)
	a.Record("team", "r2", two)
	c.Assert(a.RecordDurably(ctx, "team", "r3", two), qt.IsFalse)
	origin, ok := a.Lookup(ctx, "team", "r1")
	c.Assert(origin, qt.Equals, one)
	c.Assert(ok, qt.IsTrue)
	for _, id := range []attributorID{{"team", "r2"}, {"other", "r1"}, {"team", "none"}} {
		_, ok = a.Lookup(ctx, id.team, id.request)
		c.Assert(ok, qt.IsFalse, qt.Commentf("%v", id))
	}

	store.lock.Lock()
	store.down = false
	store.lock.Unlock()
	c.Assert(a.RecordDurably(ctx, "team", "r4", two), qt.IsTrue)
	later := start(t, store)
	for id, want := range map[attributorID]attributor.Origin{{"team", "r1"}: one, {"team", "r3"}: two, {"team", "r4"}: two, {"team", "r2"}: {}} {
		origin, ok = later.Lookup(ctx, id.team, id.request)
		c.Assert(origin, qt.Equals, want, qt.Commentf("%v", id))
		c.Assert(ok, qt.Equals, want != attributor.Origin{})
	}
}

// Guards against a read of the store for each of the streams that are taken up at once after a loss of all processes.
func TestShardsAreReadOnce(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	key := attributor.NewKey("team", "r1")
	store.all = []attributor.Attribution{{Key: key, Origin: attributor.Origin{Service: "s", Release: "1"}}}
	a := start(t, store)
	var lookups sync.WaitGroup
	for range 50 {
		lookups.Go(func() {
			_, ok := a.Lookup(context.Background(), "team", "r1")
			c.Check(ok, qt.IsTrue)
		})
	}
	lookups.Wait()
	c.Assert(store.reads, qt.Equals, 1)
}
