package collector_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/collector"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// fixture is a run with one submission whose rollouts the test finishes explicitly.
type fixture struct {
	run *collector.Run
	out strings.Builder
	now time.Duration
}

func newFixture(spec collector.Spec, groups int) *fixture {
	f := &fixture{run: collector.NewRun(spec, 1, collector.Cursor{}, nil, collector.WithCancel(func(collector.AttemptID) {}))}
	f.run.SetVersions(1, 1)
	prompts := make([]collector.Prompt, groups)
	for i := range prompts {
		prompts[i] = collector.Prompt{Text: "p", Limit: 10}
	}
	f.run.AddSubmission(collector.Submission{Number: 1}.WithPrompts(prompts...))
	return f
}

// start starts every waiting rollout.
func (f *fixture) start() []collector.Task {
	var all []collector.Task
	for {
		t, ok := f.run.Next(f.now, 0)
		if !ok {
			return all
		}
		all = append(all, t)
	}
}

func (f *fixture) finish(t collector.Task, versions ...identifier.Version) {
	pieces := make([]streamer.Piece, 0, len(versions))
	for _, v := range versions {
		pieces = append(pieces, streamer.Piece{Tokens: 5, Version: v, Target: "engine", Incarnation: 3})
	}
	s := collector.NewSample(t.Rollout.Group, t.Rollout.Index, pieces)
	fmt.Fprintf(&f.out, "finish %v %v: result %d\n", t.Rollout, s.Ranges, f.run.Finish(t.Rollout, &s, f.now))
}

func (f *fixture) offer(number uint64, held ...collector.HeldBatch) {
	status := f.run.ApplyStatement(collector.Statement{Number: number, Held: held})
	b, ok := f.run.Offer(f.now, number, 8)
	fmt.Fprintf(&f.out, "statement %d: status %d, offered %v", number, status, ok)
	if ok {
		fmt.Fprintf(&f.out, " %v step %d last %v", b.ID, b.Step, b.Last)
		for _, g := range b.Groups {
			fmt.Fprintf(&f.out, " %v×%d", g.Group, len(g.Samples))
		}
	}
	f.out.WriteByte('\n')
}

var smallSpec = collector.Spec{Run: "r", Team: "t", Service: "s", Bound: 1, Group: 2, Step: 6}

// Guards against an outstanding batch that became too old and is still offered, that is withdrawn on a repeated
// statement although its answer may have arrived, or whose groups are lost or mixed up when it is withdrawn.
func TestOutstandingBatchTooOld(t *testing.T) {
	f := newFixture(smallSpec, 3)
	for i, task := range f.start() {
		f.finish(task, 1, identifier.Version(1+i/2))
	}
	f.offer(1)
	f.offer(2)
	f.run.SetVersions(3, 3)
	f.offer(2)
	f.offer(3)
	for _, task := range f.start() {
		f.finish(task, 3)
	}
	f.offer(4)
	f.offer(4)
	f.offer(5, collector.HeldBatch{Batch: collector.BatchID{Run: "r", Seq: 2, Fence: 1}})
	goldie.New(t).Assert(t, "outstanding", []byte(f.out.String()))
}

// Guards against accepting samples with unknown versions or samples that are too old, and against starting rollouts
// whose samples would be too old for the due version.
func TestVersions(t *testing.T) {
	f := newFixture(smallSpec, 1)
	tasks := f.start()
	f.finish(tasks[0], 1, 0)
	f.finish(tasks[1], 1, 2)
	f.run.SetVersions(2, 3)
	_, ok := f.run.Next(f.now, 1)
	fmt.Fprintf(&f.out, "start on version 1 while 3 is due: %v\n", ok)
	next, ok := f.run.Next(f.now, 2)
	fmt.Fprintf(&f.out, "start on version 2 while 3 is due: %v\n", ok)
	fmt.Fprintf(&f.out, "continues with version 1: %v\n", f.run.RecordProgress(next.Rollout, 5, 1, f.now))
	f.finish(next, 2)
	c := f.run.Status().Counts
	fmt.Fprintf(&f.out, "unlabelled %d, over age %d, wasted tokens %d\n", c.Unlabelled, c.OverAge, c.Waste)
	goldie.New(t).Assert(t, "versions", []byte(f.out.String()))
}

// Guards against hedging long answers at the usual time per token, hedging beyond the budget, and accepting the samples
// of both attempts of a hedged rollout.
func TestStragglers(t *testing.T) {
	f := newFixture(collector.Spec{Run: "r", Team: "t", Service: "s", Bound: 1, Group: 2, Step: 200}, 100)
	tasks := f.start()
	f.now = 10 * time.Second
	for _, task := range tasks[40:] {
		s := collector.NewSample(task.Rollout.Group, task.Rollout.Index, []streamer.Piece{{Tokens: 10, Version: 1}})
		f.run.Finish(task.Rollout, &s, f.now)
	}
	for _, task := range tasks[:40] {
		f.run.RecordProgress(task.Rollout, 1, 1, f.now)
	}
	f.now = 20 * time.Second
	for i, task := range tasks[:40] {
		f.run.RecordProgress(task.Rollout, identifier.Tokens(4+5*(i%2)), 1, f.now)
	}
	f.now = 21 * time.Second
	var hedges []collector.Task
	for {
		h, ok := f.run.NextHedge(f.now)
		if !ok {
			break
		}
		hedges = append(hedges, h)
		fmt.Fprintf(&f.out, "hedge %v\n", h.Rollout)
	}
	f.finish(hedges[0], 1, 1)
	f.finish(tasks[0], 1, 1)
	c := f.run.Status().Counts
	fmt.Fprintf(&f.out, "started %d, hedges %d, won %d\n", c.Started, c.Hedges, c.HedgesWon)
	for range 20 {
		if h, ok := f.run.NextHedge(time.Hour); ok {
			hedges = append(hedges, h)
		}
	}
	fmt.Fprintf(&f.out, "hedges of 200 samples in all: %d\n", len(hedges))
	goldie.New(t).Assert(t, "stragglers", []byte(f.out.String()))
}
