package relayer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/relayer"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// ways are the ways in which a process is cut off.
var ways = map[string]way{"refused": refused, "silent": silent}

// submitTime is the time within which a job must be stored for its submission to be accepted.
const submitTime = 800 * time.Millisecond

// Guards against an entry that loses its registration, refuses jobs, keeps results that it can't store and knows nothing of the other
// entries while only it is cut off from the service.
func TestCutOffEntryGoesOn(t *testing.T) {
	for name, w := range ways {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(t, 3)
			p, ctx := cl.processes[0], context.Background()
			jobs := recorder.NewRecorder(p, codec.Jobs{})
			during(cl, func() {
				lease, out := p.Grant(ctx, 2*time.Second)
				c.Assert(out, qt.Equals, storer.Applied)
				p.link.way.Store(int32(w))
				for range 12 { // 8 s
					cl.pause(667 * time.Millisecond)
					c.Assert(p.KeepAlive(ctx, lease), qt.Equals, storer.Applied)
				}
				s := batcher.Spec{ID: "job", Team: "team", Items: []batcher.Item{{ID: "i", Body: make([]byte, 200<<10)}}}
				began := cl.clock.Monotonic()
				out, err := jobs.Create(ctx, s, recorder.Owner{Node: "p0"})
				c.Assert(err, qt.IsNil)
				c.Assert(out, qt.Equals, storer.Applied)
				c.Assert(cl.clock.Monotonic()-began < submitTime, qt.IsTrue)
				r, out, err := jobs.Record(ctx, "job")
				c.Assert(err, qt.IsNil)
				c.Assert(out, qt.Equals, storer.Applied)
				_, out, err = jobs.Append(ctx, r, 0, []batcher.Result{{Item: "i"}})
				c.Assert(err, qt.IsNil)
				c.Assert(out, qt.Equals, storer.Applied)
				_, revision, out := p.relayer.Snapshot(ctx, "nodes/")
				c.Assert(out, qt.Equals, storer.Applied)
				cl.kv.Write("nodes/new", []byte("n"))
				changes, _, out := p.relayer.Changes(ctx, "nodes/", revision, 10*time.Second)
				c.Assert(out, qt.Equals, storer.Applied)
				c.Assert(changes, qt.HasLen, 1)
			})
			stored, _, err := recorder.NewRecorder(cl.processes[1], codec.Jobs{}).Results(ctx, "job")
			c.Assert(err, qt.IsNil)
			c.Assert(stored, qt.HasLen, 1)
		})
	}
}

// Guards against a wait for changes that goes on at a silent service although another entry reaches it.
func TestWaitForChangesMovesToPeer(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 2)
	p := cl.processes[0]
	p.link.way.Store(int32(silent))
	var out storer.Outcome
	took := during(cl, func() {
		var waiting sync.WaitGroup
		ctx, cancel := timer.WithTimeout(context.Background(), cl.clock, 10*time.Second)
		defer cancel()
		waiting.Go(func() { _, _, out = p.relayer.Changes(ctx, "nodes/", 1, 9*time.Second) })
		p.Get(context.Background(), "k")
		waiting.Wait()
	})
	c.Assert(out, qt.Equals, storer.Applied)
	c.Assert(took < 2*time.Second, qt.IsTrue, qt.Commentf("%s", took))
}

// Guards against a write that is sent through another entry although it may have taken effect, against one that is reported as failed or
// as refused by its own first execution because the answer of the other entry was lost, and against two executions.
func TestUnknownOutcomes(t *testing.T) {
	var report strings.Builder
	for _, tc := range []struct {
		name    string
		prepare func(p, peer *process)
	}{
		{"own answer lost", func(p, _ *process) { p.link.way.Store(int32(late)) }},
		{"own call silent", func(p, _ *process) { p.link.way.Store(int32(silent)) }},
		{"own call refused, answer of peer lost", func(p, peer *process) {
			p.link.way.Store(int32(refused))
			peer.deaf.Store(true)
		}},
		{"own call refused, peer gets no answer", func(p, peer *process) {
			p.link.way.Store(int32(refused))
			peer.link.way.Store(int32(late))
		}},
		{"own call refused, peer refused", func(p, peer *process) {
			p.link.way.Store(int32(refused))
			peer.link.way.Store(int32(refused))
		}},
	} {
		cl := newCluster(t, 2)
		tc.prepare(cl.processes[0], cl.processes[1])
		t1 := storer.Transaction{}.WithGuard("k", 0).WithPut("k", []byte("mine"), 0)
		var single storer.Outcome
		during(cl, func() {
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				cl.pause(700 * time.Millisecond)
				cancel()
			}()
			single = cl.processes[0].relayer.Commit(ctx, t1)
		})
		fmt.Fprintf(&report, "%s: %s, %d question(s), %d write(s)\n", tc.name, single, cl.questions.Load(), cl.kv.Writes())
	}
	cl := newCluster(t, 3)
	cl.processes[0].link.way.Store(int32(refused))
	cl.processes[1].deaf.Store(true)
	var out storer.Outcome
	during(cl, func() { out = cl.processes[0].CompareAndSwap(context.Background(), "k", 0, []byte("mine"), 0) })
	fmt.Fprintf(&report, "answer of the first peer lost, read back at the second: %s, %d write(s)\n", out, cl.kv.Writes())
	goldie.New(t).Assert(t, "unknown", []byte(report.String()))
}

// Guards against an entry that goes on asking one that died, and against one that goes on asking after its own way has returned.
func TestPeerDiesAndWayReturns(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 3)
	p, ctx := cl.processes[0], context.Background()
	p.link.way.Store(int32(refused))
	during(cl, func() {
		c.Assert(p.CompareAndSwap(ctx, "k", 0, []byte("one"), 0), qt.Equals, storer.Applied)
		c.Assert(p.relayer.Relaying(), qt.IsTrue)
		cl.processes[1].dead.Store(true)
		began := cl.clock.Monotonic()
		e, out := p.Get(ctx, "k")
		c.Assert(out, qt.Equals, storer.Applied)
		c.Assert(cl.clock.Monotonic()-began < 700*time.Millisecond, qt.IsTrue)
		c.Assert(p.CompareAndSwap(ctx, "k", e.Changed, []byte("two"), 0), qt.Equals, storer.Applied)
		p.link.way.Store(int32(open))
		for range 8 { // 2 s
			_, out = p.Get(ctx, "k")
			c.Assert(out, qt.Equals, storer.Applied)
			cl.pause(250 * time.Millisecond)
		}
		before := cl.questions.Load()
		for range 20 {
			_, out = p.Get(ctx, "k")
			c.Assert(out, qt.Equals, storer.Applied)
		}
		c.Assert(cl.questions.Load(), qt.Equals, before)
		c.Assert(p.relayer.Relaying(), qt.IsFalse)
	})
}

// Guards against entries that multiply the calls to a service that is away for all, or flood each other with questions.
func TestOutageIsNotAmplified(t *testing.T) {
	const entries, period = 12, 10 * time.Second
	for name, w := range ways {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			calls := [2]int64{}
			for relaying := range 2 {
				cl := newCluster(t, entries)
				var running sync.WaitGroup
				during(cl, func() {
					for _, p := range cl.processes {
						p.link.way.Store(int32(w))
						store := p.Storer
						if relaying == 0 {
							store = store.Through(p.link).WithPurpose(storer.PurposeRun)
						}
						running.Go(func() {
							for until := cl.clock.Monotonic() + period; cl.clock.Monotonic() < until; cl.pause(250 * time.Millisecond) {
								store.Get(context.Background(), "k")
							}
						})
					}
					running.Wait()
				})
				for _, p := range cl.processes {
					calls[relaying] += p.link.calls.Load()
				}
				// Two questions at once and then one in each pause of 0.5 to 1 s.
				c.Check(cl.questions.Load() <= entries*(4+20), qt.IsTrue, qt.Commentf("%d questions", cl.questions.Load()))
			}
			// Each entry may execute one call for others before it knows that the service is away.
			c.Check(calls[1] <= calls[0]+2*entries, qt.IsTrue, qt.Commentf("%d calls without, %d with relays", calls[0], calls[1]))
			t.Logf("%d calls without, %d with relays", calls[0], calls[1])
		})
	}
}

// Guards against an entry whose memory is taken by the calls that it makes for others.
func TestMemoryForOthersIsBounded(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 2)
	e := cl.processes[1].executor
	large := relayer.Question{Kind: relayer.Commit, Transaction: storer.Transaction{}.WithPut("k", make([]byte, 5<<20), 0), Patience: time.Second}
	c.Assert(e.Execute(context.Background(), large).Executed, qt.IsFalse)
	ticket := e.Reserve(large.Size())
	c.Assert(ticket, qt.Not(qt.Equals), int64(0))
	c.Assert(e.Reserve(5<<20), qt.Equals, int64(0))
	c.Assert(e.Execute(context.Background(), large.WithTicket(ticket)).Outcome, qt.Equals, storer.Applied)
	c.Assert(e.Execute(context.Background(), large.WithTicket(ticket)).Executed, qt.IsFalse)
	c.Assert(e.Reserve(5<<20), qt.Not(qt.Equals), int64(0))
	cl.clock.Advance(3 * time.Second)
	c.Assert(e.Reserve(5<<20), qt.Not(qt.Equals), int64(0))
	cl.processes[0].link.way.Store(int32(refused))
	out := cl.processes[0].relayer.Commit(context.Background(), storer.Transaction{}.WithPut("k", make([]byte, 9<<20), 0))
	c.Assert(out, qt.Equals, storer.Unavailable)
	c.Assert(cl.questions.Load(), qt.Equals, int64(0))
}
