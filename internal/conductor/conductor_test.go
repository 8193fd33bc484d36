package conductor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
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

// faultPeriod is the time between two steps of the fault schedule, and engineCallTime how long an engine takes for a
// call.
const (
	faultPeriod    = 150 * time.Millisecond
	engineCallTime = 60 * time.Millisecond
)

// reader reads the results of a job from any process, as a trainer does, and checks that no position changes.
type reader struct {
	cluster *cluster
	spec    batcher.Spec
	seen    []batcher.Result
}

// readPage reads one page from a process. It ignores a read that fails because the process does not reach the store.
func (r *reader) readPage(c *qt.C, p *process) {
	after := len(r.seen)
	if after > 0 && after%7 == 0 {
		after = rand.IntN(after)
	}
	page, found := p.Results(c.Context(), "team", r.spec.ID, after, readWait)
	if found == conductor.ReadFailed {
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

// checkComplete checks that every item has exactly one result with the expected content.
func (r *reader) checkComplete(c *qt.C) {
	items := make(map[identifier.Item]bool)
	for _, result := range r.seen {
		c.Assert(items[result.Item], qt.IsFalse, qt.Commentf("item %s has two results", result.Item))
		items[result.Item] = true
		if strings.HasPrefix(string(result.Item), "impossible") {
			c.Assert(result.State, qt.Equals, batcher.Abandoned)
			continue
		}
		c.Assert(result.State, qt.Equals, batcher.Completed, qt.Commentf("item %s", result.Item))
		c.Assert(string(result.Output), qt.Equals, fullText(string(result.Item)))
		c.Assert(result.Versions, qt.DeepEquals, []identifier.Version{5})
		c.Assert(result.Score, qt.Equals, "stamp-of-score-"+string(result.Item))
	}
	c.Assert(len(items), qt.Equals, len(r.spec.Items))
}

// Guards against items that are lost, have two results, carry the wrong weight version or change, while engines fail,
// answers of the store are lost, processes are isolated and reconnect, and jobs are submitted again to other
// processes.
func TestJobsSurviveFaults(t *testing.T) {
	c := qt.New(t)
	const jobs, size = 20, 1000
	cl := newCluster(t, 1, 0.05)
	// On a busy machine the test takes longer than jobs live elsewhere.
	cl.retention = time.Hour
	cl.engine.callTime = engineCallTime
	processes := make([]*process, 0, 3)
	for i := range 3 {
		processes = append(processes, cl.start(identifier.Node(fmt.Sprintf("n%d", i))))
	}
	random := rand.New(rand.NewPCG(7, 7))
	readers := make([]*reader, 0, jobs)
	for i := range jobs {
		s := newSpec(fmt.Sprintf("job%d", i), size)
		first := processes[random.IntN(len(processes))]
		for first.Submit(t.Context(), s) != conductor.Accepted {
			first = processes[random.IntN(len(processes))]
		}
		c.Assert(processes[random.IntN(len(processes))].Submit(t.Context(), s), qt.Equals, conductor.Accepted)
		readers = append(readers, &reader{cluster: cl, spec: s})
	}
	faults := newFaultSchedule(cl, rand.New(rand.NewPCG(7, 8)))
	ctx, endFaults := context.WithCancel(t.Context())
	var injecting sync.WaitGroup
	injecting.Go(func() { faults.run(ctx) })
	for {
		incomplete := 0
		for _, r := range readers {
			if len(r.seen) < size {
				incomplete++
				r.readPage(c, processes[random.IntN(len(processes))])
			}
		}
		if incomplete == 0 {
			break
		}
	}
	endFaults()
	injecting.Wait()
	c.Assert(faults.isolations >= minIsolations, qt.IsTrue, qt.Commentf("only %d isolated processes", faults.isolations))
	for _, r := range readers {
		r.checkComplete(c)
	}
	t.Logf("%d items, %d calls to engines, %d writes, %d isolated processes", jobs*size, cl.engine.calls.Load(), cl.kv.Writes(), faults.isolations)
}

// minIsolations is the number of isolated processes below which a run tests too little.
const minIsolations = 2

// faultSchedule injects faults into a cluster step by step: lost answers of the store, compacted history, and one
// process at a time that is isolated for several steps.
type faultSchedule struct {
	cluster    *cluster
	random     *rand.Rand
	round      int
	isolations int
	isolated   *process
}

func newFaultSchedule(cl *cluster, random *rand.Rand) *faultSchedule {
	return &faultSchedule{cluster: cl, random: random}
}

// run injects a step each faultPeriod until ctx ends. It does not wait for the readers, which take long where entries fail.
func (f *faultSchedule) run(ctx context.Context) {
	steps := f.cluster.clock.Every(faultPeriod)
	defer steps.Stop()
	for {
		select {
		case <-steps.C():
			f.step()
		case <-ctx.Done():
			return
		}
	}
}

func (f *faultSchedule) step() {
	f.round++
	switch f.round % 12 {
	case 1:
		f.cluster.kv.Set(keyvalue.Faults{LostAnswers: 3})
	case 2:
		f.cluster.kv.Compact()
	case 3:
		f.isolated = f.cluster.processes[f.random.IntN(len(f.cluster.processes))]
		f.cluster.isolate(f.isolated)
		f.isolations++
	case 11:
		f.cluster.reconnect(f.isolated)
	}
}

// Guards against an accepted job that is lost because the store's answer to its creation is lost, or because every
// process dies at once.
func TestAcceptedJobOutlivesItsProcess(t *testing.T) {
	for name, faults := range map[string]keyvalue.Faults{"answered": {}, "answer lost": {LostAnswers: 1}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(t, 2, 0)
			first := cl.start("first")
			s := newSpec("job", 40)
			cl.kv.Set(faults)
			c.Assert(first.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
			cl.isolate(first)
			second := cl.start("second")
			r := &reader{cluster: cl, spec: s}
			for len(r.seen) < len(s.Items) {
				r.readPage(c, second)
			}
			r.checkComplete(c)
		})
	}
}

// Guards against a job that runs although its submission was refused, and against a refusal of a job that may still
// run because its write is delayed.
func TestRefusedJobDoesNotRun(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 3, 0)
	p := cl.start("n")
	cl.kv.Set(keyvalue.Faults{Down: true})
	c.Assert(p.Submit(t.Context(), newSpec("job", 4)), qt.Equals, conductor.Refused)
	cl.kv.Set(keyvalue.Faults{})
	found := conductor.ReadFailed
	for found == conductor.ReadFailed {
		// The Storer treats the store as unavailable for a moment longer.
		_, found = p.Results(t.Context(), "team", "job", 0, 0)
	}
	c.Assert(found, qt.Equals, conductor.Missing)
	c.Assert(cl.engine.calls.Load(), qt.Equals, int64(0))

	// A lost write is repeated, so the acceptance stays undecided only if every repeat is lost too.
	cl.kv.Set(keyvalue.Faults{DelayedWrites: 100})
	c.Assert(p.Submit(t.Context(), newSpec("late", 4)), qt.Equals, conductor.AcceptanceUnknown)
	cl.kv.Set(keyvalue.Faults{})
	cl.kv.ApplyDelayed()
	r := &reader{cluster: cl, spec: newSpec("late", 4)}
	for len(r.seen) < 4 {
		r.readPage(c, p)
	}
	r.checkComplete(c)
}

// Guards against items that start after their job has ended, against an end that is not idempotent, and against
// results that an end removes.
func TestEndStopsTheJob(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 4, 0.3)
	a, b := cl.start("a"), cl.start("b")
	s := newSpec("job", 3000)
	c.Assert(a.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < 20 {
		r.readPage(c, b)
	}
	for range 2 {
		c.Assert(b.EndJob(t.Context(), "team", "job"), qt.Equals, conductor.Found)
	}
	c.Assert(b.EndJob(t.Context(), "team", "none"), qt.Equals, conductor.Missing)
	c.Assert(b.EndJob(t.Context(), "other", "job"), qt.Equals, conductor.Missing)
	// The owner learns of the end when it reads the record again. Once the number of calls no longer rises, no item
	// may start.
	for {
		changed := cl.engine.calls.Load()
		<-cl.clock.After(500 * time.Millisecond).C()
		if cl.engine.calls.Load() == changed {
			break
		}
	}
	cl.engine.endedJobs.Store("job", true)
	<-cl.clock.After(500 * time.Millisecond).C()
	c.Assert(cl.engine.lateCalls.Load(), qt.Equals, int64(0))
	seen := len(r.seen)
	for _, p := range []*process{a, b} {
		page, found := p.Results(t.Context(), "team", "job", 0, 0)
		c.Assert(found, qt.Equals, conductor.Found)
		c.Assert(len(page.Results) >= seen, qt.IsTrue)
	}
}

// Guards against results that contain text of a weight version older than the job allows.
func TestOldVersionsAreRegenerated(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 5, 0)
	cl.engine.version.Store(4)
	p := cl.start("n")
	s := newSpec("job", 8)
	c.Assert(p.Submit(t.Context(), s), qt.Equals, conductor.Accepted)
	page, _ := p.Results(t.Context(), "team", "job", 0, 300*time.Millisecond)
	c.Assert(page.Results, qt.HasLen, 0)
	cl.engine.version.Store(5)
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < len(s.Items) {
		r.readPage(c, p)
	}
	r.checkComplete(c)
}

// Guards against item bodies that can't be read at every process before the items have results.
func TestItemBodies(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 6, 0)
	cl.engine.version.Store(4)
	a, b := cl.start("a"), cl.start("b")
	c.Assert(a.Submit(t.Context(), newSpec("job", 4)), qt.Equals, conductor.Accepted)
	for _, p := range []*process{a, b} {
		body, found := p.ItemBody(t.Context(), "team", "job", "job:2")
		c.Assert(found, qt.Equals, conductor.Found)
		c.Assert(string(body), qt.Equals, "job:2")
		_, found = p.ItemBody(t.Context(), "team", "job", "none")
		c.Assert(found, qt.Equals, conductor.Missing)
		_, found = p.ItemBody(t.Context(), "other", "job", "job:2")
		c.Assert(found, qt.Equals, conductor.Missing)
	}
	cl.kv.Set(keyvalue.Faults{Down: true})
	_, found := b.ItemBody(t.Context(), "team", "another", "x")
	c.Assert(found, qt.Equals, conductor.ReadFailed)
}

// Guards against a text that counts as whole because a target answered with a success that holds no events.
func TestAnswerWithoutEventsCompletesNoText(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 1, 0)
	cl.engine.plainAnswers.Store(3)
	p := cl.start("n0")
	r := &reader{cluster: cl, spec: newSpec("job", 2)}
	c.Assert(p.Submit(t.Context(), r.spec), qt.Equals, conductor.Accepted)
	for len(r.seen) < len(r.spec.Items) {
		r.readPage(c, p)
	}
	r.checkComplete(c)
}

// Guards against a scoring call that is sent again and again with the same identity and each time gives its target more time
// than the one before: targets then work on calls whose time was up.
func TestRepeatedScoringCallsEndAtTheSameTime(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 1, 0)
	cl.engine.callTime = engineCallTime
	cl.engine.scoreFaults.Store(20)
	p := cl.start("n0")
	r := &reader{cluster: cl, spec: newSpec("job", 1)}
	c.Assert(p.Submit(t.Context(), r.spec), qt.Equals, conductor.Accepted)
	for len(r.seen) < 1 {
		r.readPage(c, p)
	}
	cl.engine.mutex.Lock()
	defer cl.engine.mutex.Unlock()
	first, last := slices.MinFunc(cl.engine.scoreEnds, time.Time.Compare), slices.MaxFunc(cl.engine.scoreEnds, time.Time.Compare)
	c.Assert(len(cl.engine.scoreEnds) > 20, qt.IsTrue)
	c.Assert(last.Sub(first) < maxEndSpread, qt.IsTrue, qt.Commentf("the calls end within %v", last.Sub(first)))
}

// maxEndSpread is how much the ends of repeated calls may differ. The test itself adds the time from the call to its record.
const maxEndSpread = 500 * time.Millisecond
