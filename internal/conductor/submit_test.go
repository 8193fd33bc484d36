package conductor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
)

// jobsByProcess returns how many jobs each process of a cluster leads or keeps for readers.
func jobsByProcess(cl *cluster) map[identifier.Node]int {
	all := make(map[identifier.Node]int)
	for _, p := range cl.processes {
		if n := p.JobCount(); n > 0 {
			all[p.node] = n
		}
	}
	return all
}

// startProcesses starts n processes and waits until each of them knows all others.
func startProcesses(cl *cluster, n int) {
	for i := range n {
		cl.start(identifier.Node(fmt.Sprint("n", i)))
	}
	for _, p := range cl.processes {
		for p.Processes() < n {
			<-cl.clock.After(5 * time.Millisecond).C()
		}
	}
}

// Guards against jobs of one model that are led by several processes, each of which opens its own connections to all
// targets, and against submissions that fail because the process that leads the model's jobs is unreachable.
func TestJobsOfAModelShareALeader(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 21, 0)
	startProcesses(cl, 4)
	for i := range 8 {
		s := newSpec(fmt.Sprint("job", i), 8)
		c.Assert(cl.processes[i%4].Submit(t.Context(), s), qt.Equals, conductor.Accepted)
		r := &reader{cluster: cl, spec: s}
		for len(r.seen) < len(s.Items) {
			r.readPage(c, cl.processes[(i+1)%4])
		}
		r.checkComplete(c)
	}
	led := jobsByProcess(cl)
	c.Assert(led, qt.HasLen, 1)
	for _, p := range cl.processes {
		if led[p.node] > 0 {
			p.link.down.Store(true)
		}
	}
	for _, p := range cl.processes {
		if led[p.node] == 0 {
			c.Assert(p.Submit(t.Context(), newSpec("after-"+string(p.node), 4)), qt.Equals, conductor.Accepted)
		}
	}
}

// Guards against a process that accepts forwarded jobs of all models beyond its capacity.
func TestBusyProcessDeclines(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 22, 0)
	cl.engine.callTime = 300 * time.Millisecond
	startProcesses(cl, 2)
	large := func(model identifier.Model) batcher.Spec {
		s := newSpec("large-"+string(model), 250)
		s.Model = model
		return s
	}
	first, second := cl.processes[0], cl.processes[1]
	c.Assert(first.AcceptForwarded(t.Context(), large("a")), qt.Equals, conductor.Accepted)
	c.Assert(first.AcceptForwarded(t.Context(), large("b")), qt.Equals, conductor.Declined)
	c.Assert(second.AcceptForwarded(t.Context(), large("b")), qt.Equals, conductor.Accepted)
	// Jobs that callers submit to the process itself are still accepted.
	c.Assert(first.Accept(t.Context(), large("c")), qt.Equals, conductor.Accepted)
}

// Guards against a job of many streams that is led by a process with a small share of a processor: all its streams stall,
// and it moves them from one target to the next because each looks slow.
func TestLeadersHaveEnoughCores(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 23, 0)
	cl.cores = map[identifier.Node]float64{"n0": 0.8, "n1": 0.8, "n2": 0.14, "n3": 0.14, "n4": 0.14, "n5": 0.14}
	startProcesses(cl, len(cl.cores))
	for i := range 30 {
		s := newSpec(fmt.Sprint("job", i), 2)
		s.Model = identifier.Model(fmt.Sprint("model", i))
		c.Assert(cl.processes[i%len(cl.processes)].Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	}
	for node, jobs := range jobsByProcess(cl) {
		c.Assert(cl.cores[node], qt.Equals, 0.8, qt.Commentf("%s leads %d jobs", node, jobs))
	}
}

// Guards against a step that is refused by every entry of a region because the store turns away the one that leads the jobs
// of its model, while the others reach the store.
func TestSubmissionPassesLeaderWithoutStore(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 24, 0)
	startProcesses(cl, 4)
	c.Assert(cl.processes[0].Submit(t.Context(), newSpec("first", 4)), qt.Equals, conductor.Accepted)
	led := jobsByProcess(cl)
	for _, p := range cl.processes {
		p.link.turnedAway.Store(led[p.node] > 0)
	}
	for _, p := range cl.processes {
		c.Assert(p.Submit(t.Context(), newSpec("next-"+string(p.node), 4)), qt.Equals, conductor.Accepted, qt.Commentf("%s", p.node))
	}
}

// Guards against the items of an accepted job that are abandoned by an owner which has not read the configuration with its route yet,
// and against items that wait for a route that a later configuration removed.
func TestRouteThatIsNotReadYet(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 31, 0)
	a := cl.start("a")
	added := navigator.Route{
		Name: "added", Host: "h", Prefix: "/added/", Kind: navigator.Rollout, Shares: []navigator.Share{{Service: "s", Weight: 1}},
		MaxAttempts: 3, QueueTTL: time.Minute,
	}
	s := newSpec("job", 40)
	s.Path, s.Revision = "/added/job", 2
	c.Assert(a.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	page, _ := a.Results(t.Context(), "team", "job", 0, time.Second)
	c.Assert(page.Results, qt.HasLen, 0)
	a.navigator.Adopt(testPlan(added))
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < len(s.Items) {
		r.readPage(c, a)
	}
	r.checkComplete(c)

	removed := newSpec("removed", 4)
	removed.Path, removed.Revision = "/gone/job", 1
	c.Assert(a.Submit(t.Context(), removed), qt.Equals, conductor.Accepted)
	page, _ = a.Results(t.Context(), "team", "removed", 0, 5*time.Second)
	c.Assert(page.Results, qt.HasLen, 4)
	c.Assert(page.Results[0].State, qt.Equals, batcher.Abandoned)
}
