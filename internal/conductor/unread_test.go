package conductor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/recorder"
)

// maxResumption is the time in which a job goes on after its owner can read it again. An item may be at no target for 5 s.
const maxResumption = 5 * time.Second

// A job takes about 2 s at the targets of a cluster, so that it is far from its end when its owner changes.
const (
	callTime  = 300 * time.Millisecond
	itemCount = 1000
)

// submitTo submits a job to a process, and reads results until n are there.
func (cl *cluster) submitTo(c *qt.C, p *process, name string, n int) *reader {
	s := newSpec(name, itemCount)
	c.Assert(p.Submit(c.Context(), s), qt.Equals, conductor.Accepted)
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < n {
		r.readPage(c, p)
	}
	return r
}

// finish reads the rest of a job's results at a process. After those that were stored before, the next one must be there within
// maxResumption.
func (r *reader) finish(c *qt.C, p *process) {
	began := r.cluster.clock.Monotonic()
	stored := -1
	for len(r.seen) > stored && len(r.seen) < len(r.spec.Items) {
		stored = len(r.seen)
		r.readPage(c, p)
	}
	for len(r.seen) == stored && r.cluster.clock.Monotonic()-began < 2*maxResumption {
		r.readPage(c, p)
	}
	took := r.cluster.clock.Monotonic() - began
	c.Assert(took < maxResumption || len(r.seen) == len(r.spec.Items), qt.IsTrue, qt.Commentf("%d further results after %s", len(r.seen)-stored, took))
	for len(r.seen) < len(r.spec.Items) {
		r.readPage(c, p)
	}
	r.checkComplete(c)
}

// startThree starts three processes that know each other. It returns the first one, the process that sweeps once that one is gone,
// the third one, and the name of a job of which the third one becomes the owner then.
func (cl *cluster) startThree() (first, sweeper, next *process, job string) {
	first = cl.start("a")
	others := map[identifier.Node]*process{"b": cl.start("b"), "d": cl.start("d")}
	for _, p := range cl.processes {
		for p.Processes() < 3 {
			<-cl.clock.After(20 * time.Millisecond).C()
		}
	}
	// The first sweep, 1.5 s after the start, is over.
	<-cl.clock.After(2 * time.Second).C()
	sweeps, _ := first.Successor("sweep")
	for i := 0; next == nil || next == others[sweeps.Owner.Node]; i++ {
		job = fmt.Sprint("job", i)
		owner, _ := first.Successor(identifier.Job(job))
		next = others[owner.Owner.Node]
	}
	return first, others[sweeps.Owner.Node], next, job
}

// Guards against a job that nobody leads for 20 s because its next owner could not read it at the take-over: the store turned that
// process away, its results alone could not be read, or the store was slow, at a hand-over, after the owner was lost, and for two
// owners in a row.
func TestUnreadJobIsReadAgain(t *testing.T) {
	const refusal = time.Second
	faults := map[string]func(l *link, on bool){
		"turned away": func(l *link, on bool) { l.turnedAway.Store(on) },
		"results unreadable": func(l *link, on bool) {
			l.unreadable.Store(map[bool]string{true: "results/"}[on])
		},
		"texts unreadable": func(l *link, on bool) {
			l.unreadable.Store(map[bool]string{true: "parts/"}[on])
		},
		"store slow": func(l *link, on bool) {
			l.slow.Store(int64(map[bool]time.Duration{true: 700 * time.Millisecond}[on]))
		},
	}
	// The cases are a load themselves: on one core, most need more than maxResumption with all twelve at once, and few with three at once.
	atOnce := make(chan struct{}, 3)
	for fault, set := range faults {
		for _, way := range []string{"handed over", "owner lost", "two owners in a row"} {
			t.Run(way+", "+fault, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				atOnce <- struct{}{}
				c.Cleanup(func() { <-atOnce })
				cl := newCluster(t, 21, 0)
				cl.engine.callTime = callTime
				a, last, next, job := cl.startThree()
				r := cl.submitTo(c, a, job, 50)
				set(next.link, true)
				if way == "owner lost" {
					cl.isolate(a)
				} else {
					a.Close(t.Context())
					cl.kv.Remove(recorder.NodeKey("a"))
				}
				if way == "two owners in a row" {
					set(last.link, true)
					next.Close(t.Context())
					cl.kv.Remove(recorder.NodeKey(next.node))
				}
				<-cl.clock.After(refusal).C()
				set(next.link, false)
				set(last.link, false)
				r.finish(c, last)
			})
		}
	}
}

// Guards against a job of an earlier incarnation that is not taken over because the store refused the one attempt to do so, while
// the process that sweeps is silent but registered.
func TestReclaimIsRepeated(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 22, 0)
	cl.engine.callTime = callTime
	first := cl.start("n")
	for i := 0; i == 0 || first.IsSweeper(); i++ {
		cl.start(identifier.Node(fmt.Sprint("s", i)))
		for first.Processes() < i+2 {
			<-cl.clock.After(20 * time.Millisecond).C()
		}
	}
	r := cl.submitTo(c, first, "job", 50)
	for _, p := range cl.processes[1:] {
		p.link.down.Store(true)
	}
	first.link.down.Store(true)
	cl.refuseWrites.Store(true)
	second := cl.restart("n", 2)
	<-cl.clock.After(time.Second).C()
	cl.refuseWrites.Store(false)
	r.finish(c, second)
}

// Guards against an owner that is never told of its job, because the notifications got lost while it stayed registered.
func TestLostNoticesAreRepeated(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 23, 0)
	cl.engine.callTime = callTime
	a, sweeper, _, job := cl.startThree()
	r := cl.submitTo(c, a, job, 50)
	cl.dropNotifications.Store(true)
	a.Close(t.Context())
	cl.kv.Remove(recorder.NodeKey("a"))
	<-cl.clock.After(2 * time.Second).C()
	cl.dropNotifications.Store(false)
	r.finish(c, sweeper)
}

// turnOwnerAway starts two processes and submits a job to the first one, which the store turns away until the second one leads
// the job.
func (cl *cluster) turnOwnerAway(c *qt.C) (former, owner *process, r *reader) {
	cl.engine.callTime = callTime
	former, owner = cl.start("a"), cl.start("b")
	for former.Processes() < 2 || owner.Processes() < 2 {
		<-cl.clock.After(20 * time.Millisecond).C()
	}
	s := newSpec("job", itemCount)
	c.Assert(former.Accept(c.Context(), s), qt.Equals, conductor.Accepted)
	former.link.turnedAway.Store(true)
	cl.kv.Remove(recorder.NodeKey("a"))
	for owner.JobCount() == 0 {
		<-cl.clock.After(10 * time.Millisecond).C()
	}
	return former, owner, &reader{cluster: cl, spec: s}
}

// Guards against a former owner that writes results under the record of the new owner, which then conflicts with them for good.
func TestFormerOwnerWritesNothing(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 25, 0)
	a, b, r := cl.turnOwnerAway(c)
	former := a.Led("job")
	a.link.turnedAway.Store(false)
	// A read soon after the outage may still be held back.
	c.Assert(cl.within(time.Second, func() bool { return a.Refresh(t.Context(), "job") }), qt.IsTrue)
	c.Assert(a.JobCount(), qt.Equals, 0)
	c.Assert(a.StoreLate(t.Context(), former, batcher.Result{Item: r.spec.Items[0].ID}), qt.IsFalse)
	r.finish(c, b)
}

// Guards against an owner that was away while another process led its job, and goes on with what it had before: its results then
// conflict with those of the other one for good.
func TestOwnerAgainReadsItsJob(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 26, 0)
	a, b, r := cl.turnOwnerAway(c)
	for len(r.seen) < 50 {
		r.readPage(c, b)
	}
	cl.register(a)
	for b.Processes() < 2 {
		<-cl.clock.After(10 * time.Millisecond).C()
	}
	b.Close(t.Context())
	a.link.turnedAway.Store(false)
	r.finish(c, a)
}

// Guards against processes that sweep no jobs after an interruption of their watch, until another process joins or leaves.
func TestMembersAreCurrentAgain(t *testing.T) {
	c := qt.New(t)
	p := newCluster(t, 24, 0).start("n")
	v := conductor.NewMembershipView(p.Conductor, codec.Jobs{})
	v.Interrupted()
	c.Assert(p.MembershipCurrent(), qt.IsFalse)
	v.Resumed()
	c.Assert(p.MembershipCurrent(), qt.IsTrue)
}
