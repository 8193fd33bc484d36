package conductor_test

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
)

// Guards against a closing process that keeps its jobs, and against items that are generated again from the start
// after a handover.
func TestStoppingProcessHandsOver(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 7, 0.2)
	a, b := cl.start("a"), cl.start("b")
	s := newSpec("job", 400)
	for a.Submit(t.Context(), s) != conductor.Accepted {
		t.Fatal("submission was not accepted")
	}
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < 40 {
		r.readPage(c, a)
	}
	a.Close(t.Context())
	for len(r.seen) < len(s.Items) {
		r.readPage(c, b)
	}
	r.checkComplete(c)
}

// Guards against results that occur twice or not at all when a process closes while it is writing results.
func TestHandOverDuringAWrite(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 9, 0)
	cl.engine.callTime = 30 * time.Millisecond
	a, b := cl.start("a"), cl.start("b")
	s := newSpec("job", 3000)
	c.Assert(a.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	cl.kv.Set(keyvalue.Faults{WriteTime: 150 * time.Millisecond})
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < 100 {
		r.readPage(c, b)
	}
	a.Close(t.Context())
	for len(r.seen) < len(s.Items) {
		r.readPage(c, b)
	}
	r.checkComplete(c)
	again := &reader{cluster: cl, spec: s}
	for len(again.seen) < len(s.Items) {
		again.readPage(c, b)
	}
	for i := range r.seen {
		c.Assert(again.seen[i].Item, qt.Equals, r.seen[i].Item)
	}
}

// Guards against a restarted process that takes its jobs over only after its earlier incarnation counts as missing.
func TestRestartedProcessReclaimsItsJobs(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 8, 0)
	cl.engine.version.Store(4)
	first := cl.start("n")
	s := newSpec("job", 8)
	c.Assert(first.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	first.link.down.Store(true)
	cl.engine.version.Store(5)
	began := cl.clock.Monotonic()
	second := cl.restart("n", 2)
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < len(s.Items) {
		r.readPage(c, second)
	}
	r.checkComplete(c)
	c.Assert(cl.clock.Monotonic()-began < time.Second, qt.IsTrue, qt.Commentf("it took %v", cl.clock.Monotonic()-began))
}

// Guards against a job that is led without its stored results because it is submitted again to a restarted process
// while that process reclaims it.
func TestResubmissionDuringReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(t, 10, 0)
		cl.engine.callTime = 100 * time.Millisecond
		first := cl.start("n")
		s := newSpec("job", 1000)
		c.Assert(first.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
		r := &reader{cluster: cl, spec: s}
		// Time passes in a bubble only while all wait, and a read of earlier positions does not.
		pause := func() { <-cl.clock.After(time.Millisecond).C() }
		for ; len(r.seen) < 100; pause() {
			r.readPage(c, first)
		}
		cl.isolate(first)
		const takes = 300 * time.Millisecond
		cl.kv.Set(keyvalue.Faults{WriteTime: takes})
		second := cl.restart("n", 2)
		<-cl.clock.After(takes / 2).C()
		c.Assert(second.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
		cl.kv.Set(keyvalue.Faults{})
		for ; len(r.seen) < len(s.Items); pause() {
			page, found := second.Results(t.Context(), "team", "job", 0, readWait)
			if found == conductor.Found {
				c.Assert(len(page.Results) > 0, qt.IsTrue, qt.Commentf("results that were read before are missing"))
			}
			r.readPage(c, second)
		}
		r.checkComplete(c)
	})
}

// Guards against a job that makes no progress because an earlier write of its results takes effect late, with fewer
// results than the repeated write.
func TestLateWriteOfResults(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 11, 0)
	cl.engine.callTime = 40 * time.Millisecond
	p := cl.start("n")
	s := newSpec("job", 1500)
	c.Assert(p.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < 50 {
		r.readPage(c, p)
	}
	for range 3 {
		cl.kv.Set(keyvalue.Faults{DelayedWrites: 1})
		<-cl.clock.After(450 * time.Millisecond).C()
		cl.kv.ApplyDelayed()
	}
	for len(r.seen) < len(s.Items) {
		r.readPage(c, p)
	}
	r.checkComplete(c)
}

// Guards against results that become readable only after ten seconds because a lost write of them is not repeated.
func TestLostWriteOfResults(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 11, 0)
	p := cl.start("n")
	s := newSpec("job", 12)
	c.Assert(p.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	cl.kv.Set(keyvalue.Faults{DelayedWrites: 1})
	began := cl.clock.Monotonic()
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < len(s.Items) {
		r.readPage(c, p)
	}
	r.checkComplete(c)
	c.Assert(cl.clock.Monotonic()-began < 3*time.Second, qt.IsTrue, qt.Commentf("the results took %s", cl.clock.Monotonic()-began))
}

// Guards against a job that nobody leads because the notification of its new owner was lost.
func TestSweepRepeatsLostNotice(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 12, 0)
	cl.engine.callTime = 50 * time.Millisecond
	a, b := cl.start("a"), cl.start("b")
	s := newSpec("job", 1000)
	c.Assert(a.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < 50 {
		r.readPage(c, b)
	}
	cl.dropNotifications.Store(true)
	a.Close(t.Context())
	cl.dropNotifications.Store(false)
	cl.kv.Remove(recorder.NodeKey("a"))
	began := cl.clock.Monotonic()
	for len(r.seen) < len(s.Items) {
		r.readPage(c, b)
	}
	r.checkComplete(c)
	c.Assert(cl.clock.Monotonic()-began < 10*time.Second, qt.IsTrue, qt.Commentf("it took %v", cl.clock.Monotonic()-began))
}

// Guards against long texts that die with their process and are generated again from the start: the pattern is an owner
// that is killed when the texts of its job have 95% of their events.
func TestLongTextsOutliveTheirProcess(t *testing.T) {
	c := qt.New(t)
	const length, reached = 280, 266
	cl := newCluster(t, 14, 0)
	cl.engine.textEvents = length
	cl.engine.pauseAfter.Store(reached)
	first := cl.start("n")
	s := newSpec("job", 8)
	c.Assert(first.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	for saved := 0; saved == 0; {
		<-cl.clock.After(20 * time.Millisecond).C()
		entries, _, _ := cl.kv.Snapshot(t.Context(), "parts/")
		saved = len(entries)
	}
	cl.isolate(first)
	// The first process may have moved texts to faster targets. Only calls from here on show what the second one has of them.
	var lock sync.Mutex
	begun := make(map[int]int)
	observe := func(call forwarder.Call) {
		lock.Lock()
		defer lock.Unlock()
		if !strings.HasPrefix(string(call.ID), "score-") {
			begun[call.ResumeAfter]++
		}
	}
	cl.engine.observe.Store(&observe)
	cl.engine.pauseAfter.Store(0)
	second := cl.restart("n", 2)
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < len(s.Items) {
		r.readPage(c, second)
	}
	lock.Lock()
	defer lock.Unlock()
	c.Assert(slices.Min(slices.Collect(maps.Keys(begun))), qt.Equals, reached, qt.Commentf("%v", begun))
	for _, result := range r.seen {
		c.Assert(bytes.Count(result.Output, []byte("\n")), qt.Equals, length-1, qt.Commentf("%s", result.Item))
	}
}
