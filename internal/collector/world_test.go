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

// chooser makes the choices of a world: random ones with a fixed seed, or those that rapid draws.
type chooser interface {
	IntN(n int) int
}

// world is a run with its owners, engines and trainer, without processes. Its trainer takes whatever an owner sends it
// for the pull that it waits for; the counts show what went wrong.
type world struct {
	choose chooser
	// faults is the share of calls that fail, in percent.
	faults int
	clock  timer.Manual
	store  *fakeStore
	spec   collector.Spec
	fence  identifier.Fence
	owner  *collector.Owner
	// former is an earlier owner that was paused and wakes up again.
	former  *collector.Owner
	tasks   map[collector.Rollout]work
	version identifier.Version

	next     uint64
	accepted map[uint64]int
	offered  collector.Submission
	number   uint64
	seen     identifier.Fence
	held     []collector.HeldBatch
	past     []collector.Statement
	got      map[collector.Group]int

	samples, twice, mislabelled, overAge, partial, injected, ops int
}

// work is a running rollout at one owner.
type work struct {
	owner  *collector.Owner
	pieces []streamer.Piece
}

func newWorld(choose chooser, faults int) *world {
	w := &world{
		choose: choose, faults: faults, store: newFakeStore(), version: 1, next: 1,
		spec:  collector.Spec{Run: "r", Team: "sorting", Service: "sortmind", Bound: 2, Group: 4, Step: 128},
		tasks: make(map[collector.Rollout]work), accepted: make(map[uint64]int), got: make(map[collector.Group]int),
	}
	collector.CreateSpec(context.Background(), w.store, codec.Rollouts{}, w.spec)
	w.store.before = w.commitFault
	w.store.read = func() bool { return !w.hit(w.faults) }
	return w
}

// hit is true in percent of 100 cases and counts the fault.
func (w *world) hit(percent int) bool {
	if percent == 0 || w.choose.IntN(100) >= percent {
		return false
	}
	w.injected++
	return true
}

// commitFault loses a commit or its answer, or pauses the writing owner while another takes over.
func (w *world) commitFault() fault {
	if !w.hit(w.faults) {
		return sound
	}
	switch w.choose.IntN(4) {
	case 0:
		return refusedFault
	case 1:
		return lostFault
	case 2:
		return droppedFault
	default:
		if w.owner != nil {
			before := w.store.before
			w.store.before = func() fault { return sound }
			w.takeOver()
			w.store.before = before
		}
		return sound
	}
}

// takeOver lets a new owner claim the run. The old one stays as a paused owner that believes in its term.
func (w *world) takeOver() {
	w.fence++
	place := collector.OwnerRecord{Fence: w.fence, Address: "peer"}
	o, out := collector.Claim(context.Background(), w.store, codec.Rollouts{}, &w.clock, w.spec.Run, place,
		fmt.Sprint("claim-", w.fence), func() bool { return true })
	if out != storer.Applied {
		return
	}
	if w.owner != nil {
		w.former = w.owner
	}
	w.owner = o
	w.tasks = make(map[collector.Rollout]work)
	o.Run().SetVersions(w.version, w.version)
}

// target is the owner that the next call reaches.
func (w *world) target() *collector.Owner {
	if w.owner == nil {
		w.takeOver()
	}
	if w.former != nil && w.hit(w.faults) {
		return w.former
	}
	return w.owner
}

// submit sends the next submission, or one that was not accepted yet again.
func (w *world) submit() {
	o := w.target()
	if o == nil {
		return
	}
	if w.offered.Number != w.next {
		prompts := make([]collector.Prompt, 1+w.choose.IntN(40))
		for i := range prompts {
			prompts[i] = collector.Prompt{Text: fmt.Sprintf("p%d-%d", w.next, i), Limit: 4}
		}
		w.offered = collector.Submission{Number: w.next}.WithPrompts(prompts...)
	}
	r := o.Submit(context.Background(), w.offered)
	if r.Outcome == collector.Done && !w.hit(w.faults) {
		w.accepted[w.next] = len(w.offered.Prompts)
		w.next++
	}
}

// generate moves the engines on: it starts rollouts, lets some emit a token and ends some.
func (w *world) generate() {
	if w.owner == nil {
		return
	}
	run := w.owner.Run()
	now := w.clock.Boot()
	for range 32 {
		t, ok := run.Next(now, w.version)
		if !ok {
			break
		}
		w.tasks[t.Rollout] = work{owner: w.owner}
	}
	if t, ok := run.Hedge(now); ok {
		w.tasks[t.Rollout] = work{owner: w.owner}
	}
	w.clock.Advance(time.Millisecond)
	for id, t := range maps.Clone(w.tasks) {
		w.advance(id, t)
	}
}

// advance adds a token to a rollout or ends it. The text of a token names the version that made it.
func (w *world) advance(id collector.Rollout, t work) {
	run := t.owner.Run()
	version := w.version
	switch {
	case w.hit(w.faults):
		delete(w.tasks, id)
		run.Finish(id, nil, w.clock.Boot())
		return
	case w.hit(2):
		return
	}
	if w.hit(w.faults) {
		version = 0
	}
	t.pieces = append(t.pieces, streamer.Piece{
		Data: fmt.Appendf(nil, "%d ", w.version), Tokens: 1, Version: version, Target: "engine", Incarnation: 1,
	})
	w.tasks[id] = t
	if !run.RecordProgress(id, identifier.Tokens(len(t.pieces)), t.pieces[0].Version, w.clock.Boot()) {
		delete(w.tasks, id)
		return
	}
	if len(t.pieces) == 4 {
		delete(w.tasks, id)
		s := collector.NewSample(id.Group, id.Index, t.pieces)
		run.Finish(id, &s, w.clock.Boot())
	}
}

// swap changes the weights.
func (w *world) swap() {
	w.version++
	if w.owner != nil {
		w.owner.Run().SetVersions(w.version, w.version+identifier.Version(w.choose.IntN(2)))
	}
}

// statement is the trainer's next account.
func (w *world) statement() collector.Statement {
	w.number++
	s := collector.Statement{Number: w.number, Fence: w.seen, Held: append([]collector.HeldBatch(nil), w.held...)}
	w.past = append(w.past, s)
	if len(w.past) > 4 {
		w.past = w.past[1:]
	}
	return s
}

// pull asks for a batch. The answer may be lost, and another owner may take over before the trainer reads it.
func (w *world) pull() {
	o := w.target()
	if o == nil {
		return
	}
	d := o.Pull(context.Background(), collector.Pull{Statement: w.statement(), Most: 1 + w.choose.IntN(16), Version: w.version})
	if w.hit(w.faults) {
		w.takeOver()
	}
	if w.hit(w.faults) {
		return
	}
	w.confirm(d.Receipt)
	if d.Outcome == collector.Done {
		w.take(d.Batch)
	}
}

func (w *world) take(b collector.Batch) {
	h := collector.HeldBatch{Batch: b.ID}
	for _, g := range b.Groups {
		h.Groups = append(h.Groups, g.Group)
		w.got[g.Group]++
		if w.got[g.Group] > 1 {
			w.twice++
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

// check compares a sample with the versions that its text names.
func (w *world) check(s collector.Sample) {
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

// confirm forgets the batches that a stored cursor covers.
func (w *world) confirm(r collector.Receipt) {
	w.seen = max(w.seen, r.Fence)
	if r.Outcome == collector.Done && r.All {
		w.held = nil
	}
}

// acknowledge hands in a statement, or an earlier one that was delayed on its way.
func (w *world) acknowledge() {
	o := w.target()
	if o == nil {
		return
	}
	if len(w.past) > 0 && w.hit(w.faults) {
		late := w.past[w.choose.IntN(len(w.past))]
		o.Pull(context.Background(), collector.Pull{Statement: late, Most: 8})
		return
	}
	r := o.Acknowledge(context.Background(), w.statement())
	if !w.hit(w.faults) {
		w.confirm(r)
	}
}

// step makes one random move.
func (w *world) step() {
	w.ops++
	switch n := w.choose.IntN(100); {
	case n < 10:
		w.submit()
	case n < 50:
		w.generate()
	case n < 80:
		w.pull()
	case n < 94:
		w.acknowledge()
	case n < 95 && w.faults > 0:
		w.takeOver()
	case n < 97:
		w.swap()
	}
}

// lost counts the accepted groups that the trainer never got.
func (w *world) lost() int {
	lost := 0
	for n, size := range w.accepted {
		for i := range size {
			if w.got[collector.Group{Submission: n, Index: i}] == 0 {
				lost++
			}
		}
	}
	return lost
}
