package conductor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// within waits until a condition holds, and reports whether it did within a time.
func (cl *cluster) within(limit time.Duration, holds func() bool) bool {
	for end := cl.clock.Monotonic() + limit; !holds(); {
		if cl.clock.Monotonic() > end {
			return false
		}
		<-cl.clock.After(5 * time.Millisecond).C()
	}
	return true
}

// Guards against results that wait for others once more after an outage of the store in which they became ready, or are written one by one:
// the load is a step whose items end while the store is away for 2 s.
func TestResultsAreWrittenWhenTheStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(t, 61, 0)
		cl.engine.callTime = 200 * time.Millisecond
		p := cl.start("n")
		s := newSpec("job", 80)
		s.Desired = 99 // the trainer can't go on with any of them, so that results wait for others
		c.Assert(p.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
		p.link.turnedAway.Store(true)
		<-cl.clock.After(2 * time.Second).C()
		c.Assert(cl.engine.calls.Load() >= 160, qt.IsTrue, qt.Commentf("%d calls of items and scores during the outage", cl.engine.calls.Load()))
		writes := cl.kv.Writes()
		p.link.turnedAway.Store(false)
		readable := func() bool {
			results, _ := p.LocalResults(t.Context(), "job", 0, 0)
			return len(results) == 80
		}
		// The store is probed every 50 ms here, and a failed write is repeated after 200 ms.
		c.Assert(cl.within(500*time.Millisecond, readable), qt.IsTrue)
		c.Assert(cl.kv.Writes()-writes <= 2, qt.IsTrue, qt.Commentf("%d writes", cl.kv.Writes()-writes))
	})
}

// Guards against an accepted step whose items wait for the store, which went away right after the job was stored, and against results that are
// lost or doubled when the record is read later.
func TestAcceptedJobRunsBeforeItsRecordIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(t, 62, 0)
		p := cl.start("n")
		p.link.unreadable.Store(recorder.JobPrefix)
		s := newSpec("job", 40)
		c.Assert(p.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
		c.Assert(cl.within(time.Second, func() bool { return cl.engine.calls.Load() >= 40 }), qt.IsTrue)
		results, led := p.LocalResults(t.Context(), "job", 0, 0)
		c.Assert(led, qt.IsTrue)
		c.Assert(results, qt.HasLen, 0)
		p.link.unreadable.Store("")
		r := &reader{cluster: cl, spec: s}
		c.Assert(cl.within(2*time.Second, func() bool { r.readPage(c, p); return len(r.seen) == 40 }), qt.IsTrue)
		r.checkComplete(c)
	})
}

// Guards against an accepted step that nobody leads until the next sweep, because the answer to its first submission was lost in an outage and
// the second one found it stored.
func TestResubmittedJobIsLed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(t, 63, 0)
		p := cl.start("n")
		p.link.unreadable.Store(recorder.JobPrefix)
		cl.kv.Set(keyvalue.Faults{LostAnswers: 1})
		s := newSpec("job", 8)
		c.Assert(p.Submit(t.Context(), s), qt.Equals, conductor.AcceptanceUnknown)
		p.link.unreadable.Store("")
		c.Assert(cl.within(time.Second, func() bool { return p.Submit(t.Context(), s) == conductor.Accepted }), qt.IsTrue)
		c.Assert(p.Led("job"), qt.IsNotNil)
	})
}

// Guards against a step that is refused shortly before the store is back, so that its trainer submits it again only later.
func TestSubmissionOutlastsTheEndOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(t, 64, 0)
		p := cl.start("n")
		p.link.turnedAway.Store(true)
		accepted := make(chan conductor.Acceptance, 1)
		go func() { accepted <- p.Submit(t.Context(), newSpec("job", 8)) }()
		<-cl.clock.After(400 * time.Millisecond).C()
		p.link.turnedAway.Store(false)
		c.Assert(fmt.Sprint(<-accepted), qt.Equals, "accepted")
		p.link.turnedAway.Store(true)
		began := cl.clock.Monotonic()
		c.Assert(p.Submit(t.Context(), newSpec("job2", 8)), qt.Equals, conductor.Refused)
		c.Assert(cl.clock.Monotonic()-began < time.Second, qt.IsTrue)
	})
}

// Guards against reads of the record of a job that is still being stored, which fail in an outage and tell of a job that nobody has accepted.
func TestJobBeingStoredIsNotLookedFor(t *testing.T) {
	c := qt.New(t)
	conduct := conductor.NewConductor(conductor.Dependencies{Clock: timer.NewSystem()})
	s := newSpec("job", 1)
	s.Submitted = time.Now().Add(-time.Second)
	c.Assert(conduct.LooksFor(s, true), qt.IsFalse)
	c.Assert(conduct.LooksFor(s, false), qt.IsTrue)
}
