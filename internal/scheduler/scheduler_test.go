package scheduler_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/scheduler"
)

type item = scheduler.Item[string]

func next(c *qt.C, s *scheduler.Scheduler[string]) string {
	work, ok := s.Next(context.Background())
	c.Assert(ok, qt.IsTrue)
	return work
}

// Guards against an order that ignores class, kind of work, team weight or caller.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	var s scheduler.Scheduler[string]
	add := func(i item, n int) {
		for k := range n {
			i.Work = fmt.Sprintf("class %d rollout %-5v team %-5s caller %-5s #%d", i.Class, i.Rollout, i.Team, i.Caller, k)
			c.Assert(s.Offer(i, 0), qt.Equals, scheduler.Decision{})
		}
	}
	add(item{Team: "large", Caller: "first", Weight: 2, Cost: 10}, 4)
	add(item{Team: "large", Caller: "other", Weight: 2, Cost: 10}, 2)
	add(item{Team: "small", Caller: "only", Cost: 10}, 3)
	add(item{Team: "train", Caller: "loop", Cost: 10, Rollout: true, RolloutShare: 0.25}, 3)
	add(item{Team: "train", Caller: "score", Cost: 10, Rollout: true, Class: scheduler.ClassScoring}, 2)
	var out strings.Builder
	for s.Len() > 0 {
		fmt.Fprintln(&out, next(c, &s))
	}
	goldie.New(t).Assert(t, "order", []byte(out.String()))
}

// Guards against a backlogged team that gets less than its weighted share: start-time fair queueing bounds the
// difference of the normalised work of two backlogged teams by one largest item of each.
func TestSharesStayWithinOneItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type job struct {
			team int
			cost float64
		}
		const largest = 100
		var s scheduler.Scheduler[job]
		weights := []float64{1, 2, 4}
		for team, w := range weights {
			for range 50 {
				cost := rapid.IntRange(1, largest).Draw(t, "cost")
				s.Offer(scheduler.Item[job]{
					Team: identifier.Team(fmt.Sprint(team)), Weight: w, Cost: identifier.Tokens(cost), Work: job{team, float64(cost)},
				}, 0)
			}
		}
		work := make([]float64, len(weights))
		for range rapid.IntRange(1, 40).Draw(t, "served") {
			j, _ := s.Next(context.Background())
			work[j.team] += j.cost / weights[j.team]
			for a := range weights {
				for b := range weights {
					if bound := largest/weights[a] + largest/weights[b]; math.Abs(work[a]-work[b]) > bound {
						t.Fatalf("teams %d and %d differ by %v, bound %v", a, b, work[a]-work[b], bound)
					}
				}
			}
		}
	})
}

// Guards against a team that is charged for the expected cost of its work instead of the tokens that it used.
func TestCompleteChargesUsedTokens(t *testing.T) {
	c := qt.New(t)
	var s scheduler.Scheduler[string]
	greedy := item{Team: "greedy", Cost: 1, Work: "greedy"}
	modest := item{Team: "modest", Cost: 1, Work: "modest"}
	for range 20 {
		s.Offer(greedy, 0)
		s.Offer(modest, 0)
	}
	counts := map[string]int{}
	for range 22 {
		work := next(c, &s)
		counts[work]++
		if work == "greedy" {
			s.Complete(greedy, 10, time.Second, 0)
		}
	}
	c.Assert(counts["modest"] >= 19, qt.IsTrue, qt.Commentf("%v", counts))
}

// Guards against work that is queued although it can't end before its deadline, and against a retry hint that is not
// the excess of the estimated wait over the allowed one.
func TestOfferRefusesLateWork(t *testing.T) {
	c := qt.New(t)
	var s scheduler.Scheduler[string]
	one := item{Team: "a", Cost: 100, Work: "x"}
	for i := range 51 {
		s.Complete(one, 10, time.Second, time.Duration(i)*100*time.Millisecond)
	}
	// The completion rate is 100 tokens a second, so that ten items of 100 tokens take ten seconds.
	for range 10 {
		c.Assert(s.Offer(one, 0).Refused, qt.IsFalse)
	}
	late := one
	late.Deadline = 8 * time.Second
	v := s.Offer(late, 0)
	c.Assert(v.Reason, qt.Equals, scheduler.ReasonLate)
	// Half of the eight seconds is reserved for the run.
	c.Assert(math.Abs(v.RetryAfter.Seconds()-6) < 0.5, qt.IsTrue, qt.Commentf("%v", v.RetryAfter))
	late.Deadline = 22 * time.Second
	c.Assert(s.Offer(late, 0).Refused, qt.IsFalse)
}

// Guards against a queue that grows beyond its capacity.
func TestOfferRefusesWhenFull(t *testing.T) {
	c := qt.New(t)
	s := scheduler.Scheduler[string]{Capacity: 2}
	for range 2 {
		c.Assert(s.Offer(item{Team: "a"}, 0).Refused, qt.IsFalse)
	}
	c.Assert(s.Offer(item{Team: "b"}, 0).Reason, qt.Equals, scheduler.ReasonFull)
}
