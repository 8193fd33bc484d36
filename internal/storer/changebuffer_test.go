package storer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

func change(key string, revision int64) storer.Change {
	return storer.Change{Entry: storer.Entry{Key: key, Value: []byte(key), Changed: revision}}
}

// Guards against readers that miss a change of a buffer, against a buffer that reports no changes although its last
// read is too old, and against a buffer that grows without bound.
func TestChangeBuffer(t *testing.T) {
	clock := &timer.Manual{}
	b := storer.NewChangeBuffer(clock, time.Second)
	var out strings.Builder
	ask := func(what string, after int64) {
		changes, revision, o := b.Changes(context.Background(), after, 0)
		keys := make([]string, 0, len(changes))
		for _, c := range changes {
			keys = append(keys, c.Key)
		}
		fmt.Fprintf(&out, "%s, after %d: %s %v up to %d\n", what, after, o, keys, revision)
	}
	ask("nothing read", 0)
	clock.Advance(time.Second)
	b.Reset(10)
	ask("entries read", 10)
	ask("entries read", 9)
	ask("entries read, a reader ahead", 12)
	b.Add(10, []storer.Change{change("a", 11), change("b", 13)}, 14)
	ask("changes read", 10)
	ask("changes read", 11)
	ask("changes read", 14)
	clock.Advance(1100 * time.Millisecond)
	ask("last read too old", 14)
	b.Add(14, nil, 14)
	ask("read again", 10)
	b.RecordFailure()
	ask("read failed", 14)
	b.Add(20, []storer.Change{change("c", 21)}, 21)
	ask("read elsewhere up to 20", 14)
	ask("read elsewhere up to 20", 20)
	for i := range int64(400) {
		b.Add(21+i, []storer.Change{change("d", 22+i)}, 22+i)
	}
	ask("more than is kept", 100)
	ask("more than is kept", 420)
	goldie.New(t).Assert(t, "relay", []byte(out.String()))
}

// peer is another process that reads for others. While away is set, its reads fail.
type peer struct {
	buffer *storer.ChangeBuffer
	mutex  sync.Mutex
	away   bool
	// stopped is set while there is no such process.
	stopped bool
	asked   int
}

func (p *peer) Address() (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return "n", !p.stopped
}

func (p *peer) ReadChanges(ctx context.Context, _, _ string, after int64, wait time.Duration) ([]storer.Change, int64, storer.Outcome) {
	p.mutex.Lock()
	p.asked++
	away := p.away
	p.mutex.Unlock()
	if away {
		return nil, 0, storer.Unavailable
	}
	return p.buffer.Changes(ctx, after, wait)
}

// countingService counts the reads of changes at a key-value service.
type countingService struct {
	*keyvalue.Service
	mutex sync.Mutex
	calls int
}

func (c *countingService) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, storer.Outcome) {
	c.mutex.Lock()
	c.calls++
	c.mutex.Unlock()
	return c.Service.Changes(ctx, prefix, after, wait)
}

// Guards against a reader that stays out of date when the process that reads for it is away or has lost the service or
// its history, and against a reader that calls the service although another process reads for it.
func TestSharedFeed(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	kv := keyvalue.NewService(clock)
	direct := &countingService{Service: kv}
	p := &peer{buffer: storer.NewChangeBuffer(clock, 300*time.Millisecond)}
	noDelay := func() time.Duration { return 0 }
	first, second := &view{changed: make(chan struct{}, 1000)}, &view{changed: make(chan struct{}, 1000)}
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	following.Go(func() {
		serviceFeed := storer.NewSharedFeed(kv, noPeer{}, p.buffer, clock)
		storer.NewFollower(serviceFeed, storer.NewStorer(kv, clock), "p/", noDelay, 100*time.Millisecond).Follow(ctx, first)
	})
	kv.Write("p/a", []byte("0"))
	for !first.shows("p/a=0") {
		<-first.changed
	}
	following.Go(func() {
		feed := storer.NewSharedFeed(direct, p, storer.NewChangeBuffer(clock, time.Second), clock)
		storer.NewFollower(feed, storer.NewStorer(kv, clock), "p/", noDelay, 200*time.Millisecond).Follow(ctx, second)
	})
	until := func(want string) {
		for !second.shows(want) {
			<-second.changed
		}
	}
	kv.Write("p/a", []byte("1"))
	until("p/a=1")
	for i := range 20 {
		kv.Write("p/b", fmt.Append(nil, i))
		until(fmt.Sprintf("p/a=1 p/b=%d", i))
	}
	direct.mutex.Lock()
	calls := direct.calls
	direct.mutex.Unlock()
	c.Assert(calls < 3, qt.IsTrue, qt.Commentf("%d calls to the service", calls))
	kv.Compact()
	kv.Write("p/b", []byte("x"))
	until("p/a=1 p/b=x")
	p.mutex.Lock()
	p.away = true
	p.mutex.Unlock()
	kv.Write("p/a", []byte("2"))
	until("p/a=2 p/b=x")
	cancel()
	following.Wait()
	c.Assert(p.asked > 0, qt.IsTrue)
}

// Guards against a reader that takes its view for out of date, or reads all entries again, because the process that reads for it
// has just started and does not have the latest changes.
func TestLateBufferInterruptsNothing(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	kv := keyvalue.NewService(clock)
	kv.Write("p/a", []byte("0"))
	p := &peer{buffer: storer.NewChangeBuffer(clock, time.Minute), stopped: true}
	v := &view{changed: make(chan struct{}, 1000)}
	ctx, cancel := context.WithCancel(t.Context())
	started := make(chan int64, 1)
	// start starts the other process after changes of which the reader does not know, in the pause after one that it read.
	start := func() time.Duration {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if p.stopped {
			kv.Write("q/a", []byte("1"))
			_, revision, _ := kv.Snapshot(ctx, "p/")
			p.buffer.Reset(revision)
			p.stopped = false
			started <- revision
		}
		return 0
	}
	var following sync.WaitGroup
	following.Go(func() {
		feed := storer.NewSharedFeed(kv, p, storer.NewChangeBuffer(clock, time.Second), clock)
		storer.NewFollower(feed, storer.NewStorer(kv, clock), "p/", start, 100*time.Millisecond).Follow(ctx, v)
	})
	for !v.shows("p/a=0") {
		<-v.changed
	}
	kv.Write("p/a", []byte("1"))
	revision := <-started
	kv.Write("p/b", []byte("3"))
	p.buffer.Add(revision, []storer.Change{{Entry: storer.Entry{Key: "p/b", Value: []byte("3"), Changed: revision + 1}}}, revision+1)
	for !v.shows("p/a=1 p/b=3") {
		<-v.changed
	}
	cancel()
	following.Wait()
	c.Assert(v.interrupted, qt.Equals, 0)
	c.Assert(v.resets, qt.Equals, 1)
}

// Guards against a reader that waits at a process that has lost the service until long after that process's last read
// is too old: the reader would keep sending requests to a target that has left.
func TestChangeBufferDoesNotHoldReaders(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	for name, lose := range map[string]func(*storer.ChangeBuffer){
		"failing": (*storer.ChangeBuffer).RecordFailure, "silent": func(*storer.ChangeBuffer) {},
	} {
		b := storer.NewChangeBuffer(clock, 100*time.Millisecond)
		b.Reset(1)
		began := clock.Monotonic()
		ended := make(chan storer.Outcome)
		go func() {
			_, _, out := b.Changes(t.Context(), 1, 5*time.Second)
			ended <- out
		}()
		lose(b)
		out := <-ended
		if took := clock.Monotonic() - began; took > time.Second || name == "failing" && out != storer.Unavailable {
			c.Errorf("%s: a reader got %s after %s, want an answer within a second", name, out, took)
		}
	}
}

// noPeer is a Source without a process that reads for others.
type noPeer struct{}

func (noPeer) Address() (string, bool) { return "", false }

func (noPeer) ReadChanges(context.Context, string, string, int64, time.Duration) ([]storer.Change, int64, storer.Outcome) {
	return nil, 0, storer.Unavailable
}
