package conductor

import (
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/estimator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/router"
)

// itemCost is the expected cost of an attempt of an item. The zero value is that of an item of which nothing is known. It is immutable.
type itemCost struct {
	features estimator.Features
	// work is the expected work at any target, and heldWork that at one which has the shared part of the prompt.
	work, heldWork estimator.Work
	part           uint64
	// events is the number of events that the text has before the attempt.
	events int
}

// expectNext returns the cost of the item that Next would start.
func (c *Conductor) expectNext(l *ledJob, route navigator.Route, s identifier.Service, constraint batcher.Constraint, now time.Duration) itemCost {
	if c.Estimator == nil || c.Shape == nil {
		return itemCost{}
	}
	task, ok := l.job.Peek(now, constraint)
	if !ok || task.TextComplete {
		return itemCost{}
	}
	path, _, _ := strings.Cut(task.Item.Path, "?")
	f := estimator.Features{Service: s, Route: route.Name, Path: path, Shape: c.Shape(itemHeader(task.Item))}
	if f.Shape.Hint == 0 {
		f.Shape.Hint = identifier.Tokens(task.Item.Hint)
	}
	if f.Shape.Model == "" {
		f.Shape.Model = l.job.Spec().Model
	}
	held := f
	held.Held = true
	return itemCost{
		features: f, work: c.Estimator.Predict(f), heldWork: c.Estimator.Predict(held), part: f.Shape.SharedKey(), events: task.Events,
	}
}

// itemHeader returns a function that finds a header of an item by its name in any case.
func itemHeader(item batcher.Item) func(name string) string {
	return func(name string) string {
		for n, value := range item.Header {
			if strings.EqualFold(n, name) {
				return value
			}
		}
		return ""
	}
}

// withoutText returns the cost of the item if its text is begun anew.
func (i itemCost) withoutText() itemCost {
	i.events = 0
	return i
}

// withEvents returns the cost of the item once its text has a number of events.
func (i itemCost) withEvents(n int) itemCost {
	i.events = n
	return i
}

// add adds the cost to what an attempt requires of its target.
func (i itemCost) add(need router.Requirements) router.Requirements {
	need.Work = i.work.From(i.events)
	need.Shared = router.SharedPart{Key: i.part, Saved: max(0, i.work.Start-i.heldWork.Start)}
	return need
}

// at returns the expected work of the attempt at the target that was chosen for it.
func (i itemCost) at(t router.Target) estimator.Work {
	if t.Held {
		return i.heldWork
	}
	return i.work
}

// progressShare is the part of an attempt's work by which it has to change before the router is told, so that an attempt takes the router's
// lock about this often and not with each event.
const progressShare = 8

// recordProgress corrects the outstanding work at the target of an attempt that has received another event.
func (c *Conductor) recordProgress(a assignment, t *eventTimings) {
	if a.target.Work == 0 {
		return
	}
	n := int(t.events.Load())
	left := a.cost.at(a.target).Remaining(a.task.Events+n, n)
	if change := t.left - left; change.Abs() >= a.target.Work/progressShare {
		c.Router.Reduce(a.target.ID, change)
		t.left = left
	}
}

// release ends an attempt at a target of which some work was left.
func (c *Conductor) release(t router.Target, left time.Duration) {
	c.Router.Reduce(t.ID, left)
	c.Router.Release(t.ID)
}

// observeCost takes in the work of an attempt that ended a text. Attempts that ended otherwise do not tell how long it would have become.
func (c *Conductor) observeCost(a assignment, outcome attemptOutcome, t *eventTimings, began time.Duration) {
	n := t.events.Load()
	if outcome != attemptComplete || n == 0 {
		return
	}
	speed := c.Router.Speed(a.target.ID)
	w := estimator.Work{Start: usual(t.timeToFirst(began), speed), Events: float64(a.task.Events) + float64(n)}
	if n > 1 {
		w.Interval = usual(time.Duration(t.last.Load()-t.first.Load())/time.Duration(n-1), speed)
	}
	f := a.cost.features
	f.Held = a.target.Held
	if f.Service != "" {
		c.Estimator.Observe(f, w)
	}
}

// usual converts a time at a target of some speed to that at one of the usual speed.
func usual(t time.Duration, speed float64) time.Duration { return time.Duration(float64(t) * speed) }

// LeadsUnfinished reports whether this process leads a job that has not finished.
func (c *Conductor) LeadsUnfinished() bool {
	for _, l := range c.ledJobs() {
		if !l.job.Finished() {
			return true
		}
	}
	return false
}
