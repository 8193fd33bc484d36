package batcher_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// grow appends n events to the text of a running item. Each run of an item has other data.
func grow(job *batcher.Job, i, n, run int) {
	for range n {
		next := job.CurrentTask(i).LastEvent + 1
		job.Append(i, next, fmt.Appendf(nil, "%d/%d/%d", i, run, next), 3, false)
	}
}

// Guards against texts that are saved again in full each time, and against saves of short texts, which cost more than
// generating them again.
func TestUnsavedTexts(t *testing.T) {
	const limit = 1 << 20
	job := batcher.NewJob(newSpec(1, 3))
	for range 3 {
		startNext(job, 0)
	}
	var out strings.Builder
	show := func(title string, limit int) {
		fmt.Fprintf(&out, "# %s\n", title)
		for _, p := range job.UnsavedTexts(limit) {
			fmt.Fprintf(&out, "%s: %d events after %d, last %d\n", p.Item, len(p.Text), p.From, p.Last)
		}
	}
	grow(job, 0, 31, 0)
	grow(job, 1, 100, 0)
	grow(job, 2, 40, 0)
	show("long texts only, the longest first", limit)
	show("what fits into one save", 700)
	show("the longest does not fit", 500)
	job.MarkSaved(job.UnsavedTexts(limit))
	show("nothing was added", limit)
	grow(job, 0, 1, 0)
	grow(job, 1, 15, 0)
	grow(job, 2, 16, 0)
	show("what was added since, small gains left out", limit)
	unsaved := job.UnsavedTexts(limit)
	job.DropText(2)
	job.MarkSaved(unsaved)
	grow(job, 2, 50, 1)
	show("a text that was started again while it was saved", limit)
	job.Abandon(0)
	job.Finish()
	show("a finished job", limit)
	goldie.New(t).Assert(t, "saves", []byte(out.String()))
}

// Guards against a text that is restored with missing, repeated or mixed events after its owner died: the saves that
// reached the store give the text as it was at the last of them, also if texts were dropped and saves were lost.
func TestSavedTextsAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := newSpec(1, 2)
		job := batcher.NewJob(spec)
		for range 2 {
			startNext(job, 0)
		}
		var stored []batcher.PartialText
		want := make(map[identifier.Item]batcher.PartialText)
		run := 0
		t.Repeat(map[string]func(*rapid.T){
			"grow": func(t *rapid.T) {
				grow(job, rapid.IntRange(0, 1).Draw(t, "item"), rapid.IntRange(1, 60).Draw(t, "events"), run)
			},
			"drop": func(t *rapid.T) {
				job.DropText(rapid.IntRange(0, 1).Draw(t, "item"))
				run++
			},
			"save": func(t *rapid.T) {
				unsaved := job.UnsavedTexts(1 << 20)
				if rapid.Bool().Draw(t, "lost") {
					return
				}
				stored = append(stored, unsaved...)
				whole := job.PartialTexts()
				for _, p := range unsaved {
					want[p.Item] = whole[slices.IndexFunc(whole, func(w batcher.PartialText) bool { return w.Item == p.Item })]
				}
				// The answer to the write may be lost although it took effect.
				if rapid.Bool().Draw(t, "confirmed") {
					job.MarkSaved(unsaved)
				}
			},
			"": func(t *rapid.T) {
				restored := batcher.MergeTexts(stored)
				if len(restored) != len(want) {
					t.Fatalf("%d texts are restored, %d were saved", len(restored), len(want))
				}
				for _, p := range restored {
					if w := want[p.Item]; !slices.EqualFunc(p.Text, w.Text, slices.Equal) || p.Last != w.Last {
						t.Fatalf("text %s is restored up to event %d, saved up to %d", p.Item, p.Last, w.Last)
					}
				}
			},
		})
	})
}

// Guards against a step whose last results wait for the next regular write, while its trainer waits for them: the pattern
// is a step of which all texts but a few have ended, with nearly every group waiting for one.
func TestStepPending(t *testing.T) {
	c := qt.New(t)
	spec := newSpec(3, 2)
	spec.Desired = 2
	job := batcher.NewJob(spec)
	for range spec.Items {
		startNext(job, 0)
	}
	finish := func(i int) {
		grow(job, i, 1, 0)
		job.CompleteText(i)
		job.SetScore(i, "score")
	}
	for i, pending := range []bool{false, false, false, true} {
		finish([]int{0, 2, 1, 3}[i])
		c.Assert(job.StepPending(), qt.Equals, pending, qt.Commentf("after %d results", i+1))
	}
	from, results := job.Pending()
	job.MarkDurable(from, len(results))
	c.Assert(job.StepPending(), qt.IsFalse)
	finish(4)
	c.Assert(job.StepPending(), qt.IsFalse)
	job.Abandon(5)
	c.Assert(job.StepPending(), qt.IsTrue)
	c.Assert(batcher.NewJob(spec, results...).StepPending(), qt.IsFalse)
}

// Guards against a step whose trainer waits for the groups that it carried over while their items start last, and against
// an early write that makes the trainer pause before these groups are complete.
func TestCarriedGroupsComeFirst(t *testing.T) {
	c := qt.New(t)
	spec := newSpec(3, 2)
	spec.Desired = 1
	earlier := batcher.Spec{Items: []batcher.Item{spec.Items[1], {ID: "another"}}}
	job := batcher.NewJob(spec)
	job.CarryOver(earlier)
	order := make([]int, 0, len(spec.Items))
	for range spec.Items {
		task, _ := startNext(job, 0)
		order = append(order, task.Index)
	}
	c.Assert(order, qt.DeepEquals, []int{1, 0, 5, 4, 3, 2})
	for _, i := range []int{5, 4, 1} {
		job.Abandon(i)
		c.Assert(job.StepPending(), qt.IsFalse, qt.Commentf("item %d", i))
	}
	job.Abandon(0)
	c.Assert(job.StepPending(), qt.IsTrue)
}
