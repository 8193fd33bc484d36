package batcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/pacer"
	"github.com/mimosalb/mimosalb/internal/ranker"
)

const (
	tick     = 20 * time.Millisecond
	interval = 120 * time.Millisecond
	reading  = 400 * time.Millisecond
	scoring  = 200 * time.Millisecond
	due      = 7500 * time.Millisecond
)

var (
	pace     = pacer.Pace{}.WithFirst(reading).WithInterval(interval).WithScore(scoring)
	deadline = ranker.NewDeadline(due, 0)
)

// step is a job of the simulated load.
type step struct {
	*batcher.Job
	began    time.Duration
	standing ranker.Standing
	rank     ranker.Rank
	wholeAt  time.Duration
}

// run is an item that runs; left holds the ticks until each of its events and its score.
type run struct {
	step           *step
	index, written int
	next           time.Duration
}

// newStep returns a step of 14 groups with 8 items of 6 to 18 events, whose hints are right at the median and half or twice the length for
// others. Its trainer waits for 90% of the groups.
func newStep(id string, began time.Duration, random *rand.Rand) (*step, []int) {
	s := batcher.Spec{ID: identifier.Job(id), Desired: 13}
	lengths := make([]int, 0, 14*8)
	for i := range 14 * 8 {
		length := 6 + random.IntN(13)
		lengths = append(lengths, length)
		s.Items = append(s.Items, batcher.Item{
			ID: identifier.Item(fmt.Sprint(i)), Group: identifier.Group(fmt.Sprint(i / 8)), Hint: max(1, length*[]int{2, 4, 4, 4, 8}[random.IntN(5)]/4),
			Score: batcher.ScoreCall{ID: "score"},
		})
	}
	return &step{Job: batcher.NewJob(s), began: began}, lengths
}

// simulate plays three steps every 4 s for a minute on a number of slots, and returns how many of them were whole in time.
func simulate(slots int, slack bool) (whole, steps int) {
	random := rand.New(rand.NewPCG(1, uint64(slots)))
	lengths := make(map[*step][]int)
	var all []*step
	var running []*run
	for now := time.Duration(0); now < 75*time.Second; now += tick {
		if now < time.Minute && now%(4*time.Second) == 0 {
			for m := range 3 {
				s, l := newStep(fmt.Sprint(now, m), now, random)
				lengths[s] = l
				all = append(all, s)
			}
		}
		running = slices.DeleteFunc(running, func(r *run) bool { return r.advance(now, lengths[r.step]) })
		all = slices.DeleteFunc(all, func(s *step) bool {
			from, pending := s.Pending()
			s.MarkDurable(from, len(pending))
			if s.complete() {
				s.wholeAt = now - s.began
			}
			over := s.wholeAt > 0 || now-s.began > deadline.GiveUp
			if over {
				s.Finish()
				running = slices.DeleteFunc(running, func(r *run) bool { return r.step == s })
			}
			return over
		})
		if slack && now%(5*tick) == 0 {
			rankSteps(all, now, slots)
		}
		for len(running) < slots {
			r := startFirst(all, now, len(running), slots, slack)
			if r == nil {
				break
			}
			running = append(running, r)
		}
	}
	for s := range lengths {
		if steps++; s.wholeAt > 0 && s.wholeAt <= deadline.InTime {
			whole++
		}
	}
	return whole, steps
}

// rankSteps ranks all steps by slack.
func rankSteps(all []*step, now time.Duration, slots int) {
	var contending []*step
	var contenders []ranker.Contender
	for _, s := range all {
		outlook := s.Outlook(pace, slots)
		s.standing = deadline.Assess(s.standing, now-s.began, outlook.Need())
		s.rank = ranker.Rank{Standing: s.standing, Crowded: s.rank.Crowded, Slack: deadline.Slack(now-s.began, outlook.Need())}
		if s.standing == ranker.Tight || s.standing == ranker.Ample {
			contending = append(contending, s)
			contenders = append(contenders, ranker.Contender{
				Left: deadline.InTime - (now - s.began), Work: outlook.Work, Crowded: s.rank.Crowded,
			})
		}
	}
	for i, crowded := range ranker.Crowd(contenders) {
		contending[i].rank.Crowded = crowded
	}
}

// complete reports whether the trainer can go on.
func (s *step) complete() bool {
	left := make(map[identifier.Group]int)
	spec := s.Spec()
	for _, item := range spec.Items {
		left[item.Group]++
	}
	results, _ := s.Results(0, 1<<30)
	groups := 0
	for _, r := range results {
		i := 0
		_, _ = fmt.Sscan(string(r.Item), &i)
		if left[spec.Items[i].Group]--; left[spec.Items[i].Group] == 0 {
			groups++
		}
	}
	return groups >= spec.Desired
}

// startFirst starts the item that goes first, if one may.
func startFirst(all []*step, now time.Duration, taken, slots int, slack bool) *run {
	type waiting struct {
		step *step
		rank ranker.Rank
	}
	var candidates []waiting
	for _, s := range all {
		demands, _ := s.Due(now)
		for _, d := range demands {
			rank := s.rank
			rank.Surplus = d.Surplus
			candidates = append(candidates, waiting{s, rank})
		}
	}
	if slack {
		slices.SortStableFunc(candidates, func(a, b waiting) int { return a.rank.Compare(b.rank) })
	}
	var reserve ranker.Reserve
	for _, w := range candidates {
		if slack && !reserve.Admits("s", w.rank, taken, slots) {
			continue
		}
		if task, ok := w.step.Next(now, batcher.Constraint{}); ok {
			return &run{step: w.step, index: task.Index, next: now + reading}
		}
	}
	return nil
}

// advance plays what happens to a running item until now, and reports whether its slot is free again.
func (r *run) advance(now time.Duration, lengths []int) bool {
	for r.next <= now {
		r.written++
		r.step.Append(r.index, r.written, []byte("x"), 1, false)
		if r.written == lengths[r.index] {
			r.step.CompleteText(r.index)
			r.step.SetScore(r.index, "score")
			return true
		}
		r.next += interval
	}
	return false
}

// Guards against steps that are lost whole because slots go to lost steps and to groups that nobody waits for: the load is three steps of 112
// items every 4 s, on slots that are far too few to plenty.
func TestStepsInTimeUnderLoad(t *testing.T) {
	var out strings.Builder
	for _, slots := range []int{60, 100, 130, 150} {
		before, steps := simulate(slots, false)
		after, _ := simulate(slots, true)
		fmt.Fprintf(&out, "%d slots: whole in time %d of %d by submission, %d by slack\n", slots, before, steps, after)
		qt.Check(t, after >= before, qt.IsTrue, qt.Commentf("%d slots: %d before, %d after", slots, before, after))
	}
	goldie.New(t).Assert(t, "load", []byte(out.String()))
}
