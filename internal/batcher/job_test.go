package batcher_test

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

func spec(groups, size int) batcher.Spec {
	s := batcher.Spec{ID: "job", Least: 2, Desired: groups}
	for g := range groups {
		for i := range size {
			s.Items = append(s.Items, batcher.Item{
				ID: identifier.Item(fmt.Sprintf("g%d-%d", g, i)), Group: identifier.Group(fmt.Sprint(g)), Hint: 100*g + i,
				Score: batcher.ScoreCall{ID: identifier.Request(fmt.Sprintf("s%d-%d", g, i))},
			})
		}
	}
	return s
}

// model is what a job must look like from outside.
type model struct {
	job   *batcher.Job
	spec  batcher.Spec
	tasks map[int]batcher.Task
	// scoring are the items whose text is whole.
	scoring []int
	seen    []batcher.Result
	now     time.Duration
}

// Guards against results that change or move, items with two results, results that are readable before they are durable,
// texts with gaps or doubled events, and versions that are too old.
func TestJobKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec(3, 2)
		m := &model{job: batcher.NewJob(s), spec: s, tasks: make(map[int]batcher.Task)}
		t.Repeat(map[string]func(*rapid.T){
			"start":   m.start,
			"append":  m.append,
			"whole":   m.whole,
			"score":   m.score,
			"retry":   m.retry,
			"abandon": m.abandon,
			"store":   m.store,
			"move":    m.move,
			"":        m.check,
		})
	})
}

func (m *model) pick(t *rapid.T) int {
	if len(m.tasks) == 0 {
		t.Skip("nothing runs")
	}
	running := make([]int, 0, len(m.tasks))
	for i := range m.tasks {
		running = append(running, i)
	}
	slices.Sort(running)
	return rapid.SampledFrom(running).Draw(t, "item")
}

func (m *model) start(t *rapid.T) {
	task, ok, _ := m.job.Next(m.now)
	if !ok {
		t.Skip("nothing waits")
	}
	if _, twice := m.tasks[task.Index]; twice {
		t.Fatalf("item %d runs twice", task.Index)
	}
	m.tasks[task.Index] = task
}

func (m *model) append(t *rapid.T) {
	i := m.pick(t)
	current := m.job.Current(i)
	number := current.Last + rapid.IntRange(0, 2).Draw(t, "step")
	version := identifier.Version(rapid.IntRange(1, 4).Draw(t, "version"))
	ok := m.job.Append(i, number, []byte(strconv.Itoa(number)), version, false)
	want := version >= m.spec.Least && (current.Had == 0 || number == current.Last+1)
	if ok != want {
		t.Fatalf("event %d after %d (%d had) of version %d: accepted %v", number, current.Last, current.Had, version, ok)
	}
}

func (m *model) whole(t *rapid.T) {
	i := m.pick(t)
	if m.job.Current(i).Had == 0 {
		t.Skip("no text")
	}
	delete(m.tasks, i)
	if !m.job.Whole(i) {
		t.Fatal("a scored item needs its score")
	}
	m.scoring = append(m.scoring, i)
}

func (m *model) score(t *rapid.T) {
	if len(m.scoring) == 0 {
		t.Skip("nothing to score")
	}
	m.job.Scored(m.scoring[0], "score")
	m.job.Scored(m.scoring[0], "again")
	m.scoring = m.scoring[1:]
}

func (m *model) retry(t *rapid.T) {
	i := m.pick(t)
	if rapid.Bool().Draw(t, "restart") {
		m.job.Restart(i)
	}
	m.now += time.Second
	m.job.Retry(i, m.now)
	delete(m.tasks, i)
}

func (m *model) abandon(t *rapid.T) {
	i := m.pick(t)
	m.job.Abandon(i)
	m.job.Abandon(i)
	delete(m.tasks, i)
}

func (m *model) store(t *rapid.T) {
	from, pending := m.job.Pending()
	if len(pending) == 0 {
		t.Skip("nothing to store")
	}
	if from != len(m.seen) {
		t.Fatalf("position %d after %d results", from, len(m.seen))
	}
	n := rapid.IntRange(1, len(pending)).Draw(t, "stored")
	m.job.Durable(from, n)
	if rapid.Bool().Draw(t, "confirmed twice") {
		m.job.Durable(from, n)
	}
	m.seen = append(m.seen, pending[:n]...)
}

// move hands the job to another process: durable results and texts stay.
func (m *model) move(*rapid.T) {
	next := batcher.NewJob(m.spec, m.seen...)
	next.Resume(m.job.Parts())
	m.job.Finish()
	m.job, m.tasks, m.scoring = next, make(map[int]batcher.Task), nil
}

func (m *model) check(t *rapid.T) {
	results, _ := m.job.Results(0, 1<<20)
	if len(results) != len(m.seen) {
		t.Fatalf("%d results are readable, %d are durable", len(results), len(m.seen))
	}
	items := make(map[identifier.Item]bool)
	for i, r := range results {
		if r.Item != m.seen[i].Item || !bytes.Equal(r.Output, m.seen[i].Output) || r.Score != m.seen[i].Score {
			t.Fatalf("position %d has changed", i)
		}
		if items[r.Item] {
			t.Fatalf("item %s has two results", r.Item)
		}
		items[r.Item] = true
		if r.State == batcher.Completed {
			checkText(t, r)
		}
	}
}

func checkText(t *rapid.T, r batcher.Result) {
	last := -1
	for _, line := range strings.Split(string(r.Output), "\n") {
		n, err := strconv.Atoi(line)
		if err != nil || last >= 0 && n != last+1 {
			t.Fatalf("text %q has a gap", r.Output)
		}
		last = n
	}
	if len(r.Versions) == 0 || slices.Min(r.Versions) < 2 || r.Score != "score" {
		t.Fatalf("versions %v, score %q", r.Versions, r.Score)
	}
}

// Guards against long items that start last.
func TestOrderOfStart(t *testing.T) {
	s := spec(3, 2)
	job := batcher.NewJob(s)
	var out strings.Builder
	for {
		task, ok, _ := job.Next(0)
		if !ok {
			break
		}
		fmt.Fprintln(&out, task.Item.ID)
	}
	goldie.New(t).Assert(t, "order", []byte(out.String()))
}

// Guards against texts of mixed versions on routes that want one.
func TestSingleVersion(t *testing.T) {
	c := qt.New(t)
	job := batcher.NewJob(spec(1, 1))
	task, _, _ := job.Next(0)
	c.Assert(job.Append(task.Index, 1, []byte("a"), 2, true), qt.IsTrue)
	c.Assert(job.Append(task.Index, 2, []byte("b"), 3, true), qt.IsFalse)
	job.Restart(task.Index)
	c.Assert(job.Append(task.Index, 1, []byte("a"), 3, true), qt.IsTrue)
	c.Assert(job.Append(task.Index, 2, []byte("b"), 3, true), qt.IsTrue)
}

// Guards against texts with too old a version that are taken over from another process.
func TestResumeDropsOldText(t *testing.T) {
	c := qt.New(t)
	job := batcher.NewJob(spec(1, 2))
	job.Resume([]batcher.PartialText{
		{Item: "g0-0", Text: [][]byte{[]byte("a")}, Last: 1, Versions: []identifier.Version{1, 2}},
		{Item: "g0-1", Text: [][]byte{[]byte("a")}, Last: 1, Versions: []identifier.Version{2}},
	})
	had := make(map[identifier.Item]int)
	for range 2 {
		task, _, _ := job.Next(0)
		had[task.Item.ID] = task.Had
	}
	c.Assert(had, qt.DeepEquals, map[identifier.Item]int{"g0-0": 0, "g0-1": 1})
}

// Guards against texts that are made again although an earlier job has them, and against those of an item that has changed.
func TestKeptTextsOfItemsThatComeAgain(t *testing.T) {
	c := qt.New(t)
	s := spec(2, 2)
	for i := range s.Items {
		s.Items[i].Body = []byte(s.Items[i].ID)
	}
	earlier := batcher.NewJob(s)
	for range s.Items {
		task, _, _ := earlier.Next(0)
		c.Assert(earlier.Append(task.Index, 1, []byte(task.Item.ID+"/1"), 2, false), qt.IsTrue)
		switch task.Item.ID {
		case "g0-0":
			earlier.Whole(task.Index)
			earlier.Scored(task.Index, "score")
		case "g0-1":
			earlier.Whole(task.Index)
		}
	}
	earlier.Finish()
	next := spec(2, 2)
	for i := range next.Items {
		next.Items[i].Body = []byte(next.Items[i].ID)
	}
	next.Items[3].Body = []byte("changed")
	job := batcher.NewJob(next)
	job.Resume(earlier.Kept(next))
	var out strings.Builder
	for range next.Items {
		task, _, _ := job.Next(0)
		fmt.Fprintf(&out, "%s had %d whole %v\n", task.Item.ID, task.Had, task.Whole)
	}
	goldie.New(t).Assert(t, "kept", []byte(out.String()))
	c.Assert(earlier.Kept(batcher.Spec{}), qt.HasLen, 0)
}

// Guards against a page that is larger than its limit, or empty.
func TestPage(t *testing.T) {
	c := qt.New(t)
	all := []batcher.Result{{Output: make([]byte, 1000)}, {Output: make([]byte, 1000)}, {Output: make([]byte, 1000)}}
	c.Assert(batcher.Page(all, 10), qt.HasLen, 1)
	c.Assert(batcher.Page(all, 2600), qt.HasLen, 2)
	c.Assert(batcher.Page(all, 1<<20), qt.HasLen, 3)
	c.Assert(batcher.Page(nil, 10), qt.HasLen, 0)
}
