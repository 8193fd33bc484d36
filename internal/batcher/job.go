package batcher

import (
	"bytes"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// stage is how far an item has come.
type stage int

const (
	waiting stage = iota
	running
	scoring
	ended
)

// progress is the state of one item.
type progress struct {
	stage stage
	// after is the time before which a waiting item is not started again.
	after time.Duration
	// text holds the data of the events so far, and last the number of the last one.
	text     [][]byte
	last     int
	versions []identifier.Version
	// failures counts the answers that said that the item failed.
	failures int
	// whole is set when the text is complete.
	whole bool
}

// PartialText is the text of an item that has no result yet. It is immutable.
type PartialText struct {
	Item     identifier.Item
	Text     [][]byte
	Last     int
	Versions []identifier.Version
	// Whole is set when the text is complete and the item waits for its score.
	Whole bool
}

// Task is an item that is to run now, with what it has already. It is immutable.
type Task struct {
	Index int
	Item  Item
	// Whole is set when only the score is missing.
	Whole bool
	// Had is the number of events that are there, and Last the number of the last one.
	Had  int
	Last int
}

// Job is one batch job at the process that leads it.
//
// Invariants: an item has one result; a result is readable only once it is durable, and then keeps its position; a text
// grows only by the event that follows its last one. Lock rank: container.RankBatcher.
type Job struct {
	lock     container.Lock[container.Batcher]
	spec     Spec
	order    []int
	items    []progress
	byID     map[identifier.Item]int
	listed   []Result
	pending  []Result
	finished bool
	changed  chan struct{}
	ended    chan struct{}
}

// NewJob returns a job with the results that are already durable.
func NewJob(s Spec, listed ...Result) *Job {
	j := &Job{
		spec: s, order: s.order(), items: make([]progress, len(s.Items)), byID: make(map[identifier.Item]int, len(s.Items)),
		ended: make(chan struct{}),
	}
	for i, item := range s.Items {
		j.byID[item.ID] = i
	}
	j.listed = slices.Clone(listed)
	for _, r := range listed {
		if i, ok := j.byID[r.Item]; ok {
			j.items[i].stage = ended
		}
	}
	return j
}

// Resume takes over texts that another process has made. Texts that hold a version that is too old are dropped.
func (j *Job) Resume(parts []PartialText) {
	j.lock.Lock()
	defer j.lock.Unlock()
	for _, part := range parts {
		i, ok := j.byID[part.Item]
		old := slices.ContainsFunc(part.Versions, func(v identifier.Version) bool { return v < j.spec.Least })
		if p := &j.items[i]; ok && !old && p.stage == waiting && len(p.text) == 0 {
			p.text, p.last, p.versions, p.whole = part.Text, part.Last, slices.Clone(part.Versions), part.Whole
		}
	}
}

// Parts returns the texts of the items that have no result yet.
func (j *Job) Parts() []PartialText {
	j.lock.Lock()
	defer j.lock.Unlock()
	var parts []PartialText
	for i, p := range j.items {
		if p.stage != ended && len(p.text) > 0 {
			parts = append(parts, PartialText{
				Item: j.spec.Items[i].ID, Text: slices.Clone(p.text), Last: p.last, Versions: slices.Clone(p.versions), Whole: p.whole,
			})
		}
	}
	return parts
}

// Kept returns the texts of those items that come again, unchanged, in another job. A completed item is scored anew there.
func (j *Job) Kept(next Spec) []PartialText {
	again := make(map[identifier.Item]bool)
	for _, item := range next.Items {
		if i, ok := j.byID[item.ID]; ok && bytes.Equal(item.Body, j.spec.Items[i].Body) {
			again[item.ID] = true
		}
	}
	if len(again) == 0 {
		return nil
	}
	kept := slices.DeleteFunc(j.Parts(), func(p PartialText) bool { return !again[p.Item] })
	j.lock.Lock()
	defer j.lock.Unlock()
	for _, r := range slices.Concat(j.listed, j.pending) {
		if r.State == Completed && again[r.Item] {
			kept = append(kept, PartialText{Item: r.Item, Text: [][]byte{r.Output}, Versions: slices.Clone(r.Versions), Whole: true})
		}
	}
	return kept
}

// Spec returns the job as it was submitted.
func (j *Job) Spec() Spec { return j.spec }

// Next starts the next item that is due. Without one it returns when the next is, or zero if none waits.
func (j *Job) Next(now time.Duration) (Task, bool, time.Duration) {
	j.lock.Lock()
	defer j.lock.Unlock()
	next := time.Duration(0)
	if j.finished {
		return Task{}, false, 0
	}
	for _, i := range j.order {
		p := &j.items[i]
		if p.stage != waiting {
			continue
		}
		if p.after <= now {
			p.stage = running
			return Task{Index: i, Item: j.spec.Items[i], Whole: p.whole, Had: len(p.text), Last: p.last}, true, 0
		}
		if next == 0 || p.after < next {
			next = p.after
		}
	}
	return Task{}, false, next
}

// Current returns a running item with what it has by now.
func (j *Job) Current(i int) Task {
	j.lock.Lock()
	defer j.lock.Unlock()
	return Task{Index: i, Item: j.spec.Items[i], Had: len(j.items[i].text), Last: j.items[i].last}
}

// Append adds an event to the text of a running item. It reports false if the event does not follow the last one, if
// the job has ended, or if the version may not make text of this job; the attempt must end then.
func (j *Job) Append(i, number int, data []byte, v identifier.Version, single bool) bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	p := &j.items[i]
	if j.finished || p.stage != running || v < j.spec.Least || len(p.text) > 0 && number != p.last+1 {
		return false
	}
	if !slices.Contains(p.versions, v) {
		if single && len(p.versions) > 0 {
			return false
		}
		p.versions = append(p.versions, v)
	}
	p.text, p.last = append(p.text, bytes.Clone(data)), number
	return true
}

// Restart drops the text of a running item, so that its next attempt makes all of it.
func (j *Job) Restart(i int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	p := &j.items[i]
	p.text, p.last, p.versions, p.whole = nil, 0, nil, false
}

// Retry puts a running item back; it is not started before after.
func (j *Job) Retry(i int, after time.Duration) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if p := &j.items[i]; p.stage == running {
		p.stage, p.after = waiting, after
	}
}

// Fail counts an answer that said that the item failed, and reports whether that was the last attempt allowed.
func (j *Job) Fail(i, most int) bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.items[i].failures++
	return j.items[i].failures >= most
}

// Whole marks the text of a running item as complete. It reports whether the item still has to be scored.
func (j *Job) Whole(i int) bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	p := &j.items[i]
	if p.stage != running {
		return false
	}
	p.whole = true
	if j.spec.Items[i].Score.ID != "" {
		p.stage = scoring
		return true
	}
	j.list(i, Completed, "")
	return false
}

// Scored ends an item with the score of its text.
func (j *Job) Scored(i int, score string) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.items[i].stage == scoring {
		j.list(i, Completed, score)
	}
}

// Abandon gives an item up.
func (j *Job) Abandon(i int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.items[i].stage != ended {
		j.list(i, Abandoned, "")
	}
}

// AbandonWaiting gives up the items that no target is working on.
func (j *Job) AbandonWaiting() {
	j.lock.Lock()
	defer j.lock.Unlock()
	for i := range j.items {
		if j.items[i].stage == waiting {
			j.list(i, Abandoned, "")
		}
	}
}

// Pending returns the results that are not durable yet and the position of the first.
func (j *Job) Pending() (from int, results []Result) {
	j.lock.Lock()
	defer j.lock.Unlock()
	return len(j.listed), slices.Clone(j.pending)
}

// Durable makes the first n pending results readable, if the first of them has position from. Two writes of the same
// results may both be confirmed; the second one changes nothing.
func (j *Job) Durable(from, n int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if from != len(j.listed) {
		return
	}
	j.listed = append(j.listed, j.pending[:n]...)
	j.pending = slices.Clone(j.pending[n:])
	j.wake()
}

// Finish ends the job: no further item starts and no further event is taken.
func (j *Job) Finish() {
	j.lock.Lock()
	defer j.lock.Unlock()
	if !j.finished {
		j.finished = true
		close(j.ended)
		j.wake()
	}
}

// Ended returns a channel that is closed when the job ends.
func (j *Job) Ended() <-chan struct{} { return j.ended }

// Finished reports whether the job has ended.
func (j *Job) Finished() bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.finished
}

// Done reports whether every item has a durable result.
func (j *Job) Done() bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	return len(j.listed) == len(j.items)
}

// Unfinished returns the number of items that still run; zero once the job has ended.
func (j *Job) Unfinished() int {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.finished {
		return 0
	}
	return len(j.items) - len(j.listed) - len(j.pending)
}

// Results returns the readable results from position after on, at most limit bytes of them but at least one, and a
// channel that is closed at the next change.
func (j *Job) Results(after int, limit int) ([]Result, <-chan struct{}) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.changed == nil {
		j.changed = make(chan struct{})
	}
	if after < 0 || after >= len(j.listed) {
		return nil, j.changed
	}
	return Page(j.listed[after:], limit), j.changed
}

// Watch returns a channel that is closed at the next change.
func (j *Job) Watch() <-chan struct{} {
	_, changed := j.Results(-1, 0)
	return changed
}

// Page returns the first results, at most limit bytes of them but at least one.
func Page(all []Result, limit int) []Result {
	size := 0
	for n, r := range all {
		size += len(r.Output) + resultOverhead
		if size > limit && n > 0 {
			return slices.Clone(all[:n])
		}
	}
	return slices.Clone(all)
}

// resultOverhead is the size of a result besides its output, in bytes, rounded up.
const resultOverhead = 256

// list appends the result of an item. The caller holds the lock.
func (j *Job) list(i int, s State, score string) {
	p := &j.items[i]
	r := Result{Item: j.spec.Items[i].ID, State: s}
	if s == Completed {
		r.Output, r.Versions, r.Score = bytes.Join(p.text, []byte("\n")), slices.Sorted(slices.Values(p.versions)), score
	}
	*p = progress{stage: ended}
	j.pending = append(j.pending, r)
	j.wake()
}

func (j *Job) wake() {
	if j.changed != nil {
		close(j.changed)
		j.changed = nil
	}
}
