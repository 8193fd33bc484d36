package collector

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// stepsAhead is the number of steps whose groups a run holds. A submission beyond them is refused until the trainer
	// has acknowledged more groups.
	stepsAhead = 4
	// DefaultMemory bounds the finished samples that wait for the trainer, in bytes. At the bound no new group is
	// started; started groups are finished.
	DefaultMemory identifier.Bytes = 64 << 20
)

// Run is the aggregate of one training run during one owner's term.
//
// Invariants: a group is delivered only with all its samples; at most one batch is outstanding; an acknowledged group
// is not delivered again; no delivered sample has an unknown version or is older than the bound. Lock rank:
// container.RankCollector.
type Run struct {
	lock          container.Lock[container.Collector]
	spec          Spec
	fence         identifier.Fence
	detector      StragglerDetector
	memoryLimit   identifier.Bytes
	cancelAttempt func(AttemptID)

	currentVersion identifier.Version
	dueVersion     identifier.Version

	cursor             Cursor
	unconfirmedSamples int
	confirmedBatch     BatchID
	unacknowledged     map[uint64]int
	groups             map[Group]*group
	ready              []Group
	outstanding        *Batch
	// offeredFor is the number of the statement that the outstanding batch last answered.
	offeredFor    uint64
	lastStatement uint64
	lastSeq       uint64

	newSlots   container.Queue[slotID]
	retrySlots container.Queue[slotID]
	running    map[AttemptID]*attempt
	abandoned  []AttemptID
	heldBytes  identifier.Bytes
	tokenTimes container.Window[time.Duration]
	durations  container.Window[time.Duration]
	counts     Counts
	idle       idleTracker
	changed    chan struct{}
}

// slotID identifies the slot of one sample.
type slotID struct {
	group Group
	index int
}

// Option sets a property of a Run.
type Option func(*Run)

// WithStragglerDetector sets the policies that detect stragglers.
func WithStragglerDetector(d StragglerDetector) Option { return func(r *Run) { r.detector = d } }

// WithMemory bounds the finished samples that wait for the trainer, in bytes.
func WithMemory(b identifier.Bytes) Option { return func(r *Run) { r.memoryLimit = b } }

// WithCancel sets the function that cancels an attempt that is no longer needed. It is called without a lock held.
func WithCancel(f func(AttemptID)) Option { return func(r *Run) { r.cancelAttempt = f } }

// NewRun restores a run from its stored state: the cursor and the submissions that are not completely acknowledged.
func NewRun(s Spec, fence identifier.Fence, cursor Cursor, stored []Submission, opts ...Option) *Run {
	r := &Run{
		spec: s, fence: fence, cursor: cursor.WithNext(1), confirmedBatch: cursor.Batch, detector: DefaultStragglerDetector(),
		memoryLimit:    DefaultMemory,
		unacknowledged: make(map[uint64]int), groups: make(map[Group]*group), running: make(map[AttemptID]*attempt),
		tokenTimes:    container.Window[time.Duration]{Capacity: historySize},
		durations:     container.Window[time.Duration]{Capacity: historySize},
		cancelAttempt: func(AttemptID) {}, idle: idleTracker{takeover: fence > 1 && cursor.Groups > 0},
	}
	for _, o := range opts {
		o(r)
	}
	for _, sub := range stored {
		r.addSubmission(sub)
	}
	return r
}

// Spec returns the parameters that the trainer set.
func (r *Run) Spec() Spec { return r.spec }

// Changed returns a channel that is closed at the next change that a pull or the owner's loop may wait for.
func (r *Run) Changed() <-chan struct{} {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// Admission is the decision on a new submission.
type Admission int

const (
	// AdmissionNew means that the submission is next and fits, so it is to be stored.
	AdmissionNew Admission = iota + 1
	// AdmissionKnown means that the submission was accepted before.
	AdmissionKnown
	// AdmissionFull means that the run would hold more than stepsAhead steps of groups.
	AdmissionFull
	// AdmissionGap means that an earlier submission is missing.
	AdmissionGap
)

// Admit decides whether a submission may be accepted. It also returns the number of the next one.
func (r *Run) Admit(s Submission) (Admission, uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	switch limit := stepsAhead * r.spec.Groups(); {
	case s.Number < r.cursor.Next:
		return AdmissionKnown, r.cursor.Next
	case s.Number > r.cursor.Next:
		return AdmissionGap, r.cursor.Next
	case len(r.groups) > 0 && len(r.groups)+len(s.Prompts) > limit:
		return AdmissionFull, r.cursor.Next
	default:
		return AdmissionNew, r.cursor.Next
	}
}

// AddSubmission adds a stored submission. It ignores a submission whose number is not the next one.
func (r *Run) AddSubmission(s Submission) {
	r.lock.Lock()
	defer r.unlock()
	if s.Number == r.cursor.Next {
		r.addSubmission(s)
		r.notify()
	}
}

func (r *Run) addSubmission(s Submission) {
	r.cursor = r.cursor.WithNext(s.Number + 1)
	r.unacknowledged[s.Number] = 0
	for i, p := range s.Prompts {
		id := Group{Submission: s.Number, Index: i}
		if r.cursor.Has(id) {
			continue
		}
		r.unacknowledged[s.Number]++
		r.groups[id] = newGroup(p, r.spec.Group)
		for index := range r.spec.Group {
			r.newSlots.Push(slotID{group: id, index: index})
		}
	}
}

// SetVersions sets the current weight version and the due one, which a weight change in progress leads to. Rollouts that
// would be too old for the due version and samples that are too old for the current one are discarded at once.
func (r *Run) SetVersions(current, due identifier.Version) {
	r.lock.Lock()
	defer r.unlock()
	if current <= r.currentVersion && max(current, due) <= r.dueVersion {
		return
	}
	r.currentVersion = max(r.currentVersion, current)
	r.dueVersion = max(r.dueVersion, due, r.currentVersion)
	for id, a := range r.running {
		if a.oldestVersion != 0 && r.isTooOld(a.oldestVersion, r.dueVersion) {
			r.abandonOverAge(id, a)
		}
	}
	for id := range r.groups {
		r.discardOverAge(id)
	}
	r.notify()
}

// discardOverAge discards the samples of a group that are too old to be delivered. Groups of the outstanding batch stay
// unchanged, since the trainer may have them.
func (r *Run) discardOverAge(id Group) {
	g := r.groups[id]
	if g.offered {
		return
	}
	for i := range g.slots {
		s := &g.slots[i]
		if s.sample == nil || !r.isTooOld(s.sample.Oldest(), r.currentVersion) {
			continue
		}
		r.discardSample(s)
		g.finished--
		r.retrySlots.Push(slotID{group: id, index: i})
	}
	if g.ready && g.finished < len(g.slots) {
		g.ready = false
		r.ready = slices.DeleteFunc(r.ready, func(o Group) bool { return o == id })
	}
}

// discardSample removes a finished sample and counts its tokens as waste.
func (r *Run) discardSample(s *slot) {
	r.counts.OverAge++
	r.counts.Waste += s.sample.Tokens
	r.heldBytes -= s.sample.size()
	r.idle.discarded = true
	s.sample = nil
}

// isTooOld reports whether tokens of version oldest exceed the run's age bound when version at is current.
func (r *Run) isTooOld(oldest, at identifier.Version) bool {
	return oldest+identifier.Version(r.spec.Bound) < at
}

// abandonOverAge cancels a running attempt that is too old and queues its sample again.
func (r *Run) abandonOverAge(id AttemptID, a *attempt) {
	r.abandon(id, a)
	r.counts.OverAge++
	r.idle.discarded = true
	r.requeue(id)
}

// abandon cancels a running attempt and counts its tokens as waste.
func (r *Run) abandon(id AttemptID, a *attempt) {
	r.counts.Waste += a.tokens
	r.removeRunning(id)
	r.abandoned = append(r.abandoned, id)
}

func (r *Run) removeRunning(id AttemptID) {
	delete(r.running, id)
	if g, ok := r.groups[id.Group]; ok {
		delete(g.slots[id.Index].attempts, id.Attempt)
	}
}

// requeue queues the sample of an attempt again unless it is finished or another attempt at it runs.
func (r *Run) requeue(id AttemptID) {
	if g, ok := r.groups[id.Group]; ok && g.slots[id.Index].sample == nil && len(g.slots[id.Index].attempts) == 0 {
		r.retrySlots.Push(slotID{group: id.Group, index: id.Index})
	}
}

// wake notifies the waiters on Changed although the run has not changed.
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

// unlock releases the lock and then cancels the attempts that were abandoned while it was held.
func (r *Run) unlock() {
	abandoned := r.abandoned
	r.abandoned = nil
	r.lock.Unlock()
	for _, id := range abandoned {
		r.cancelAttempt(id)
	}
}
