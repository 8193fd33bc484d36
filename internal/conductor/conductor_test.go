package conductor_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
)

// readWait is how long a read waits for the first result.
const readWait = 5 * time.Millisecond

// faultPeriod is the time between two steps of the faults, and engineTime the time that an engine takes for a call.
const (
	faultPeriod = 150 * time.Millisecond
	engineTime  = 60 * time.Millisecond
)

// reader reads a job as a trainer does, at any process, and checks that no position changes.
type reader struct {
	world *world
	spec  batcher.Spec
	seen  []batcher.Result
}

// next reads once at a process that the store and its peers reach.
func (r *reader) next(c *qt.C, p *process) {
	after := len(r.seen)
	if after > 0 && after%7 == 0 {
		after = rand.IntN(after)
	}
	page, found := p.Results(c.Context(), "team", r.spec.ID, after, readWait)
	if found == conductor.Unsure {
		return
	}
	c.Assert(found, qt.Equals, conductor.Found, qt.Commentf("job %s at %s", r.spec.ID, p.node))
	c.Assert(page.Total, qt.Equals, len(r.spec.Items))
	for i, result := range page.Results {
		if at := after + i; at < len(r.seen) {
			c.Assert(result.Item, qt.Equals, r.seen[at].Item, qt.Commentf("position %d has changed", at))
			continue
		}
		r.seen = append(r.seen, result)
	}
}

// check checks the results of a whole job.
func (r *reader) check(c *qt.C) {
	items := make(map[identifier.Item]bool)
	for _, result := range r.seen {
		c.Assert(items[result.Item], qt.IsFalse, qt.Commentf("item %s has two results", result.Item))
		items[result.Item] = true
		if strings.HasPrefix(string(result.Item), "impossible") {
			c.Assert(result.State, qt.Equals, batcher.Abandoned)
			continue
		}
		c.Assert(result.State, qt.Equals, batcher.Completed, qt.Commentf("item %s", result.Item))
		c.Assert(string(result.Output), qt.Equals, output(string(result.Item)))
		c.Assert(result.Versions, qt.DeepEquals, []identifier.Version{5})
		c.Assert(result.Score, qt.Equals, "stamp-of-score-"+string(result.Item))
	}
	c.Assert(len(items), qt.Equals, len(r.spec.Items))
}

// Guards against items that are lost, doubled, mislabelled or changed while engines fail, answers of the store are lost,
// processes are cut off, replaced and healed, and jobs are submitted again elsewhere.
func TestJobsSurviveFaults(t *testing.T) {
	c := qt.New(t)
	const jobs, size = 20, 1000
	w := newWorld(t, 1, 0.05)
	w.engine.takes = engineTime
	processes := make([]*process, 0, 3)
	for i := range 3 {
		processes = append(processes, w.start(identifier.Node(fmt.Sprintf("n%d", i))))
	}
	random := rand.New(rand.NewPCG(7, 7))
	readers := make([]*reader, 0, jobs)
	for i := range jobs {
		s := job(fmt.Sprintf("job%d", i), size)
		first := processes[random.IntN(len(processes))]
		for first.Submit(t.Context(), s) != conductor.Accepted {
			first = processes[random.IntN(len(processes))]
		}
		c.Assert(processes[random.IntN(len(processes))].Submit(t.Context(), s), qt.Equals, conductor.Accepted)
		readers = append(readers, &reader{world: w, spec: s})
	}
	steps := w.clock.Every(faultPeriod)
	defer steps.Stop()
	faults := newFaults(w, random)
	for {
		select {
		case <-steps.C():
			faults.step()
		default:
		}
		open := 0
		for _, r := range readers {
			if len(r.seen) < size {
				open++
				r.next(c, processes[random.IntN(len(processes))])
			}
		}
		if open == 0 {
			break
		}
	}
	c.Assert(faults.cuts >= leastCuts, qt.IsTrue, qt.Commentf("only %d cuts", faults.cuts))
	for _, r := range readers {
		r.check(c)
	}
	t.Logf("%d items, %d calls to engines, %d writes, %d cuts", jobs*size, w.engine.calls.Load(), w.kv.Writes(), faults.cuts)
}

// leastCuts is the number of cuts without which a run shows too little.
const leastCuts = 2

// faults is the schedule of a world's faults: lost answers, dropped history, and one process at a time that is cut off
// for several steps.
type faults struct {
	world  *world
	random *rand.Rand
	round  int
	cuts   int
	lost   *process
}

func newFaults(w *world, random *rand.Rand) *faults { return &faults{world: w, random: random} }

func (f *faults) step() {
	f.round++
	switch f.round % 12 {
	case 1:
		f.world.kv.Set(keyvalue.Faults{Lose: 3})
	case 2:
		f.world.kv.Compact()
	case 3:
		f.lost = f.world.processes[f.random.IntN(len(f.world.processes))]
		f.world.cut(f.lost)
		f.cuts++
	case 11:
		f.world.heal(f.lost)
	}
}

// Guards against a job that is lost because the answer to its acceptance is, or because every process dies at once.
func TestAcceptedJobOutlivesItsProcess(t *testing.T) {
	for name, faults := range map[string]keyvalue.Faults{"answered": {}, "answer lost": {Lose: 1}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, 2, 0)
			first := w.start("first")
			s := job("job", 40)
			w.kv.Set(faults)
			c.Assert(first.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
			w.cut(first)
			second := w.start("second")
			r := &reader{world: w, spec: s}
			for len(r.seen) < len(s.Items) {
				r.next(c, second)
			}
			r.check(c)
		})
	}
}

// Guards against a job that runs although its submission was refused, and against a refusal of what may run.
func TestRefusedJobDoesNotRun(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 3, 0)
	p := w.start("n")
	w.kv.Set(keyvalue.Faults{Down: true})
	c.Assert(p.Submit(t.Context(), job("job", 4)), qt.Equals, conductor.Refused)
	w.kv.Set(keyvalue.Faults{})
	found := conductor.Unsure
	for found == conductor.Unsure {
		// The store still counts as down for a moment.
		_, found = p.Results(t.Context(), "team", "job", 0, 0)
	}
	c.Assert(found, qt.Equals, conductor.Missing)
	c.Assert(w.engine.calls.Load(), qt.Equals, int64(0))

	// A write that is lost once is sent again, so only one that is lost each time leaves the acceptance open.
	w.kv.Set(keyvalue.Faults{Delay: 100})
	c.Assert(p.Submit(t.Context(), job("late", 4)), qt.Equals, conductor.Undecided)
	w.kv.Set(keyvalue.Faults{})
	w.kv.CarryOut()
	r := &reader{world: w, spec: job("late", 4)}
	for len(r.seen) < 4 {
		r.next(c, p)
	}
	r.check(c)
}

// Guards against items that run after the end of their job, against an end that can't be repeated, and against results
// that an end takes away.
func TestEndStopsTheJob(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 4, 0.3)
	a, b := w.start("a"), w.start("b")
	s := job("job", 3000)
	c.Assert(a.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	r := &reader{world: w, spec: s}
	for len(r.seen) < 20 {
		r.next(c, b)
	}
	for range 2 {
		c.Assert(b.End(t.Context(), "team", "job"), qt.Equals, conductor.Found)
	}
	c.Assert(b.End(t.Context(), "team", "none"), qt.Equals, conductor.Missing)
	c.Assert(b.End(t.Context(), "other", "job"), qt.Equals, conductor.Missing)
	// The owner learns of the end by its watch; once a read of its own shows that, nothing may start.
	for {
		changed := w.engine.calls.Load()
		<-w.clock.After(500 * time.Millisecond).C()
		if w.engine.calls.Load() == changed {
			break
		}
	}
	w.engine.ended.Store("job", true)
	<-w.clock.After(500 * time.Millisecond).C()
	c.Assert(w.engine.late.Load(), qt.Equals, int64(0))
	seen := len(r.seen)
	for _, p := range []*process{a, b} {
		page, found := p.Results(t.Context(), "team", "job", 0, 0)
		c.Assert(found, qt.Equals, conductor.Found)
		c.Assert(len(page.Results) >= seen, qt.IsTrue)
	}
}

// Guards against text under a version that is too old for the job.
func TestOldVersionsAreMadeAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 5, 0)
	w.engine.version.Store(4)
	p := w.start("n")
	s := job("job", 8)
	c.Assert(p.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	page, _ := p.Results(t.Context(), "team", "job", 0, 300*time.Millisecond)
	c.Assert(page.Results, qt.HasLen, 0)
	w.engine.version.Store(5)
	r := &reader{world: w, spec: s}
	for len(r.seen) < len(s.Items) {
		r.next(c, p)
	}
	r.check(c)
}

// Guards against bodies of items that can't be read before they are listed, at any process.
func TestBodies(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 6, 0)
	w.engine.version.Store(4)
	a, b := w.start("a"), w.start("b")
	c.Assert(a.Submit(t.Context(), job("job", 4)), qt.Equals, conductor.Accepted)
	for _, p := range []*process{a, b} {
		body, found := p.Body(t.Context(), "team", "job", "job:2")
		c.Assert(found, qt.Equals, conductor.Found)
		c.Assert(string(body), qt.Equals, "job:2")
		_, found = p.Body(t.Context(), "team", "job", "none")
		c.Assert(found, qt.Equals, conductor.Missing)
		_, found = p.Body(t.Context(), "other", "job", "job:2")
		c.Assert(found, qt.Equals, conductor.Missing)
	}
	w.kv.Set(keyvalue.Faults{Down: true})
	_, found := b.Body(t.Context(), "team", "another", "x")
	c.Assert(found, qt.Equals, conductor.Unsure)
}
