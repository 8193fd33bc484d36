package collector

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// stepsAhead is how many steps of groups a run holds. A submission beyond them is refused until the trainer has
	// acknowledged more.
	stepsAhead = 4
	// DefaultMemory bounds the finished samples that wait for the trainer, in bytes. At the bound no new group is
	// begun; groups that were begun are finished.
	DefaultMemory identifier.Bytes = 64 << 20
)

// Run is the aggregate of one training run in one owner's term.
//
// Invariants: a group is delivered only with all its samples; at most one batch is outstanding; an acknowledged group
// is not delivered again; no delivered sample has an unknown version or is older than the bound. Lock rank:
// container.RankCollector.
type Run struct {
	lock   container.Lock[container.Collector]
	spec   Spec
	fence  identifier.Fence
	judge  StragglerDetector
	memory identifier.Bytes
	cancel func(Rollout)

	current identifier.Version
	due     identifier.Version

	cursor      Cursor
	unconfirmed int
	confirmed   BatchID
	left        map[uint64]int
	groups      map[Group]*group
	ready       []Group
	outstanding *Batch
	// offeredFor is the number of the statement that the outstanding batch was last offered for.
	offeredFor uint64
	pull       uint64
	seq        uint64

	fresh     container.Queue[place]
	again     container.Queue[place]
	running   map[Rollout]*try
	abandoned []Rollout
	held      identifier.Bytes
	paces     container.Window[time.Duration]
	took      container.Window[time.Duration]
	counts    Counts
	idle      idle
	changed   chan struct{}
}

// place is the slot of one sample.
type place struct {
	group Group
	index int
}

// Option sets a property of a Run.
type Option func(*Run)

// WithStragglerDetector sets the policies that find stragglers.
func WithStragglerDetector(j StragglerDetector) Option { return func(r *Run) { r.judge = j } }

// WithMemory bounds the finished samples that wait, in bytes.
func WithMemory(b identifier.Bytes) Option { return func(r *Run) { r.memory = b } }

// WithCancel sets a function that is called, without a lock held, for each rollout that is no longer needed.
func WithCancel(f func(Rollout)) Option { return func(r *Run) { r.cancel = f } }

// NewRun returns a run as its stored state left it: the cursor and the submissions that are not wholly acknowledged.
func NewRun(s Spec, fence identifier.Fence, cursor Cursor, stored []Submission, opts ...Option) *Run {
	r := &Run{
		spec: s, fence: fence, cursor: cursor.WithNext(1), confirmed: cursor.Batch, judge: DefaultStragglerDetector(), memory: DefaultMemory,
		left: make(map[uint64]int), groups: make(map[Group]*group), running: make(map[Rollout]*try),
		paces: container.Window[time.Duration]{Capacity: paceWindow}, took: container.Window[time.Duration]{Capacity: paceWindow},
		cancel: func(Rollout) {}, idle: idle{takeover: fence > 1 && cursor.Groups > 0},
	}
	for _, o := range opts {
		o(r)
	}
	for _, sub := range stored {
		r.adopt(sub)
	}
	return r
}

// Spec returns what the trainer set.
func (r *Run) Spec() Spec { return r.spec }

// Changed returns a channel that is closed at the next change that a pull or a worker may wait for.
func (r *Run) Changed() <-chan struct{} {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// Admission is the answer to an offered submission.
type Admission int

const (
	// New means that the submission fits and is to be stored.
	New Admission = iota + 1
	// Known means that the submission was accepted before.
	Known
	// Full means that the run holds enough groups for now.
	Full
	// Gap means that an earlier number is missing.
	Gap
)

// Admit says whether a submission may be accepted, and the number of the next one.
func (r *Run) Admit(s Submission) (Admission, uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	switch limit := stepsAhead * r.spec.Groups(); {
	case s.Number < r.cursor.Next:
		return Known, r.cursor.Next
	case s.Number > r.cursor.Next:
		return Gap, r.cursor.Next
	case len(r.groups) > 0 && len(r.groups)+len(s.Prompts) > limit:
		return Full, r.cursor.Next
	default:
		return New, r.cursor.Next
	}
}

// AddSubmission takes over a stored submission. One that is known changes nothing.
func (r *Run) AddSubmission(s Submission) {
	r.lock.Lock()
	defer r.unlock()
	if s.Number == r.cursor.Next {
		r.adopt(s)
		r.notify()
	}
}

func (r *Run) adopt(s Submission) {
	r.cursor = r.cursor.WithNext(s.Number + 1)
	r.left[s.Number] = 0
	for i, p := range s.Prompts {
		id := Group{Submission: s.Number, Index: i}
		if r.cursor.Has(id) {
			continue
		}
		r.left[s.Number]++
		r.groups[id] = newGroup(p, r.spec.Group)
		for index := range r.spec.Group {
			r.fresh.Push(place{group: id, index: index})
		}
	}
}

// SetVersions tells the run which weight version is current and which one is on its way. Work that can't be fresh enough any
// more is given up at once.
func (r *Run) SetVersions(current, due identifier.Version) {
	r.lock.Lock()
	defer r.unlock()
	if current <= r.current && max(current, due) <= r.due {
		return
	}
	r.current = max(r.current, current)
	r.due = max(r.due, due, r.current)
	for id, t := range r.running {
		if t.oldest != 0 && r.tooOld(t.oldest, r.due) {
			r.giveUp(id, t)
		}
	}
	for id := range r.groups {
		r.refresh(id)
	}
	r.notify()
}

// refresh discards the samples of a group that are too old to be delivered. An outstanding batch is left alone: the
// trainer may have it.
func (r *Run) refresh(id Group) {
	g := r.groups[id]
	if g.offered {
		return
	}
	for i := range g.slots {
		s := &g.slots[i]
		if s.sample == nil || !r.tooOld(s.sample.Oldest(), r.current) {
			continue
		}
		r.discard(s)
		g.done--
		r.again.Push(place{group: id, index: i})
	}
	if g.ready && g.done < len(g.slots) {
		g.ready = false
		r.ready = slices.DeleteFunc(r.ready, func(o Group) bool { return o == id })
	}
}

// discard drops a finished sample and counts it as waste.
func (r *Run) discard(s *slot) {
	r.counts.OverAge++
	r.counts.Waste += s.sample.Tokens
	r.held -= s.sample.size()
	r.idle.remade = true
	s.sample = nil
}

func (r *Run) tooOld(oldest, at identifier.Version) bool {
	return oldest+identifier.Version(r.spec.Bound) < at
}

// giveUp cancels a running rollout and queues its sample again.
func (r *Run) giveUp(id Rollout, t *try) {
	r.drop(id, t)
	r.counts.OverAge++
	r.idle.remade = true
	r.requeue(id)
}

// drop cancels a running rollout; its tokens are waste.
func (r *Run) drop(id Rollout, t *try) {
	r.counts.Waste += t.tokens
	r.forget(id)
	r.abandoned = append(r.abandoned, id)
}

func (r *Run) forget(id Rollout) {
	delete(r.running, id)
	if g, ok := r.groups[id.Group]; ok {
		delete(g.slots[id.Index].tries, id.Try)
	}
}

// requeue queues the sample of a rollout again unless it is there or another try makes it.
func (r *Run) requeue(id Rollout) {
	if g, ok := r.groups[id.Group]; ok && g.slots[id.Index].sample == nil && len(g.slots[id.Index].tries) == 0 {
		r.again.Push(place{group: id.Group, index: id.Index})
	}
}

// wake lets whoever waits for a change look again.
func (r *Run) wake() {
	r.lock.Lock()
	defer r.unlock()
	r.notify()
}

func (r *Run) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// unlock releases the lock and then cancels what the command gave up.
func (r *Run) unlock() {
	abandoned := r.abandoned
	r.abandoned = nil
	r.lock.Unlock()
	for _, id := range abandoned {
		r.cancel(id)
	}
}
