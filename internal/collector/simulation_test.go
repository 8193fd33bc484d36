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
	tasks       map[collector.AttemptID]runningRollout
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
	sim := &simulation{
		chooser: c, faultPercent: faultPercent, store: newFakeStore(), version: 1, nextSubmission: 1,
		spec:  collector.Spec{Run: "r", Team: "sorting", Service: "sortmind", Bound: 2, Group: 4, Step: 128},
		tasks: make(map[collector.AttemptID]runningRollout), accepted: make(map[uint64]int), deliveries: make(map[collector.Group]int),
	}
	collector.CreateSpec(context.Background(), sim.store, codec.Rollouts{}, sim.spec)
	sim.store.before = sim.commitFault
	sim.store.read = func() bool { return !sim.injectFault(sim.faultPercent) }
	return sim
}

// injectFault returns true in the given percentage of calls, and counts the fault.
func (sim *simulation) injectFault(percent int) bool {
	if percent == 0 || sim.chooser.IntN(100) >= percent {
		return false
	}
	sim.injectedFaults++
	return true
}

// commitFault refuses or loses a commit, loses its answer, or pauses the writing owner while another takes over.
func (sim *simulation) commitFault() fault {
	if !sim.injectFault(sim.faultPercent) {
		return noFault
	}
	switch sim.chooser.IntN(4) {
	case 0:
		return refusedFault
	case 1:
		return lostFault
	case 2:
		return droppedFault
	default:
		if sim.owner != nil {
			before := sim.store.before
			sim.store.before = func() fault { return noFault }
			sim.takeOver()
			sim.store.before = before
		}
		return noFault
	}
}

// takeOver makes a new owner claim the run. The old one stays as a paused owner whose term still seems valid to it.
func (sim *simulation) takeOver() {
	sim.fence++
	record := collector.OwnerRecord{Fence: sim.fence, Address: "peer"}
	o, out := collector.ClaimRun(context.Background(), sim.store, codec.Rollouts{}, &sim.clock, sim.spec.Run, record,
		fmt.Sprint("claim-", sim.fence), func() bool { return true })
	if out != storer.Applied {
		return
	}
	if sim.owner != nil {
		sim.pausedOwner = sim.owner
	}
	sim.owner = o
	sim.tasks = make(map[collector.AttemptID]runningRollout)
	o.Run().SetVersions(sim.version, sim.version)
}

// target returns the owner that the next call reaches.
func (sim *simulation) target() *collector.Owner {
	if sim.owner == nil {
		sim.takeOver()
	}
	if sim.pausedOwner != nil && sim.injectFault(sim.faultPercent) {
		return sim.pausedOwner
	}
	return sim.owner
}

// submit sends the next submission, or repeats the last one until it is accepted.
func (sim *simulation) submit() {
	o := sim.target()
	if o == nil {
		return
	}
	if sim.submission.Number != sim.nextSubmission {
		prompts := make([]collector.Prompt, 1+sim.chooser.IntN(40))
		for i := range prompts {
			prompts[i] = collector.Prompt{Text: fmt.Sprintf("p%d-%d", sim.nextSubmission, i), Limit: 4}
		}
		sim.submission = collector.Submission{Number: sim.nextSubmission}.WithPrompts(prompts...)
	}
	r := o.Submit(context.Background(), sim.submission)
	if r.Outcome == collector.Done && !sim.injectFault(sim.faultPercent) {
		sim.accepted[sim.nextSubmission] = len(sim.submission.Prompts)
		sim.nextSubmission++
	}
}

// generate simulates the engines: it starts rollouts, adds tokens to some and ends some.
func (sim *simulation) generate() {
	if sim.owner == nil {
		return
	}
	run := sim.owner.Run()
	now := sim.clock.Monotonic()
	for range 32 {
		t, ok := run.Next(now, sim.version)
		if !ok {
			break
		}
		sim.tasks[t.Rollout] = runningRollout{owner: sim.owner}
	}
	if t, ok := run.NextHedge(now); ok {
		sim.tasks[t.Rollout] = runningRollout{owner: sim.owner}
	}
	sim.clock.Advance(time.Millisecond)
	for id, t := range maps.Clone(sim.tasks) {
		sim.advance(id, t)
	}
}

// advance adds a token to a rollout or ends it. The text of a token is the version that generated it.
func (sim *simulation) advance(id collector.AttemptID, t runningRollout) {
	run := t.owner.Run()
	version := sim.version
	switch {
	case sim.injectFault(sim.faultPercent):
		delete(sim.tasks, id)
		run.Finish(id, nil, sim.clock.Monotonic())
		return
	case sim.injectFault(2):
		return
	}
	if sim.injectFault(sim.faultPercent) {
		version = 0
	}
	t.pieces = append(t.pieces, streamer.Piece{
		Data: fmt.Appendf(nil, "%d ", sim.version), Tokens: 1, Version: version, Target: "engine", Incarnation: 1,
	})
	sim.tasks[id] = t
	if !run.RecordProgress(id, identifier.Tokens(len(t.pieces)), t.pieces[0].Version, sim.clock.Monotonic()) {
		delete(sim.tasks, id)
		return
	}
	if len(t.pieces) == 4 {
		delete(sim.tasks, id)
		s := collector.NewSample(id.Group, id.Index, t.pieces)
		run.Finish(id, &s, sim.clock.Monotonic())
	}
}

// swap changes the weight version.
func (sim *simulation) swap() {
	sim.version++
	if sim.owner != nil {
		sim.owner.Run().SetVersions(sim.version, sim.version+identifier.Version(sim.chooser.IntN(2)))
	}
}

// statement returns the trainer's next statement.
func (sim *simulation) statement() collector.Statement {
	sim.statementNumber++
	s := collector.Statement{Number: sim.statementNumber, Fence: sim.latestFence, Held: append([]collector.HeldBatch(nil), sim.held...)}
	sim.sentStatements = append(sim.sentStatements, s)
	if len(sim.sentStatements) > 4 {
		sim.sentStatements = sim.sentStatements[1:]
	}
	return s
}

// pull requests a batch. The answer may be lost, and another owner may take over before the trainer reads it.
func (sim *simulation) pull() {
	o := sim.target()
	if o == nil {
		return
	}
	d := o.Pull(context.Background(), collector.Pull{Statement: sim.statement(), Most: 1 + sim.chooser.IntN(16), Version: sim.version})
	if sim.injectFault(sim.faultPercent) {
		sim.takeOver()
	}
	if sim.injectFault(sim.faultPercent) {
		return
	}
	sim.confirm(d.Receipt)
	if d.Outcome == collector.Done {
		sim.accept(d.Batch)
	}
}

// accept records the groups of a batch and counts the violations in them.
func (sim *simulation) accept(b collector.Batch) {
	h := collector.HeldBatch{Batch: b.ID}
	for _, g := range b.Groups {
		h.Groups = append(h.Groups, g.Group)
		sim.deliveries[g.Group]++
		if sim.deliveries[g.Group] > 1 {
			sim.duplicates++
		}
		if len(g.Samples) != sim.spec.Group {
			sim.partial++
		}
		for _, s := range g.Samples {
			sim.samples++
			sim.check(s)
		}
	}
	sim.held = append(sim.held, h)
}

// check compares the ranges of a sample with the versions that its text names, and its age with the bound.
func (sim *simulation) check(s collector.Sample) {
	var named strings.Builder
	for _, r := range s.Ranges {
		for range r.To - r.From {
			fmt.Fprintf(&named, "%d ", r.Version)
		}
	}
	if named.String() != s.Text || s.Tokens != 4 {
		sim.mislabelled++
	}
	if s.Oldest()+identifier.Version(sim.spec.Bound) < sim.version {
		sim.overAge++
	}
}

// confirm discards the trainer's batches once the stored cursor covers all of them.
func (sim *simulation) confirm(r collector.Receipt) {
	sim.latestFence = max(sim.latestFence, r.Fence)
	if r.Outcome == collector.Done && r.All {
		sim.held = nil
	}
}

// acknowledge sends a new statement, or a pull with an earlier statement that was delayed.
func (sim *simulation) acknowledge() {
	o := sim.target()
	if o == nil {
		return
	}
	if len(sim.sentStatements) > 0 && sim.injectFault(sim.faultPercent) {
		late := sim.sentStatements[sim.chooser.IntN(len(sim.sentStatements))]
		o.Pull(context.Background(), collector.Pull{Statement: late, Most: 8})
		return
	}
	r := o.Acknowledge(context.Background(), sim.statement())
	if !sim.injectFault(sim.faultPercent) {
		sim.confirm(r)
	}
}

// step executes one randomly chosen operation.
func (sim *simulation) step() {
	sim.operations++
	switch n := sim.chooser.IntN(100); {
	case n < 10:
		sim.submit()
	case n < 50:
		sim.generate()
	case n < 80:
		sim.pull()
	case n < 94:
		sim.acknowledge()
	case n < 95 && sim.faultPercent > 0:
		sim.takeOver()
	case n < 97:
		sim.swap()
	}
}

// lost counts the accepted groups that were never delivered.
func (sim *simulation) lost() int {
	lost := 0
	for n, size := range sim.accepted {
		for i := range size {
			if sim.deliveries[collector.Group{Submission: n, Index: i}] == 0 {
				lost++
			}
		}
	}
	return lost
}
