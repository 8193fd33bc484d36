package batcher_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/pacer"
)

// Guards against slots that go to groups beyond those that the trainer waits for, which delays the step: the load is a step of four
// groups of which it needs two, with slots for one group.
func TestCheapestGroupsFirst(t *testing.T) {
	c := qt.New(t)
	s := batcher.Spec{ID: "job", Desired: 2}
	for i, hint := range []int{40, 6, 18, 10, 90, 12, 8, 9} {
		group := identifier.Group(fmt.Sprint(i / 2))
		s.Items = append(s.Items, batcher.Item{ID: identifier.Item(fmt.Sprint(i)), Group: group, Hint: hint})
	}
	j := batcher.NewJob(s)
	pace := pacer.Pace{}.WithFirst(200 * time.Millisecond).WithInterval(50 * time.Millisecond)
	// The groups 1 and 3 need 28 and 17 events.
	c.Assert(j.Outlook(pace, 100).Need(), qt.Equals, 200*time.Millisecond+18*50*time.Millisecond)
	c.Assert(j.Outlook(pace, 2).Need(), qt.Equals, (4*200*time.Millisecond+45*50*time.Millisecond)/2)
	due, _ := j.Due(0)
	c.Assert(due, qt.DeepEquals, []batcher.Demand{{Items: 4}, {Surplus: true, Items: 4}})
	order := make([]int, 0, 4)
	for range 4 {
		task, _ := j.Next(0, batcher.Constraint{})
		order = append(order, task.Index)
	}
	c.Assert(order, qt.DeepEquals, []int{2, 3, 7, 6})
	// A text that outgrows its hint makes its group need more.
	for n := 1; n <= 24; n++ {
		c.Assert(j.Append(6, n, []byte("x"), 1, false), qt.IsTrue)
	}
	j.CompleteText(2)
	j.CompleteText(3)
	c.Assert(j.Outlook(pace, 100).Need(), qt.Equals, 200*time.Millisecond+9*50*time.Millisecond)
	j.CompleteText(6)
	j.CompleteText(7)
	c.Assert(j.Outlook(pace, 100).Need(), qt.Equals, time.Duration(0))
}
