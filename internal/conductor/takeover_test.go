package conductor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
)

// Guards against a stopping process that keeps its jobs, or whose texts are made again from the start.
func TestStoppingProcessHandsOver(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 7, 0.2)
	a, b := w.start("a"), w.start("b")
	s := job("job", 400)
	for a.Submit(t.Context(), s) != conductor.Accepted {
		t.Fatal("not accepted")
	}
	r := &reader{world: w, spec: s}
	for len(r.seen) < 40 {
		r.next(c, a)
	}
	a.Close(t.Context())
	for len(r.seen) < len(s.Items) {
		r.next(c, b)
	}
	r.check(c)
}

// Guards against results that are listed twice or not at all when a process stops while a write of results is on its way.
func TestHandOverDuringAWrite(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 9, 0)
	w.engine.takes = 30 * time.Millisecond
	a, b := w.start("a"), w.start("b")
	s := job("job", 3000)
	c.Assert(a.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	w.kv.Set(keyvalue.Faults{Takes: 150 * time.Millisecond})
	r := &reader{world: w, spec: s}
	for len(r.seen) < 100 {
		r.next(c, b)
	}
	a.Close(t.Context())
	for len(r.seen) < len(s.Items) {
		r.next(c, b)
	}
	r.check(c)
	again := &reader{world: w, spec: s}
	for len(again.seen) < len(s.Items) {
		again.next(c, b)
	}
	for i := range r.seen {
		c.Assert(again.seen[i].Item, qt.Equals, r.seen[i].Item)
	}
}

// Guards against a process that waits for its own earlier start to be given up before it takes its jobs over.
func TestRestartedProcessReclaimsItsJobs(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 8, 0)
	w.engine.version.Store(4)
	first := w.start("n")
	s := job("job", 8)
	c.Assert(first.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	first.link.cut.Store(true)
	w.engine.version.Store(5)
	began := w.clock.Boot()
	second := w.restart("n", 2)
	r := &reader{world: w, spec: s}
	for len(r.seen) < len(s.Items) {
		r.next(c, second)
	}
	r.check(c)
	c.Assert(w.clock.Boot()-began < time.Second, qt.IsTrue, qt.Commentf("it took %v", w.clock.Boot()-began))
}

// Guards against a job that is submitted again to a restarted process while that takes it over, and is led without the
// results that are there.
func TestResubmissionDuringReclaim(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 10, 0)
	w.engine.takes = 100 * time.Millisecond
	first := w.start("n")
	s := job("job", 1000)
	c.Assert(first.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	r := &reader{world: w, spec: s}
	for len(r.seen) < 100 {
		r.next(c, first)
	}
	w.cut(first)
	const takes = 300 * time.Millisecond
	w.kv.Set(keyvalue.Faults{Takes: takes})
	second := w.restart("n", 2)
	<-w.clock.After(takes / 2).C()
	c.Assert(second.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	w.kv.Set(keyvalue.Faults{})
	for len(r.seen) < len(s.Items) {
		page, found := second.Results(t.Context(), "team", "job", 0, readWait)
		if found == conductor.Found {
			c.Assert(len(page.Results) > 0, qt.IsTrue, qt.Commentf("results that were read are gone"))
		}
		r.next(c, second)
	}
	r.check(c)
}

// Guards against a job that stands still because an earlier write of its results was carried out late, with fewer
// results than the next try.
func TestLateWriteOfResults(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 11, 0)
	w.engine.takes = 40 * time.Millisecond
	p := w.start("n")
	s := job("job", 1500)
	c.Assert(p.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	r := &reader{world: w, spec: s}
	for len(r.seen) < 50 {
		r.next(c, p)
	}
	for range 3 {
		w.kv.Set(keyvalue.Faults{Delay: 1})
		<-w.clock.After(450 * time.Millisecond).C()
		w.kv.CarryOut()
	}
	for len(r.seen) < len(s.Items) {
		r.next(c, p)
	}
	r.check(c)
}

// Guards against results that are held back for ten seconds because a write of them was lost on its way and nobody sends
// it again.
func TestLostWriteOfResults(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 11, 0)
	p := w.start("n")
	s := job("job", 12)
	c.Assert(p.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	w.kv.Set(keyvalue.Faults{Delay: 1})
	began := w.clock.Boot()
	r := &reader{world: w, spec: s}
	for len(r.seen) < len(s.Items) {
		r.next(c, p)
	}
	r.check(c)
	c.Assert(w.clock.Boot()-began < 3*time.Second, qt.IsTrue, qt.Commentf("the results took %s", w.clock.Boot()-began))
}

// Guards against a job that nobody leads because its new owner was not told.
func TestLostNoticeIsMadeUp(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 12, 0)
	w.engine.takes = 50 * time.Millisecond
	a, b := w.start("a"), w.start("b")
	s := job("job", 1000)
	c.Assert(a.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	r := &reader{world: w, spec: s}
	for len(r.seen) < 50 {
		r.next(c, b)
	}
	w.deaf.Store(true)
	a.Close(t.Context())
	w.deaf.Store(false)
	w.kv.Remove(recorder.NodeKey("a"))
	began := w.clock.Boot()
	for len(r.seen) < len(s.Items) {
		r.next(c, b)
	}
	r.check(c)
	c.Assert(w.clock.Boot()-began < 10*time.Second, qt.IsTrue, qt.Commentf("it took %v", w.clock.Boot()-began))
}
