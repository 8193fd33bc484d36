package batcher

import (
	"bytes"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// stage is the stage of an item's processing.
type stage int

const (
	stageWaiting stage = iota
	stageRunning
	stageScoring
	stageEnded
)

// itemState holds the stage and the text of one item.
type itemState struct {
	stage stage
	// notBefore is the time before which a waiting item is not started again.
	notBefore time.Duration
	// events holds the data of the events received so far, and lastEvent the number of the last one.
	events    [][]byte
	lastEvent int
	versions  []identifier.Version
	// release is the software version of the target that generated the text so far, and runner that of the target which runs
	// the item now.
	release, runner identifier.Release
	// failures counts the answers that reported a failure of the item.
	failures int
	// complete is set when the text is complete.
	complete bool
	// saved is the number of events that are durable.
	saved int
}

// Task is an item that was started, with the state of its text. It is immutable.
type Task struct {
	Index int
	Item  Item
	// TextComplete is set when only the score is missing.
	TextComplete bool
	// Events is the number of events of the text so far, and LastEvent the number of the last one.
	Events    int
	LastEvent int
	// Release is the software version of the target that generated them.
	Release identifier.Release
}

// Job is the state of one batch job in the process that leads it.
//
// Invariants: an item has at most one result; a result is readable only once it is durable, and then keeps its
// position; a text grows only by the event that follows its last one, and holds events of one software version; a large job whose
// results are all durable has no bodies. Lock rank: container.RankBatcher.
type Job struct {
	lock container.Lock[container.Batcher]
	spec Spec
	// bodyBytes is the size of the bodies in spec, and bodiesDropped is set once it has none.
	bodyBytes     identifier.Bytes
	bodiesDropped bool
	startOrder    []int
	items         []itemState
	byID          map[identifier.Item]int
	durable       []Result
	pending       []Result
	finished      bool
	// groupLeft counts the items without a result of each group, and completeGroups the groups without such an item.
	groupLeft      map[identifier.Group]int
	completeGroups int
	// carried holds the groups that an earlier job of the trainer had and that are not complete yet.
	carried map[identifier.Group]bool
	// surplus holds the groups that the trainer does not wait for, as of the last call of Outlook.
	surplus map[identifier.Group]bool
	// stepPending is set while the pending results complete a group and the trainer can go on with them.
	stepPending bool
	changed     chan struct{}
	done        chan struct{}
}

// NewJob returns a job whose given results are already durable.
func NewJob(s Spec, durable ...Result) *Job {
	j := &Job{
		spec: s, startOrder: s.startOrder(), items: make([]itemState, len(s.Items)), byID: make(map[identifier.Item]int, len(s.Items)),
		done: make(chan struct{}), groupLeft: make(map[identifier.Group]int), bodyBytes: s.Size(),
	}
	for i, item := range s.Items {
		j.byID[item.ID] = i
		j.groupLeft[item.Group]++
	}
	j.durable = slices.Clone(durable)
	for _, r := range durable {
		if i, ok := j.byID[r.Item]; ok {
			j.items[i].stage = stageEnded
			j.countResult(i)
		}
	}
	j.dropBodies()
	return j
}

// Spec returns the job as it was submitted. A large job whose results are all durable has no bodies any more.
func (j *Job) Spec() Spec {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.spec
}

// Next starts the next due item that needs what c says.
func (j *Job) Next(now time.Duration, c Constraint) (Task, bool) {
	j.lock.Lock()
	defer j.lock.Unlock()
	i, ok := j.next(now, c)
	if !ok {
		return Task{}, false
	}
	j.items[i].stage = stageRunning
	return j.task(i), true
}

// Peek returns the item that Next would start, and does not start it.
func (j *Job) Peek(now time.Duration, c Constraint) (Task, bool) {
	j.lock.Lock()
	defer j.lock.Unlock()
	i, ok := j.next(now, c)
	if !ok {
		return Task{}, false
	}
	return j.task(i), true
}

// next returns the index of the next due item that needs what c says. The caller holds the lock.
func (j *Job) next(now time.Duration, c Constraint) (int, bool) {
	if j.finished {
		return 0, false
	}
	for _, i := range j.startOrder {
		if p := &j.items[i]; p.stage == stageWaiting && p.notBefore <= now && p.constraint() == c {
			return i, true
		}
	}
	return 0, false
}

// Due returns how many items are due, by what they need of their target and in the order in which they start, and the time at
// which the next one will be if none is, or zero if no item waits.
func (j *Job) Due(now time.Duration) (due []Demand, next time.Duration) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.finished {
		return nil, 0
	}
	for _, i := range j.startOrder {
		p := &j.items[i]
		switch {
		case p.stage != stageWaiting:
		case p.notBefore <= now:
			due = addDemand(due, p.constraint(), j.surplus[j.spec.Items[i].Group])
		case next == 0 || p.notBefore < next:
			next = p.notBefore
		}
	}
	return due, next
}

// CurrentTask returns a running item with the current state of its text.
func (j *Job) CurrentTask(i int) Task {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.task(i)
}

// task returns an item with the state of its text. The caller holds the lock.
func (j *Job) task(i int) Task {
	p := &j.items[i]
	return Task{
		Index: i, Item: j.spec.Items[i], TextComplete: p.complete, Events: len(p.events), LastEvent: p.lastEvent, Release: p.release,
	}
}

// Begin records the software version of the target that runs an item from now on.
func (j *Job) Begin(i int, r identifier.Release) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.items[i].runner = r
}

// Append adds an event to the text of a running item. It returns false, and the attempt must end, if the event does
// not follow the last one, if the target runs another software version than the one that generated the text, if the job has
// finished, or if the weight version is older than Spec.Least or, if single is set, differs from that of the text.
func (j *Job) Append(i, number int, data []byte, v identifier.Version, single bool) bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	p := &j.items[i]
	if j.finished || p.stage != stageRunning || v < j.spec.Least ||
		len(p.events) > 0 && (number != p.lastEvent+1 || p.runner != p.release) {
		return false
	}
	if !slices.Contains(p.versions, v) {
		if single && len(p.versions) > 0 {
			return false
		}
		p.versions = append(p.versions, v)
	}
	p.events, p.lastEvent, p.release = append(p.events, bytes.Clone(data)), number, p.runner
	return true
}

// DropText drops the text of a running item, so that the next attempt generates it from the start.
func (j *Job) DropText(i int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.items[i].dropText()
}

func (p *itemState) dropText() {
	p.events, p.lastEvent, p.versions, p.complete, p.saved, p.release = nil, 0, nil, false, 0, ""
}

// Retry makes a running item wait again. Next does not return it before notBefore.
func (j *Job) Retry(i int, notBefore time.Duration) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if p := &j.items[i]; p.stage == stageRunning {
		p.stage, p.notBefore = stageWaiting, notBefore
	}
}

// CountFailure counts an answer that reported a failure of the item, and reports whether the limit is reached.
func (j *Job) CountFailure(i, limit int) bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.items[i].failures++
	return j.items[i].failures >= limit
}

// CompleteText marks the text of a running item as complete, and reports whether the item still has to be scored.
func (j *Job) CompleteText(i int) bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	p := &j.items[i]
	if p.stage != stageRunning {
		return false
	}
	p.complete = true
	if j.spec.Items[i].Score.ID != "" {
		p.stage = stageScoring
		return true
	}
	j.addResult(i, Completed, "")
	return false
}

// SetScore completes an item with the score of its text.
func (j *Job) SetScore(i int, score string) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.items[i].stage == stageScoring {
		j.addResult(i, Completed, score)
	}
}

// Abandon ends an item as Abandoned, without output, unless it has a result already.
func (j *Job) Abandon(i int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.items[i].stage != stageEnded {
		j.addResult(i, Abandoned, "")
	}
}

// AbandonWaiting abandons the items that are neither running nor being scored.
func (j *Job) AbandonWaiting() {
	j.lock.Lock()
	defer j.lock.Unlock()
	for i := range j.items {
		if j.items[i].stage == stageWaiting {
			j.addResult(i, Abandoned, "")
		}
	}
}

// Pending returns the results that are not durable yet and the position of the first.
func (j *Job) Pending() (from int, results []Result) {
	j.lock.Lock()
	defer j.lock.Unlock()
	return len(j.durable), slices.Clone(j.pending)
}

// MarkDurable makes the first n pending results readable if the first of them has position from. Two writes of the
// same results may both be confirmed; the second confirmation has no effect.
func (j *Job) MarkDurable(from, n int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if from != len(j.durable) {
		return
	}
	j.durable = append(j.durable, j.pending[:n]...)
	j.pending = slices.Clone(j.pending[n:])
	j.stepPending = j.stepPending && len(j.pending) > 0
	j.dropBodies()
	j.notifyChange()
}

// Finish stops the job in this process: no further item starts and no further event is accepted.
func (j *Job) Finish() {
	j.lock.Lock()
	defer j.lock.Unlock()
	if !j.finished {
		j.finished = true
		close(j.done)
		j.notifyChange()
	}
}

// Done returns a channel that is closed when the job finishes.
func (j *Job) Done() <-chan struct{} { return j.done }

// Finished reports whether Finish was called.
func (j *Job) Finished() bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.finished
}

// AllDurable reports whether every item has a durable result.
func (j *Job) AllDurable() bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	return len(j.durable) == len(j.items)
}

// Unfinished returns the number of items without a result, or zero once the job has finished.
func (j *Job) Unfinished() int {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.finished {
		return 0
	}
	return len(j.items) - len(j.durable) - len(j.pending)
}

// Results returns the durable results starting at position after, at most limit bytes of them but at least one, and a
// channel that is closed at the next change.
func (j *Job) Results(after int, limit int) ([]Result, <-chan struct{}) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.changed == nil {
		j.changed = make(chan struct{})
	}
	if after < 0 || after >= len(j.durable) {
		return nil, j.changed
	}
	return FirstPage(j.durable[after:], limit), j.changed
}

// Watch returns a channel that is closed at the next change of the job's results or when the job finishes.
func (j *Job) Watch() <-chan struct{} {
	_, changed := j.Results(-1, 0)
	return changed
}

// addResult ends an item and appends its result to the pending ones. The caller holds the lock.
func (j *Job) addResult(i int, s State, score string) {
	p := &j.items[i]
	r := Result{Item: j.spec.Items[i].ID, State: s}
	if s == Completed {
		r.Output, r.Versions, r.Score = bytes.Join(p.events, []byte("\n")), slices.Sorted(slices.Values(p.versions)), score
	}
	*p = itemState{stage: stageEnded}
	j.pending = append(j.pending, r)
	if j.countResult(i) && j.completeGroups >= j.spec.Desired && len(j.carried) == 0 {
		j.stepPending = true
	}
	j.notifyChange()
}

func (j *Job) notifyChange() {
	if j.changed != nil {
		close(j.changed)
		j.changed = nil
	}
}
