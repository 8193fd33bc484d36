package ranker_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/ranker"
)

// Guards against a job that takes slots although its due time is over or it can't be whole in time any more, before a younger one that
// can, and against a standing that changes back and forth with each measurement: the load is steps of 7.5 s that need 2 to 12 s.
func TestStandingOfSteps(t *testing.T) {
	var out strings.Builder
	d := ranker.NewDeadline(7500*time.Millisecond, 0)
	for _, need := range []time.Duration{2, 4, 7, 12} {
		standing := ranker.Undated
		fmt.Fprintf(&out, "needs %2d s:", need)
		for age := time.Duration(0); age <= 13; age++ {
			// The measured speed varies by a tenth.
			wobble := (1 - 2*(age%2)) * need * 100 * time.Millisecond
			standing = d.Assess(standing, age*time.Second, need*time.Second+wobble)
			fmt.Fprintf(&out, " %s,", standing)
		}
		out.WriteString("\n")
	}
	goldie.New(t).Assert(t, "standing", []byte(out.String()))
}

// Guards against items that nobody waits for, surplus groups and less urgent teams that take slots first.
func TestOrderOfDemands(t *testing.T) {
	wanted := []ranker.Rank{
		{Priority: 1, Standing: ranker.Ample, Slack: 5},
		{Priority: 1, Standing: ranker.Late, Slack: -3},
		{Priority: 2, Standing: ranker.Tight, Slack: 1},
		{Priority: 2, Standing: ranker.Ample, Slack: 2},
		{Priority: 2, Standing: ranker.Undated, Slack: 9},
		{Priority: 2, Standing: ranker.Tight, Surplus: true, Slack: 1},
		{Priority: 0, Standing: ranker.GivenUp, Slack: -9},
	}
	for range 20 {
		got := slices.Clone(wanted)
		slices.Reverse(got)
		slices.SortStableFunc(got, ranker.Rank.Compare)
		qt.Assert(t, got, qt.DeepEquals, wanted)
	}
}

// Guards against a class that inverts the operators' priorities, and against background items that take the last slots.
func TestUrgencyKeepsPriorities(t *testing.T) {
	var out strings.Builder
	scale := ranker.NewScale([]int{5, 0, 2, 3, 5})
	for _, priority := range []int{0, 2, 3, 5, 9} {
		fmt.Fprintf(&out, "priority %d:", priority)
		for s := ranker.Undated; s <= ranker.GivenUp; s++ {
			fmt.Fprintf(&out, " %s %d,", s, scale.Urgency(ranker.Rank{Priority: priority, Standing: s}))
		}
		fmt.Fprintf(&out, " surplus %d\n", scale.Urgency(ranker.Rank{Priority: priority, Standing: ranker.Tight, Surplus: true}))
	}
	goldie.New(t).Assert(t, "urgency", []byte(out.String()))
	late, tight := ranker.Rank{Standing: ranker.Late}, ranker.Rank{Standing: ranker.Tight}
	c := qt.New(t)
	admits := func(rank ranker.Rank, taken, slots int) bool {
		return new(ranker.Reserve).Admits("s", rank, taken, slots)
	}
	c.Assert([]bool{admits(late, 4, 6), admits(late, 5, 6), admits(tight, 5, 6), admits(late, 0, 1)}, qt.DeepEquals, []bool{true, false, true, true})
}

// Guards against items of a less urgent priority that take the slots which late items of a more urgent one have to leave free: long texts
// of the most urgent route that were late waited while short ones of the next route went ahead.
func TestReserveKeepsPriorities(t *testing.T) {
	c := qt.New(t)
	var r ranker.Reserve
	late, tight, less := ranker.Rank{Standing: ranker.Late}, ranker.Rank{Standing: ranker.Tight}, ranker.Rank{Priority: 5, Standing: ranker.Tight}
	c.Assert(r.Admits("s", less, 5, 6), qt.IsTrue)
	c.Assert(r.Admits("s", late, 5, 6), qt.IsFalse)
	c.Assert(r.Admits("s", less, 5, 6), qt.IsFalse)
	c.Assert(r.Admits("s", tight, 5, 6), qt.IsTrue)
	c.Assert(r.Admits("s", less, 4, 6), qt.IsTrue)
	c.Assert(r.Admits("other", less, 5, 6), qt.IsTrue)
}

// Guards against steps that are all late because they share too few slots, against a step that is left out and comes back with each
// measurement, and against one of an urgent priority that is left out for others.
func TestCrowd(t *testing.T) {
	c := qt.New(t)
	contenders := func(crowded bool) []ranker.Contender {
		return []ranker.Contender{
			{Service: "s", Priority: 1, Left: 8 * time.Second, Work: 4 * time.Second, Crowded: crowded},
			{Service: "s", Priority: 1, Left: 6 * time.Second, Work: 5 * time.Second},
			{Service: "s", Priority: 1, Left: 4 * time.Second, Work: time.Second},
			{Service: "other", Priority: 1, Left: 8 * time.Second, Work: 7 * time.Second},
		}
	}
	c.Assert(ranker.Crowd(contenders(false)), qt.DeepEquals, []bool{false, false, false, false})
	c.Assert(ranker.Crowd(contenders(true)), qt.DeepEquals, []bool{true, false, false, false})
	more := append(contenders(false), ranker.Contender{Service: "s", Left: 5 * time.Second, Work: 5 * time.Second})
	c.Assert(ranker.Crowd(more), qt.DeepEquals, []bool{false, true, true, false, false})
}
