package kvclient_test

import (
	"context"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/standin/store"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// start returns a key-value service over HTTP and a Storer that uses it.
func start(c *qt.C) (*store.Store, *storer.Storer) {
	clock := timer.NewSystem()
	c.Cleanup(clock.Close)
	kv := store.NewStore(clock)
	server := httptest.NewServer(kv.Handler())
	c.Cleanup(server.Close)
	return kv, storer.NewStorer(kvclient.NewDriver(server.URL), clock)
}

// Guards against a missed change: one that is written after the first read and before the watch starts.
func TestWatchStartsAtReadRevision(t *testing.T) {
	c := qt.New(t)
	_, s := start(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.Assert(s.CompareAndSwap(ctx, "k", 0, []byte("one"), 0), qt.Equals, storer.Applied)
	first, out := s.Get(ctx, "k")
	c.Assert(out, qt.Equals, storer.Applied)
	c.Assert(s.CompareAndSwap(ctx, "k", first.Changed, []byte("two"), 0), qt.Equals, storer.Applied)
	var seen []string
	s.Watch(ctx, "k", first.Changed, func(e storer.Entry) {
		seen = append(seen, string(e.Value))
		cancel()
	})
	c.Assert(seen, qt.DeepEquals, []string{"two"})
}

// Guards against a conditional read that transfers the value although nothing has changed.
func TestGetIfChangedOmitsKnownValue(t *testing.T) {
	c := qt.New(t)
	_, s := start(c)
	ctx := context.Background()
	c.Assert(s.CompareAndSwap(ctx, "k", 0, []byte("one"), 0), qt.Equals, storer.Applied)
	e, out := s.GetIfChanged(ctx, "k", 0)
	c.Assert(out, qt.Equals, storer.Applied)
	c.Assert(string(e.Value), qt.Equals, "one")
	e, out = s.GetIfChanged(ctx, "k", e.Changed)
	c.Assert(out, qt.Equals, storer.Applied)
	c.Assert(e.Changed, qt.Equals, int64(0))
}

// Guards against a write that is reported as failed, or repeated, although it took effect and only its reply was lost.
func TestReplyLostAfterWrite(t *testing.T) {
	c := qt.New(t)
	kv, s := start(c)
	kv.Switches.Set(switcher.Switches{Lose: 1})
	c.Assert(s.CompareAndSwap(context.Background(), "k", 0, []byte("one"), 0), qt.Equals, storer.Applied)
	_, writes := kv.Calls()
	c.Assert(writes, qt.Equals, int64(1))
}
