package collector_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/collector"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// chooser makes the choices of a simulation: random ones with a fixed seed, or those that rapid draws.
type chooser interface {
	IntN(n int) int
}

// simulation is a run with its owners, engines and trainer in one goroutine. The trainer accepts every batch that
// answers its current pull; the counts record the violations.
type simulation struct {
	chooser chooser
	// faultPercent is the percentage of calls that fail.
	faultPercent int
	clock        timer.Manual
	store        *fakeStore
	spec         collector.Spec
	fence        identifier.Fence
	owner        *collector.Owner
	// pausedOwner is an earlier owner that was paused and continues after another owner has taken over.
	pausedOwner *collector.Owner
	tasks       map[collector.Rollout]runningRollout
	version     identifier.Version

	nextSubmission  uint64
	accepted        map[uint64]int
	submission      collector.Submission
	statementNumber uint64
	latestFence     identifier.Fence
	held            []collector.HeldBatch
	sentStatements  []collector.Statement
	deliveries      map[collector.Group]int

	samples, duplicates, mislabelled, overAge, partial, injectedFaults, operations int
}

// runningRollout is a running rollout of one owner.
type runningRollout struct {
	owner  *collector.Owner
	pieces []streamer.Piece
}

func newSimulation(c chooser, faultPercent int) *simulation {
	w := &simulation{
		chooser: c, faultPercent: faultPercent, store: newFakeStore(), version: 1, nextSubmission: 1,
		spec:  collector.Spec{Run: "r", Team: "sorting", Service: "sortmind", Bound: 2, Group: 4, Step: 128},
		tasks: make(map[collector.Rollout]runningRollout), accepted: make(map[uint64]int), deliveries: make(map[collector.Group]int),
	}
	collector.CreateSpec(context.Background(), w.store, codec.Rollouts{}, w.spec)
	w.store.before = w.commitFault
	w.store.read = func() bool { return !w.injectFault(w.faultPercent) }
	return w
}

// injectFault returns true in the given percentage of calls, and counts the fault.
func (w *simulation) injectFault(percent int) bool {
	if percent == 0 || w.chooser.IntN(100) >= percent {
		return false
	}
	w.injectedFaults++
	return true
}

// commitFault refuses or loses a commit, loses its answer, or pauses the writing owner while another takes over.
func (w *simulation) commitFault() fault {
	if !w.injectFault(w.faultPercent) {
		return noFault
	}
	switch w.chooser.IntN(4) {
	case 0:
		return refusedFault
	case 1:
		return lostFault
	case 2:
		return droppedFault
	default:
		if w.owner != nil {
			before := w.store.before
			w.store.before = func() fault { return noFault }
			w.takeOver()
			w.store.before = before
		}
		return noFault
	}
}

// takeOver makes a new owner claim the run. The old one stays as a paused owner whose term still seems valid to it.
func (w *simulation) takeOver() {
	w.fence++
	record := collector.OwnerRecord{Fence: w.fence, Address: "peer"}
	o, out := collector.Claim(context.Background(), w.store, codec.Rollouts{}, &w.clock, w.spec.Run, record,
		fmt.Sprint("claim-", w.fence), func() bool { return true })
	if out != storer.Applied {
		return
	}
	if w.owner != nil {
		w.pausedOwner = w.owner
	}
	w.owner = o
	w.tasks = make(map[collector.Rollout]runningRollout)
	o.Run().SetVersions(w.version, w.version)
}

// target returns the owner that the next call reaches.
func (w *simulation) target() *collector.Owner {
	if w.owner == nil {
		w.takeOver()
	}
	if w.pausedOwner != nil && w.injectFault(w.faultPercent) {
		return w.pausedOwner
	}
	return w.owner
}

// submit sends the next submission, or repeats the last one until it is accepted.
func (w *simulation) submit() {
	o := w.target()
	if o == nil {
		return
	}
	if w.submission.Number != w.nextSubmission {
		prompts := make([]collector.Prompt, 1+w.chooser.IntN(40))
		for i := range prompts {
			prompts[i] = collector.Prompt{Text: fmt.Sprintf("p%d-%d", w.nextSubmission, i), Limit: 4}
		}
		w.submission = collector.Submission{Number: w.nextSubmission}.WithPrompts(prompts...)
	}
	r := o.Submit(context.Background(), w.submission)
	if r.Outcome == collector.Done && !w.injectFault(w.faultPercent) {
		w.accepted[w.nextSubmission] = len(w.submission.Prompts)
		w.nextSubmission++
	}
}

// generate simulates the engines: it starts rollouts, adds tokens to some and ends some.
func (w *simulation) generate() {
	if w.owner == nil {
		return
	}
	run := w.owner.Run()
	now := w.clock.Monotonic()
	for range 32 {
		t, ok := run.Next(now, w.version)
		if !ok {
			break
		}
		w.tasks[t.Rollout] = runningRollout{owner: w.owner}
	}
	if t, ok := run.Hedge(now); ok {
		w.tasks[t.Rollout] = runningRollout{owner: w.owner}
	}
	w.clock.Advance(time.Millisecond)
	for id, t := range maps.Clone(w.tasks) {
		w.advance(id, t)
	}
}

// advance adds a token to a rollout or ends it. The text of a token is the version that generated it.
func (w *simulation) advance(id collector.Rollout, t runningRollout) {
	run := t.owner.Run()
	version := w.version
	switch {
	case w.injectFault(w.faultPercent):
		delete(w.tasks, id)
		run.Finish(id, nil, w.clock.Monotonic())
		return
	case w.injectFault(2):
		return
	}
	if w.injectFault(w.faultPercent) {
		version = 0
	}
	t.pieces = append(t.pieces, streamer.Piece{
		Data: fmt.Appendf(nil, "%d ", w.version), Tokens: 1, Version: version, Target: "engine", Incarnation: 1,
	})
	w.tasks[id] = t
	if !run.RecordProgress(id, identifier.Tokens(len(t.pieces)), t.pieces[0].Version, w.clock.Monotonic()) {
		delete(w.tasks, id)
		return
	}
	if len(t.pieces) == 4 {
		delete(w.tasks, id)
		s := collector.NewSample(id.Group, id.Index, t.pieces)
		run.Finish(id, &s, w.clock.Monotonic())
	}
}

// swap changes the weight version.
func (w *simulation) swap() {
	w.version++
	if w.owner != nil {
		w.owner.Run().SetVersions(w.version, w.version+identifier.Version(w.chooser.IntN(2)))
	}
}

// statement returns the trainer's next statement.
func (w *simulation) statement() collector.Statement {
	w.statementNumber++
	s := collector.Statement{Number: w.statementNumber, Fence: w.latestFence, Held: append([]collector.HeldBatch(nil), w.held...)}
	w.sentStatements = append(w.sentStatements, s)
	if len(w.sentStatements) > 4 {
		w.sentStatements = w.sentStatements[1:]
	}
	return s
}

// pull requests a batch. The answer may be lost, and another owner may take over before the trainer reads it.
func (w *simulation) pull() {
	o := w.target()
	if o == nil {
		return
	}
	d := o.Pull(context.Background(), collector.Pull{Statement: w.statement(), Most: 1 + w.chooser.IntN(16), Version: w.version})
	if w.injectFault(w.faultPercent) {
		w.takeOver()
	}
	if w.injectFault(w.faultPercent) {
		return
	}
	w.confirm(d.Receipt)
	if d.Outcome == collector.Done {
		w.accept(d.Batch)
	}
}

// accept records the groups of a batch and counts the violations in them.
func (w *simulation) accept(b collector.Batch) {
	h := collector.HeldBatch{Batch: b.ID}
	for _, g := range b.Groups {
		h.Groups = append(h.Groups, g.Group)
		w.deliveries[g.Group]++
		if w.deliveries[g.Group] > 1 {
			w.duplicates++
		}
		if len(g.Samples) != w.spec.Group {
			w.partial++
		}
		for _, s := range g.Samples {
			w.samples++
			w.check(s)
		}
	}
	w.held = append(w.held, h)
}

// check compares the ranges of a sample with the versions that its text names, and its age with the bound.
func (w *simulation) check(s collector.Sample) {
	var named strings.Builder
	for _, r := range s.Ranges {
		for range r.To - r.From {
			fmt.Fprintf(&named, "%d ", r.Version)
		}
	}
	if named.String() != s.Text || s.Tokens != 4 {
		w.mislabelled++
	}
	if s.Oldest()+identifier.Version(w.spec.Bound) < w.version {
		w.overAge++
	}
}

// confirm discards the trainer's batches once the stored cursor covers all of them.
func (w *simulation) confirm(r collector.Receipt) {
	w.latestFence = max(w.latestFence, r.Fence)
	if r.Outcome == collector.Done && r.All {
		w.held = nil
	}
}

// acknowledge sends a new statement, or a pull with an earlier statement that was delayed.
func (w *simulation) acknowledge() {
	o := w.target()
	if o == nil {
		return
	}
	if len(w.sentStatements) > 0 && w.injectFault(w.faultPercent) {
		late := w.sentStatements[w.chooser.IntN(len(w.sentStatements))]
		o.Pull(context.Background(), collector.Pull{Statement: late, Most: 8})
		return
	}
	r := o.Acknowledge(context.Background(), w.statement())
	if !w.injectFault(w.faultPercent) {
		w.confirm(r)
	}
}

// step executes one randomly chosen operation.
func (w *simulation) step() {
	w.operations++
	switch n := w.chooser.IntN(100); {
	case n < 10:
		w.submit()
	case n < 50:
		w.generate()
	case n < 80:
		w.pull()
	case n < 94:
		w.acknowledge()
	case n < 95 && w.faultPercent > 0:
		w.takeOver()
	case n < 97:
		w.swap()
	}
}

// lost counts the accepted groups that were never delivered.
func (w *simulation) lost() int {
	lost := 0
	for n, size := range w.accepted {
		for i := range size {
			if w.deliveries[collector.Group{Submission: n, Index: i}] == 0 {
				lost++
			}
		}
	}
	return lost
}
