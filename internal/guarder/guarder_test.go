package guarder_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/guarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// fixture is a Guarder in stepped time.
type fixture struct {
	*guarder.Guarder
	clock *timer.Manual
	out   strings.Builder
}

func newFixture(t *testing.T, connections int, memory identifier.Bytes) *fixture {
	clock := &timer.Manual{}
	f := &fixture{clock: clock}
	f.Guarder = guarder.NewGuarder("test", guarder.NewCallerLimits(0, 0).WithConnections(connections).WithMemory(memory), clock, nil)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return f
}

// open opens a connection that writes down when it is cut, and then closes its account as a server does.
func (f *fixture) open(name, client string) *guarder.Account {
	var a *guarder.Account
	a, ok := f.Open(client, func() {
		fmt.Fprintf(&f.out, "%v: %s cut\n", f.clock.Monotonic(), name)
		a.Close()
	})
	fmt.Fprintf(&f.out, "%v: %s open=%v\n", f.clock.Monotonic(), name, ok)
	a.Await(true)
	return a
}

// advance lets time pass without a tick of Run in between.
func (f *fixture) advance(d time.Duration) { f.clock.Advance(d) }

// Guards against room that goes to whoever came first: the latest connection without progress makes room, before an idle one
// that may be reused and never one that works on a request; and against a client that takes all.
func TestWhoMakesRoom(t *testing.T) {
	f := newFixture(t, 5, 1<<20)
	working, idle, slow, stalled := f.open("working", "a"), f.open("idle", "a"), f.open("slow", "b"), f.open("stalled", "b")
	f.open("silent", "c")
	working.Know()
	working.Enter(guarder.Working)
	idle.Know()
	idle.Enter(guarder.Idle)
	stalled.Progress(1000)
	f.advance(200 * time.Millisecond)
	slow.Progress(100_000)
	f.open("takes the place of the silent one", "d").Enter(guarder.Working)
	f.advance(400 * time.Millisecond)
	slow.Progress(100_000)
	f.open("takes the place of the stalled one", "d").Enter(guarder.Working)
	slow.Wrote(false)
	f.advance(400 * time.Millisecond)
	f.open("takes the place of the one that reads nothing", "d").Enter(guarder.Working)
	f.advance(12 * time.Second)
	f.open("takes the place of the idle one", "d").Enter(guarder.Reading)
	goldie.New(t).Assert(t, "room", []byte(f.out.String()))
}

// Guards against one client that takes all room with connections that each make progress, so that others get none.
func TestShareOfOneClient(t *testing.T) {
	f := newFixture(t, 4, 1<<20)
	for i := range 4 {
		f.open(fmt.Sprint("many ", i), "a")
		f.advance(10 * time.Millisecond)
	}
	f.open("another client", "b")
	goldie.New(t).Assert(t, "share", []byte(f.out.String()))
}

// Guards against memory that is granted twice, or not again after it was returned, and against a single large request that is
// refused although there is nothing else.
func TestMemory(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, 5, 1000)
	a, b := f.open("a", "a"), f.open("b", "b")
	c.Assert(a.Reserve(5000), qt.IsTrue)
	a.Enter(guarder.Working)
	granted := make(chan bool)
	go func() { granted <- b.Reserve(600) }()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for f.clock.Subscribers() < 2 { // Run has noticed that b waits
		<-poll.C
	}
	a.Release(5000)
	c.Assert(<-granted, qt.IsTrue)
	c.Assert(f.State().Held, qt.Equals, identifier.Bytes(600))
	b.Enter(guarder.Working)
	go func() { granted <- a.Reserve(600) }()
	var ok, done bool
	for !done {
		select {
		case ok = <-granted:
			done = true
		case <-poll.C:
			f.advance(100 * time.Millisecond)
		}
	}
	c.Assert(ok, qt.IsFalse)
	c.Assert(f.State().Refused, qt.Equals, int64(1))
	a.Close()
	a.Release(100)
	b.Close()
	c.Assert(f.State().Held, qt.Equals, identifier.Bytes(0))
	c.Assert(f.State().Connections, qt.Equals, 0)
}

// Guards against connections that are kept for ever although nothing comes or is taken, and against a stream or a long poll that is
// closed because it takes long.
func TestOverdue(t *testing.T) {
	f := newFixture(t, 10, 1<<20)
	f.open("silent", "a")
	f.open("not waited for", "a").Await(false)
	f.open("long poll", "a").Enter(guarder.Working)
	idle := f.open("idle", "a")
	idle.Enter(guarder.Idle)
	unread := f.open("answer not read", "a")
	unread.Enter(guarder.Working)
	stream := f.open("stream", "a")
	stream.Enter(guarder.Working)
	for i := range 8 {
		if i == 1 {
			unread.Wrote(false)
		}
		stream.Wrote(false)
		f.advance(5 * time.Second)
		f.Tick()
	}
	goldie.New(t).Assert(t, "overdue", []byte(f.out.String()))
}

// Guards against limits that a machine of a documented size exceeds, or that leave a small one nothing.
func TestLimits(t *testing.T) {
	var out strings.Builder
	for _, m := range []struct {
		memory      identifier.Bytes
		descriptors int
	}{{0, 0}, {1 << 20, 300}, {96 << 20, 1400}, {184 << 20, 4100}, {536 << 20, 10250}, {1 << 30, 4100}} {
		callers, checks, peers := guarder.NewCallerLimits(m.memory, m.descriptors), guarder.NewCheckLimits(m.memory), guarder.NewPeerLimits(m.memory)
		fmt.Fprintf(&out, "%4d MiB %5d descriptors: callers %4d %8d, checks %4d %8d, peers %4d %8d\n", m.memory>>20, m.descriptors,
			callers.Connections, callers.Memory, checks.Connections, checks.Memory, peers.Connections, peers.Memory)
	}
	goldie.New(t).Assert(t, "limits", []byte(out.String()))
}
