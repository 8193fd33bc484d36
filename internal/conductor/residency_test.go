package conductor_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// bodyCounts counts from outside which bodies reached the targets and entries of each region. The zero value is empty.
type bodyCounts struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (b *bodyCounts) add(what string, r identifier.Region) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.counts == nil {
		b.counts = make(map[string]int)
	}
	b.counts[what+" "+string(r)]++
}

func (b *bodyCounts) countCall(c forwarder.Call) {
	what := "item"
	if strings.HasPrefix(string(c.ID), "score-") {
		what = "score"
	}
	b.add(what, c.Target.Region)
}

// countRead counts the reads of a submitted job and of its texts.
func (b *bodyCounts) countRead(key string, r identifier.Region) {
	if strings.HasPrefix(key, "specs/") || strings.HasPrefix(key, "parts/") {
		b.add("entry", r)
	}
}

// take returns what reached which region since the last call, without counts.
func (b *bodyCounts) take() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	all := slices.Sorted(maps.Keys(b.counts))
	b.counts = nil
	return all
}

// confinedPlan returns testPlan with the given regions for jobs and for scoring calls.
func confinedPlan(revision identifier.Revision, jobs, scores confiner.Regions) *navigator.Plan {
	p := navigator.NewPlan(revision)
	for _, r := range testPlan().Routes() {
		r.Regions = jobs
		if r.Name == "score" {
			r.Regions = scores
		}
		p = p.WithRoutes(r)
	}
	return &p
}

// newConfinedCluster returns a cluster with a target in each of the regions a, b and c. The name of a process begins with its region.
func newConfinedCluster(t *testing.T, seed uint64, plan *navigator.Plan) *cluster {
	cl := newCluster(t, seed, 0)
	cl.targets, cl.plan = map[identifier.Zone]identifier.Region{"za": "a", "zb": "b", "zc": "c"}, plan
	cl.regions = map[identifier.Node]identifier.Region{"a1": "a", "b1": "b", "b2": "b", "c1": "c"}
	return cl
}

// await waits until a condition holds.
func (cl *cluster) await(what string, condition func() bool) {
	cl.t.Helper()
	for end := cl.clock.Monotonic() + 30*time.Second; !condition(); <-cl.clock.After(5 * time.Millisecond).C() {
		if cl.clock.Monotonic() > end {
			cl.t.Fatalf("not within 30 s: %s", what)
		}
	}
}

// startAll starts processes and waits until each knows all others.
func (cl *cluster) startAll(nodes ...identifier.Node) []*process {
	before := len(cl.processes)
	for _, n := range nodes {
		cl.start(n)
	}
	for _, p := range cl.processes[before:] {
		cl.await("membership", func() bool { return p.Processes() >= len(nodes) })
	}
	return cl.processes[before:]
}

// Guards against items and scoring calls that are sent to targets outside of the regions of their job, or of the route of the call, while
// the store is reached and while it is not.
func TestJobsKeepToTheirRegions(t *testing.T) {
	c := qt.New(t)
	cl := newConfinedCluster(t, 31, confinedPlan(1, confiner.NewRegions("b", "c"), confiner.NewRegions("a", "b")))
	all := cl.startAll("a1", "b1", "c1")
	s := newSpec("job", 200)
	c.Assert(all[0].Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	all[0].link.turnedAway.Store(true)
	<-cl.clock.After(200 * time.Millisecond).C()
	all[0].link.turnedAway.Store(false)
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < len(s.Items) {
		r.readPage(c, all[1])
	}
	r.checkComplete(c)
	c.Assert(cl.bodies.take(), qt.DeepEquals, []string{"item b", "item c", "score b"})
}

// Guards against a job that is led outside of its regions once the entries there are lost or closed, also by an entry that has not read the
// configuration which confines it; against readers that are told anything but to come back; and against a job that does not go on.
func TestConfinedJobWaitsForItsRegions(t *testing.T) {
	for _, closes := range []bool{false, true} {
		t.Run(fmt.Sprintf("closes %v", closes), func(t *testing.T) {
			c := qt.New(t)
			cl := newConfinedCluster(t, 32, confinedPlan(7, confiner.NewRegions("b"), ""))
			cl.engine.refusing.Store(true)
			all := cl.startAll("a1", "b1")
			cl.plan = nil
			outside := cl.startAll("c1")[0]
			cl.await("a1 knows c1", func() bool { return all[0].Processes() == 3 })
			s := newSpec("job", 40)
			c.Assert(all[0].Submit(t.Context(), s), qt.Equals, conductor.Accepted)
			for _, p := range []*process{all[1], all[0]} {
				if closes {
					cl.kv.Remove("nodes/" + string(p.node))
					p.Close(t.Context())
				} else {
					cl.isolate(p)
				}
			}
			cl.engine.refusing.Store(false)
			cl.await("readers are told to come back", func() bool {
				_, found := outside.Results(t.Context(), "team", "job", 0, 0)
				c.Assert(found == conductor.Found || found == conductor.Waiting, qt.IsTrue, qt.Commentf("%v", found))
				return found == conductor.Waiting
			})
			<-cl.clock.After(4 * time.Second).C() // The sweep that follows the loss is over.
			c.Assert(outside.JobCount(), qt.Equals, 0)
			record, _ := outside.KnownRecord("job")
			c.Assert(record.Owner.Node, qt.Equals, identifier.Node("a1"))
			cl.plan = confinedPlan(7, confiner.NewRegions("b"), "")
			cl.start("b2")
			r := &reader{cluster: cl, spec: s}
			cl.await("the job is complete", func() bool {
				if page, found := outside.Results(t.Context(), "team", "job", len(r.seen), readWait); found == conductor.Found {
					r.seen = append(r.seen, page.Results...)
				}
				return len(r.seen) == len(s.Items)
			})
			r.checkComplete(c)
			for _, reached := range cl.bodies.take() {
				c.Check(slices.Contains([]string{"item a", "item c", "entry c", "score c"}, reached), qt.IsFalse, qt.Commentf(reached))
			}
		})
	}
}

// Guards against a leader that goes on outside of the regions of a configuration adopted later, two of them in quick succession.
func TestConfigurationMovesRunningJob(t *testing.T) {
	c := qt.New(t)
	cl := newConfinedCluster(t, 33, confinedPlan(1, "", ""))
	all := cl.startAll("a1", "c1")
	cl.engine.textEvents = 3
	cl.engine.pauseAfter.Store(2)
	s := newSpec("job", 12)
	c.Assert(all[0].Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	cl.isolate(all[0])
	cl.await("c1 leads", func() bool { return all[1].JobCount() == 1 })
	cl.await("its items run", func() bool {
		return slices.ContainsFunc(cl.bodies.take(), func(s string) bool { return s != "entry c" })
	})
	all[1].navigator.Adopt(*confinedPlan(2, confiner.NewRegions("a", "b"), ""))
	all[1].navigator.Adopt(*confinedPlan(3, confiner.NewRegions("b"), ""))
	<-cl.clock.After(20 * time.Millisecond).C()
	cl.bodies.take()
	<-cl.clock.After(time.Second).C()
	c.Assert(cl.bodies.take(), qt.HasLen, 0)
	cl.engine.pauseAfter.Store(0)
	cl.plan = confinedPlan(3, confiner.NewRegions("b"), "")
	b := cl.start("b1")
	cl.await("b1 leads", func() bool { return b.JobCount() == 1 && all[1].JobCount() == 0 })
	cl.await("the job is complete", func() bool {
		page, _ := b.Results(t.Context(), "team", "job", 0, readWait)
		return len(page.Results) == len(s.Items)
	})
	c.Assert(cl.bodies.take(), qt.DeepEquals, []string{"entry b", "item b", "score b"})
}

// Guards against a job that is accepted though no target may run its items or its scoring calls, and against one that is led by a process
// of another region than that of its client to which a peer passes it.
func TestUnservableJobsAreRefused(t *testing.T) {
	c := qt.New(t)
	b := confiner.NewRegions("b")
	for plan, want := range map[*navigator.Plan]conductor.Acceptance{
		confinedPlan(1, confiner.NewRegions("nowhere"), ""): conductor.Refused,
		confinedPlan(1, b, confiner.NewRegions("a")):        conductor.Refused,
		confinedPlan(1, b, b):                               conductor.Accepted,
	} {
		cl := newConfinedCluster(t, 34, plan)
		all := cl.startAll("a1", "c1")
		c.Check(all[0].Submit(t.Context(), newSpec("job", 4)), qt.Equals, want)
		_, found := all[0].Results(t.Context(), "team", "job", 0, 0)
		c.Check(found == conductor.Found, qt.Equals, want == conductor.Accepted)
		passed := newSpec("passed", 4)
		passed.Scope = confiner.NewScope("a", b)
		c.Check(all[1].AcceptForwarded(t.Context(), passed), qt.Equals, conductor.Declined)
	}
}

// Guards against texts of a confined job that become results of one which may be elsewhere.
func TestConfinedTextsAreNotReused(t *testing.T) {
	c := qt.New(t)
	cl := newConfinedCluster(t, 35, confinedPlan(1, confiner.NewRegions("b"), ""))
	p := cl.startAll("a1")[0]
	run := func(id string) {
		s := newSpec("job", 4)
		s.ID = identifier.Job(id)
		c.Assert(p.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
		cl.await("the job is complete", func() bool {
			page, _ := p.Results(t.Context(), "team", s.ID, 0, readWait)
			return slices.IndexFunc(page.Results, func(r batcher.Result) bool { return r.State != batcher.Completed }) < 0 && len(page.Results) == 4
		})
		c.Assert(p.EndJob(t.Context(), "team", s.ID), qt.Equals, conductor.Found)
	}
	run("first")
	p.navigator.Adopt(*confinedPlan(2, confiner.NewRegions("c"), ""))
	cl.bodies.take()
	run("second")
	c.Assert(slices.Contains(cl.bodies.take(), "item c"), qt.IsTrue)
}

// Guards against a job that is led outside of its regions because its record names a process there, as an earlier build may write it, and
// because that process starts again.
func TestConfinedJobIsGivenAway(t *testing.T) {
	c := qt.New(t)
	cl := newConfinedCluster(t, 36, confinedPlan(7, confiner.NewRegions("b"), ""))
	s := newSpec("job", 8)
	s.Scope = confiner.NewScope("a", confiner.NewRegions("b"))
	store := storer.NewStorer(cl.kv, cl.clock).WithPurpose(storer.PurposeRun)
	out, err := recorder.NewRecorder(store, codec.Jobs{}).Create(t.Context(), s, recorder.Owner{Node: "c1", Incarnation: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(out, qt.Equals, storer.Applied)
	outside := cl.restart("c1", 2)
	<-cl.clock.After(time.Second).C()
	c.Assert(outside.JobCount(), qt.Equals, 0)
	b := cl.start("b1")
	cl.await("b1 leads", func() bool { return b.JobCount() == 1 })
	c.Assert(slices.Contains(cl.bodies.take(), "entry c"), qt.IsFalse)
}

// blockingCaller is a forwarder.TargetClient whose calls end with their context.
type blockingCaller struct{ begun chan struct{} }

func (b blockingCaller) Call(ctx context.Context, _ forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	b.begun <- struct{}{}
	<-ctx.Done()
	return forwarder.Answer{}, forwarder.Broken
}

// Guards against an item that is sent although a configuration excludes its target since the target was chosen, and against one that goes
// on there.
func TestAttemptsFollowTheConfiguration(t *testing.T) {
	c := qt.New(t)
	clock, nav, route := &timer.Manual{}, &navigator.Navigator{}, router.NewRouter()
	caller := blockingCaller{begun: make(chan struct{}, 2)}
	view := router.NewView([]router.Target{{ID: "t", Service: "s", Region: "a"}})
	route.Adopt(view)
	reg := &registrar.Registrar{}
	conduct := conductor.NewConductor(conductor.Dependencies{
		Router: route, Registrar: reg, Navigator: nav, Caller: caller, Clock: clock, Region: "b",
		Forwarder: forwarder.NewForwarder(forwarder.Dependencies{Registrar: reg, Clock: clock}),
	})
	nav.Adopt(*confinedPlan(1, "", ""))
	run := func() <-chan *batcher.Job {
		target, _ := route.Choose(router.Requirements{Service: "s"})
		job := batcher.NewJob(batcher.Spec{ID: "j", Host: "h", Path: "/jobs/j", Items: []batcher.Item{{ID: "i"}}})
		done := make(chan *batcher.Job, 1)
		go func() {
			conduct.RunFirst(t.Context(), job, target)
			done <- job
		}()
		return done
	}
	running := run()
	<-caller.begun
	nav.Adopt(*confinedPlan(2, confiner.NewRegions("b"), ""))
	for moved := (*batcher.Job)(nil); moved == nil; {
		clock.Advance(10 * time.Millisecond)
		select {
		case moved = <-running:
		case <-time.After(time.Millisecond):
		}
	}
	c.Check(clock.Monotonic() < time.Second, qt.IsTrue, qt.Commentf("it went on for %v", clock.Monotonic()))
	due, _ := (<-run()).Due(clock.Monotonic())
	c.Check(due, qt.DeepEquals, []batcher.Demand{{Items: 1}})
	c.Check(caller.begun, qt.HasLen, 0)
}

// connectingCaller is a forwarder.TargetClient that calls change while it connects, and sends only what its gate still allows.
type connectingCaller struct {
	change func()
	sent   int
}

func (k *connectingCaller) Call(_ context.Context, c forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	if k.change(); !c.Gate.MaySend(c.Target.Zone, c.Target.Region) {
		return forwarder.Answer{}, forwarder.Excluded
	}
	k.sent++
	return forwarder.Answer{}, forwarder.Broken
}

// Guards against an item that is sent to a target which a configuration or an order excluded while the call connected, that waits longer
// for it, or for which a sound target is suspended.
func TestItemsAskBeforeTheyAreSent(t *testing.T) {
	c := qt.New(t)
	for _, k := range []struct {
		name   string
		change func(*navigator.Navigator, *evacuator.Evacuator)
		sent   int
	}{
		{"nothing", func(*navigator.Navigator, *evacuator.Evacuator) {}, 1},
		{"same region", func(n *navigator.Navigator, _ *evacuator.Evacuator) {
			n.Adopt(*confinedPlan(2, confiner.NewRegions("a", "b"), ""))
		}, 1},
		{"target's region", func(n *navigator.Navigator, _ *evacuator.Evacuator) {
			n.Adopt(*confinedPlan(2, confiner.NewRegions("b"), ""))
		}, 0},
		{"entry's region", func(n *navigator.Navigator, _ *evacuator.Evacuator) {
			n.Adopt(*confinedPlan(2, confiner.NewRegions("a"), ""))
		}, 0},
		{"zone", func(_ *navigator.Navigator, e *evacuator.Evacuator) {
			e.Apply(evacuator.Order{Zone: "za", Revision: 1})
		}, 0},
	} {
		clock, nav, zones, reg := &timer.Manual{}, &navigator.Navigator{}, &evacuator.Evacuator{}, &registrar.Registrar{}
		route := router.NewRouter()
		route.Adopt(router.NewView([]router.Target{{ID: "t", Service: "s", Zone: "za", Region: "a"}}))
		target, _ := route.Choose(router.Requirements{Service: "s"})
		reg.Put(registrar.Listing{ID: "t", Service: "s", Zone: "za", Slots: 1})
		caller := &connectingCaller{change: func() { k.change(nav, zones) }}
		conduct := conductor.NewConductor(conductor.Dependencies{
			Router: route, Registrar: reg, Navigator: nav, Caller: caller, Clock: clock, Region: "b",
			Forwarder: forwarder.NewForwarder(forwarder.Dependencies{Registrar: reg, Clock: clock, Evacuator: zones}),
		})
		nav.Adopt(*confinedPlan(1, "", ""))
		job := batcher.NewJob(batcher.Spec{ID: "j", Host: "h", Path: "/jobs/j", Items: []batcher.Item{{ID: "i"}}})
		conduct.RunFirst(t.Context(), job, target)
		due, _ := job.Due(clock.Monotonic())
		c.Check(caller.sent, qt.Equals, k.sent, qt.Commentf(k.name))
		c.Check(due, qt.DeepEquals, []batcher.Demand{{Items: 1}}, qt.Commentf(k.name))
		c.Check(reg.TargetsToAvoid("s", "", 0, clock.Monotonic()), qt.HasLen, k.sent, qt.Commentf(k.name))
	}
}
