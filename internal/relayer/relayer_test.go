package relayer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/relayer"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// ways are the ways in which a process is cut off.
var ways = map[string]keyvalue.Way{"refused": keyvalue.Refused, "silent": keyvalue.Silent}

// submitTime is the time within which a job must be stored for its submission to be accepted.
const submitTime = 800 * time.Millisecond

// Guards against an entry that loses its registration, refuses jobs, keeps results that it can't store and knows nothing of the other
// entries while only it is cut off from the service.
func TestCutOffEntryGoesOn(t *testing.T) {
	for name, w := range ways {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cl := newCluster(t, 3)
				p, ctx := cl.processes[0], context.Background()
				jobs := recorder.NewRecorder(p, codec.Jobs{})
				lease, out := p.Grant(ctx, 2*time.Second)
				c.Assert(out, qt.Equals, storer.Applied)
				p.link.Set(w)
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
				stored, _, err := recorder.NewRecorder(cl.processes[1], codec.Jobs{}).Results(ctx, "job")
				c.Assert(err, qt.IsNil)
				c.Assert(stored, qt.HasLen, 1)
			})
		})
	}
}

// Guards against a wait for changes that goes on at a silent service although another entry reaches it.
func TestWaitForChangesMovesToPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		cl.processes[0].link.Set(keyvalue.Silent)
		ctx, cancel := timer.WithTimeout(context.Background(), cl.clock, 2*time.Second)
		defer cancel()
		go cl.processes[0].Get(ctx, "k")
		_, _, out := cl.processes[0].relayer.Changes(ctx, "nodes/", 1, 9*time.Second)
		qt.Check(t, out, qt.Equals, storer.Applied)
	})
}

// Guards against a write that is sent through another entry although it may have taken effect, against one that is reported as failed or
// as refused by its own first execution because the answer of the other entry was lost, and against two executions.
func TestUnknownOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var report strings.Builder
		for _, tc := range []struct {
			name      string
			own, peer keyvalue.Way
			deaf      bool
		}{
			{"own answer lost", keyvalue.AnswerLost, keyvalue.Open, false},
			{"own call silent", keyvalue.Silent, keyvalue.Open, false},
			{"own call refused, answer of peer lost", keyvalue.Refused, keyvalue.Open, true},
			{"own call refused, peer gets no answer", keyvalue.Refused, keyvalue.AnswerLost, false},
			{"own call refused, peer refused", keyvalue.Refused, keyvalue.Refused, false},
		} {
			cl := newCluster(t, 2)
			cl.processes[0].link.Set(tc.own)
			cl.processes[1].link.Set(tc.peer)
			cl.processes[1].deaf.Store(tc.deaf)
			ctx, cancel := timer.WithTimeout(context.Background(), cl.clock, 700*time.Millisecond)
			defer cancel()
			out := cl.processes[0].relayer.Commit(ctx, storer.Transaction{}.WithGuard("k", 0).WithPut("k", []byte("mine"), 0))
			fmt.Fprintf(&report, "%s: %s, %d question(s), %d write(s)\n", tc.name, out, cl.questions.Load(), cl.kv.Writes())
		}
		cl := newCluster(t, 3)
		cl.processes[0].link.Set(keyvalue.Refused)
		cl.processes[1].deaf.Store(true)
		out := cl.processes[0].CompareAndSwap(context.Background(), "k", 0, []byte("mine"), 0)
		fmt.Fprintf(&report, "answer of the first peer lost, read back at the second: %s, %d write(s)\n", out, cl.kv.Writes())
		goldie.New(t).Assert(t, "unknown", []byte(report.String()))
	})
}

// Guards against an entry that goes on asking one that died, and against one that goes on asking after its own way has returned.
func TestPeerDiesAndWayReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(t, 3)
		p, ctx := cl.processes[0], context.Background()
		p.link.Set(keyvalue.Refused)
		c.Assert(p.CompareAndSwap(ctx, "k", 0, []byte("one"), 0), qt.Equals, storer.Applied)
		c.Assert(p.relayer.Relaying(), qt.IsTrue)
		cl.processes[1].dead.Store(true)
		began := cl.clock.Monotonic()
		var reading sync.WaitGroup
		for range 8 {
			reading.Go(func() {
				_, out := p.Get(ctx, "k")
				c.Check(out, qt.Equals, storer.Applied)
			})
		}
		reading.Wait()
		c.Assert(cl.clock.Monotonic()-began < 700*time.Millisecond, qt.IsTrue)
		e, out := p.Get(ctx, "k")
		c.Assert(out, qt.Equals, storer.Applied)
		c.Assert(p.CompareAndSwap(ctx, "k", e.Changed, []byte("two"), 0), qt.Equals, storer.Applied)
		p.link.Set(keyvalue.Open)
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
	synctest.Test(t, func(t *testing.T) {
		const entries, period = 10, 10 * time.Second
		for name, w := range ways {
			var calls [2]int64 // without and with relays
			for relaying := range 2 {
				cl := newCluster(t, entries)
				var running sync.WaitGroup
				for _, p := range cl.processes {
					p.link.Set(w)
					store := []*storer.Storer{p.Through(p.link), p.Storer}[relaying]
					running.Go(func() {
						for until := cl.clock.Monotonic() + period; cl.clock.Monotonic() < until; cl.pause(250 * time.Millisecond) {
							store.Get(context.Background(), "k")
						}
					})
				}
				running.Wait()
				for _, p := range cl.processes {
					calls[relaying] += p.link.Calls()
				}
				// Two questions at once and then one in each pause of 0.5 to 1 s.
				qt.Check(t, cl.questions.Load() <= entries*(4+20), qt.IsTrue, qt.Commentf("%s: %d questions", name, cl.questions.Load()))
			}
			t.Logf("%s: %d calls without, %d with relays", name, calls[0], calls[1])
			// Each entry may execute one call for others before it knows that the service is away.
			qt.Check(t, calls[1] <= calls[0]+2*entries, qt.IsTrue)
		}
	})
}

// Guards against an entry whose memory is taken by the calls that it makes for others.
func TestMemoryForOthersIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		cl.pause(3 * time.Second)
		c.Assert(e.Reserve(5<<20), qt.Not(qt.Equals), int64(0))
		cl.processes[1].link.Set(keyvalue.Silent)
		ranges := relayer.Question{Kind: relayer.List, Patience: time.Second}
		for range 2 {
			go e.Execute(t.Context(), ranges)
		}
		for cl.processes[1].link.Calls() < 3 {
			cl.pause(10 * time.Millisecond)
		}
		c.Assert(e.Execute(context.Background(), ranges).Executed, qt.IsFalse)
		cl.processes[0].link.Set(keyvalue.Refused)
		out := cl.processes[0].relayer.Commit(context.Background(), storer.Transaction{}.WithPut("k", make([]byte, 9<<20), 0))
		c.Assert(out, qt.Equals, storer.Unavailable)
		c.Assert(cl.questions.Load(), qt.Equals, int64(0))
	})
}

// Guards against a confined job whose bodies, texts or results pass through a process outside its regions while the one that leads it is cut
// off, although another process there helps with its other calls, and against a confined call that is made nowhere although a process may.
func TestConfinedCallsStayInRegions(t *testing.T) {
	for _, k := range []struct {
		regions []identifier.Region
		helper  int
		want    storer.Outcome
	}{
		{nil, 1, storer.Applied},
		{[]identifier.Region{"r2"}, 2, storer.Applied},
		{[]identifier.Region{"r7"}, 0, storer.Unavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(t, 3)
			p := cl.processes[0]
			p.link.Set(keyvalue.Refused)
			_, out := p.Get(t.Context(), "other")
			c.Assert(out, qt.Equals, storer.Applied)
			calls := func() (n [3]int64) {
				for i, other := range cl.processes {
					n[i] = other.link.Calls()
				}
				return n
			}
			before := calls()
			ctx := confiner.WithScope(t.Context(), confiner.NewScope("r0", confiner.NewRegions(k.regions...)))
			c.Check(p.Commit(ctx, storer.Transaction{}.WithGuard("a", 0).WithPut("a", []byte("body"), 0)), qt.Equals, k.want)
			if k.helper > 0 {
				_, out = p.Get(ctx, "a")
				c.Check(out, qt.Equals, storer.Applied)
			}
			for i, n := range calls() {
				c.Check(i == 0 || i == k.helper == (n > before[i]), qt.IsTrue, qt.Commentf("%v: process %d made %d calls", k.regions, i, n-before[i]))
			}
		})
	}
}
