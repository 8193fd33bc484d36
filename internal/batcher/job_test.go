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

func newSpec(groups, size int) batcher.Spec {
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

// jobModel is the expected state of a job as seen through its methods.
type jobModel struct {
	job   *batcher.Job
	spec  batcher.Spec
	tasks map[int]batcher.Task
	// scoring holds the items whose text is complete and not yet scored.
	scoring []int
	durable []batcher.Result
	now     time.Duration
}

// Guards against results that change their content or position, items with two results, results that are readable
// before they are durable, texts with missing or repeated events, and weight versions that are too old.
func TestJobInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSpec(3, 2)
		m := &jobModel{job: batcher.NewJob(s), spec: s, tasks: make(map[int]batcher.Task)}
		t.Repeat(map[string]func(*rapid.T){
			"start":   m.start,
			"append":  m.append,
			"whole":   m.completeText,
			"score":   m.setScore,
			"retry":   m.retry,
			"abandon": m.abandon,
			"store":   m.store,
			"move":    m.moveToPeer,
			"":        m.check,
		})
	})
}

func (m *jobModel) pickRunning(t *rapid.T) int {
	if len(m.tasks) == 0 {
		t.Skip("no item is running")
	}
	running := make([]int, 0, len(m.tasks))
	for i := range m.tasks {
		running = append(running, i)
	}
	slices.Sort(running)
	return rapid.SampledFrom(running).Draw(t, "item")
}

func (m *jobModel) start(t *rapid.T) {
	task, ok := startNext(m.job, m.now)
	if !ok {
		t.Skip("no item is waiting")
	}
	if _, twice := m.tasks[task.Index]; twice {
		t.Fatalf("item %d was started while it is running", task.Index)
	}
	m.tasks[task.Index] = task
}

func (m *jobModel) append(t *rapid.T) {
	i := m.pickRunning(t)
	current := m.job.CurrentTask(i)
	number := current.LastEvent + rapid.IntRange(0, 2).Draw(t, "step")
	version := identifier.Version(rapid.IntRange(1, 4).Draw(t, "version"))
	ok := m.job.Append(i, number, []byte(strconv.Itoa(number)), version, false)
	want := version >= m.spec.Least && (current.Events == 0 || number == current.LastEvent+1)
	if ok != want {
		t.Fatalf("event %d after %d (%d events) of version %d: Append returned %v", number, current.LastEvent, current.Events, version, ok)
	}
}

func (m *jobModel) completeText(t *rapid.T) {
	i := m.pickRunning(t)
	if m.job.CurrentTask(i).Events == 0 {
		t.Skip("the item has no text")
	}
	delete(m.tasks, i)
	if !m.job.CompleteText(i) {
		t.Fatal("CompleteText reported that an item with a scoring call needs no score")
	}
	m.scoring = append(m.scoring, i)
}

func (m *jobModel) setScore(t *rapid.T) {
	if len(m.scoring) == 0 {
		t.Skip("no item waits for its score")
	}
	m.job.SetScore(m.scoring[0], "score")
	m.job.SetScore(m.scoring[0], "again")
	m.scoring = m.scoring[1:]
}

func (m *jobModel) retry(t *rapid.T) {
	i := m.pickRunning(t)
	if rapid.Bool().Draw(t, "restart") {
		m.job.DropText(i)
	}
	m.now += time.Second
	m.job.Retry(i, m.now)
	delete(m.tasks, i)
}

func (m *jobModel) abandon(t *rapid.T) {
	i := m.pickRunning(t)
	m.job.Abandon(i)
	m.job.Abandon(i)
	delete(m.tasks, i)
}

func (m *jobModel) store(t *rapid.T) {
	from, pending := m.job.Pending()
	if len(pending) == 0 {
		t.Skip("no result is pending")
	}
	if from != len(m.durable) {
		t.Fatalf("first pending position is %d, but %d results are durable", from, len(m.durable))
	}
	n := rapid.IntRange(1, len(pending)).Draw(t, "stored")
	m.job.MarkDurable(from, n)
	if rapid.Bool().Draw(t, "confirmed twice") {
		m.job.MarkDurable(from, n)
	}
	m.durable = append(m.durable, pending[:n]...)
}

// moveToPeer hands the job over to another process, which gets the durable results and the partial texts.
func (m *jobModel) moveToPeer(*rapid.T) {
	next := batcher.NewJob(m.spec, m.durable...)
	next.RestoreTexts(m.job.PartialTexts(), 0)
	m.job.Finish()
	m.job, m.tasks, m.scoring = next, make(map[int]batcher.Task), nil
}

func (m *jobModel) check(t *rapid.T) {
	results, _ := m.job.Results(0, 1<<20)
	if len(results) != len(m.durable) {
		t.Fatalf("%d results are readable, but %d are durable", len(results), len(m.durable))
	}
	items := make(map[identifier.Item]bool)
	for i, r := range results {
		if r.Item != m.durable[i].Item || !bytes.Equal(r.Output, m.durable[i].Output) || r.Score != m.durable[i].Score {
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
			t.Fatalf("text %q has a missing or repeated event", r.Output)
		}
		last = n
	}
	if len(r.Versions) == 0 || slices.Min(r.Versions) < 2 || r.Score != "score" {
		t.Fatalf("versions %v, score %q", r.Versions, r.Score)
	}
}

// Guards against long items that start last and so delay their groups.
func TestStartOrder(t *testing.T) {
	s := newSpec(3, 2)
	job := batcher.NewJob(s)
	var out strings.Builder
	for {
		task, ok := startNext(job, 0)
		if !ok {
			break
		}
		fmt.Fprintln(&out, task.Item.ID)
	}
	goldie.New(t).Assert(t, "order", []byte(out.String()))
}

// Guards against texts of several weight versions on routes that require a single one.
func TestSingleVersion(t *testing.T) {
	c := qt.New(t)
	job := batcher.NewJob(newSpec(1, 1))
	task, _ := startNext(job, 0)
	c.Assert(job.Append(task.Index, 1, []byte("a"), 2, true), qt.IsTrue)
	c.Assert(job.Append(task.Index, 2, []byte("b"), 3, true), qt.IsFalse)
	job.DropText(task.Index)
	c.Assert(job.Append(task.Index, 1, []byte("a"), 3, true), qt.IsTrue)
	c.Assert(job.Append(task.Index, 2, []byte("b"), 3, true), qt.IsTrue)
}

// Guards against partial texts of another process that contain a weight version older than the job allows.
func TestRestoreTextsDropsOldVersions(t *testing.T) {
	c := qt.New(t)
	job := batcher.NewJob(newSpec(1, 2))
	job.RestoreTexts([]batcher.PartialText{
		{Item: "g0-0", Text: [][]byte{[]byte("a")}, Last: 1, Versions: []identifier.Version{1, 2}},
		{Item: "g0-1", Text: [][]byte{[]byte("a")}, Last: 1, Versions: []identifier.Version{2}},
	}, 0)
	had := make(map[identifier.Item]int)
	for range 2 {
		task, _ := startNext(job, 0)
		had[task.Item.ID] = task.Events
	}
	c.Assert(had, qt.DeepEquals, map[identifier.Item]int{"g0-0": 0, "g0-1": 1})
}

// Guards against texts that are generated again although an earlier job has them, and against reuse of the text of an
// item whose body has changed.
func TestReusableTexts(t *testing.T) {
	c := qt.New(t)
	s := newSpec(2, 2)
	for i := range s.Items {
		s.Items[i].Body = []byte(s.Items[i].ID)
	}
	earlier := batcher.NewJob(s)
	for range s.Items {
		task, _ := startNext(earlier, 0)
		c.Assert(earlier.Append(task.Index, 1, []byte(task.Item.ID+"/1"), 2, false), qt.IsTrue)
		switch task.Item.ID {
		case "g0-0":
			earlier.CompleteText(task.Index)
			earlier.SetScore(task.Index, "score")
		case "g0-1":
			earlier.CompleteText(task.Index)
		}
	}
	earlier.Finish()
	next := newSpec(2, 2)
	for i := range next.Items {
		next.Items[i].Body = []byte(next.Items[i].ID)
	}
	next.Items[3].Body = []byte("changed")
	job := batcher.NewJob(next)
	job.RestoreTexts(earlier.ReusableTexts(next), 0)
	var out strings.Builder
	for range next.Items {
		task, _ := startNext(job, 0)
		fmt.Fprintf(&out, "%s had %d whole %v\n", task.Item.ID, task.Events, task.TextComplete)
	}
	goldie.New(t).Assert(t, "kept", []byte(out.String()))
	c.Assert(earlier.ReusableTexts(batcher.Spec{}), qt.HasLen, 0)
}

// Guards against a page that exceeds its limit although it holds more than one result, and against an empty page
// although there are results.
func TestFirstPage(t *testing.T) {
	c := qt.New(t)
	all := []batcher.Result{{Output: make([]byte, 1000)}, {Output: make([]byte, 1000)}, {Output: make([]byte, 1000)}}
	c.Assert(batcher.FirstPage(all, 10), qt.HasLen, 1)
	c.Assert(batcher.FirstPage(all, 2600), qt.HasLen, 2)
	c.Assert(batcher.FirstPage(all, 1<<20), qt.HasLen, 3)
	c.Assert(batcher.FirstPage(nil, 10), qt.HasLen, 0)
}

// startNext starts the first item that is due, whatever it needs of its target.
func startNext(job *batcher.Job, now time.Duration) (batcher.Task, bool) {
	due, _ := job.Due(now)
	if len(due) == 0 {
		return batcher.Task{}, false
	}
	return job.Next(now, due[0].Constraint)
}

// Guards against a text that goes on with events of a target of another software version than the one that generated it, also
// after it was handed to another process, and against an item that waits for ever for a version that is gone.
func TestTextsHoldOneRelease(t *testing.T) {
	c := qt.New(t)
	job := batcher.NewJob(newSpec(1, 3))
	task, _ := startNext(job, 0)
	job.Begin(task.Index, "a")
	c.Assert(job.Append(task.Index, 1, []byte("x"), 3, false), qt.IsTrue)
	job.Begin(task.Index, "b")
	c.Assert(job.Append(task.Index, 2, []byte("y"), 3, false), qt.IsFalse)
	job.Retry(task.Index, time.Second)

	next := batcher.NewJob(newSpec(1, 3))
	next.RestoreSavedTexts(job.PartialTexts(), time.Second)
	due, _ := next.Due(time.Second)
	begun := batcher.Constraint{Continues: true, Release: "a"}
	c.Assert(due, qt.DeepEquals, []batcher.Demand{{Constraint: begun, Items: 1}, {Items: 2}})
	c.Assert(next.RestartText(begun, 900*time.Millisecond), qt.IsFalse, qt.Commentf("not due for so long"))
	c.Assert(next.RestartText(begun, time.Second), qt.IsTrue)
	c.Assert(next.RestartText(begun, time.Second), qt.IsFalse)
	_, ok := next.Next(time.Second, begun)
	c.Assert(ok, qt.IsFalse)
	task, _ = next.Next(time.Second, batcher.Constraint{})
	c.Assert(task.Events, qt.Equals, 0)
}
