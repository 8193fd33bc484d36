package conductor

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/ranker"
)

const (
	// outlookPeriod is the time after which the work that a job still needs is counted again. It is short beside the slack of a step,
	// and long beside the counting, which visits each item.
	outlookPeriod = 100 * time.Millisecond
	// commitAllowance is the time for the last write of a step and the trainer's read of it.
	commitAllowance = 100 * time.Millisecond
	// slotsPeriod is the time after which the slots of all services are counted again, which visits each target.
	slotsPeriod = time.Second
)

// candidate is a demand of a led job with its place among those that wait for slots.
type candidate struct {
	ledJob  *ledJob
	route   navigator.Route
	service identifier.Service
	demand  batcher.Demand
	rank    ranker.Rank
}

// order holds what the ranks of led jobs follow from. Only the goroutine that assigns items uses it.
type order struct {
	revision  identifier.Revision
	scale     ranker.Scale
	teams     map[identifier.Team]int
	slots     map[identifier.Service]int
	countedAt time.Duration
	// late is the number of jobs with waiting items that can't be in time any more. Metrics read it.
	late atomic.Int64
}

// outlook is what a led job needed when it was last counted. Only the goroutine that assigns items uses it.
type outlook struct {
	counted        bool
	at, need, work time.Duration
	standing       ranker.Standing
	crowded        bool
}

// refreshOrder reads the priorities of a new plan, and counts the slots of all services once every slotsPeriod.
func (c *Conductor) refreshOrder(plan navigator.Plan, now time.Duration) {
	o := &c.order
	if o.revision != plan.Revision() {
		o.revision, o.scale, o.teams = plan.Revision(), ranker.NewScale(plan.Priorities()), plan.TeamPriorities()
	}
	if o.slots != nil && now-o.countedAt < slotsPeriod {
		return
	}
	o.slots, o.countedAt = make(map[identifier.Service]int), now
	for _, t := range c.Router.View().Targets() {
		o.slots[t.Service] += max(t.Slots, 1)
	}
}

// refreshOutlook counts what a job with a due time still needs, once every outlookPeriod.
func (c *Conductor) refreshOutlook(l *ledJob, route navigator.Route, service identifier.Service, now time.Duration) {
	o := &l.outlook
	if !c.BySlack || route.ResultDue <= 0 || o.counted && now-o.at < outlookPeriod {
		return
	}
	o.counted, o.at = true, now
	counted := l.job.Outlook(c.Registrar.ServicePace(service), c.order.slots[service])
	o.need, o.work = counted.Need()+commitAllowance, counted.Work
}

// rank returns the place of the items of a job that the trainer waits for.
func (c *Conductor) rank(l *ledJob, route navigator.Route, now time.Duration) ranker.Rank {
	if !c.BySlack {
		return ranker.Rank{Priority: route.Priority}
	}
	priority, set := c.order.teams[l.job.Spec().Team]
	if !set || route.ResultDue <= 0 {
		priority = route.Priority
	}
	deadline := ranker.NewDeadline(route.ResultDue, route.QueueTTL)
	o, age := &l.outlook, l.age(now)
	if standing := deadline.Assess(o.standing, age, o.need); standing != o.standing {
		c.Log.Emit(logger.StandingChanged, "job", l.id, "from", o.standing.String(), "to", standing.String(), "age", age, "need", o.need,
			"priority", priority)
		o.standing = standing
	}
	return ranker.Rank{Priority: priority, Standing: o.standing, Slack: deadline.Slack(age, o.need)}
}

// sortCandidates orders the demands of all led jobs, given in the order of their submission. It changes nothing where no job has a due
// time.
func sortCandidates(all []candidate) {
	if slices.ContainsFunc(all, func(c candidate) bool { return c.rank.Standing != ranker.Undated }) {
		slices.SortStableFunc(all, func(a, b candidate) int { return a.rank.Compare(b.rank) })
	}
}

// nextAssignment finds an item that is due and a target for it. If there is none, it returns the time at which the
// next item is due, or zero if no item waits.
func (c *Conductor) nextAssignment() (a assignment, ok bool, next time.Duration) {
	plan := c.Navigator.Current()
	now := c.Clock.Monotonic()
	c.refreshOrder(plan, now)
	var waiting []candidate
	var contest contest
	for _, l := range c.ledJobs() {
		if l.job.Finished() {
			continue
		}
		spec := l.job.Spec()
		route, known := plan.Route(spec.Host, spec.Path)
		switch {
		case plan.Revision() == 0, plan.Revision() < spec.Revision:
			// The route may be one that this process has not read yet.
			continue
		case !known || route.Kind != navigator.Rollout, c.expired(l, route):
			l.job.AbandonWaiting()
			continue
		}
		service, ok := route.PickService()
		if !ok {
			continue
		}
		if !c.mayAssign(plan, l, route) {
			continue
		}
		c.refreshOutlook(l, route, service, now)
		demands, due := l.job.Due(now)
		if due > 0 && (next == 0 || due < next) {
			next = due
		}
		rank := c.rank(l, route, now)
		contest.add(l, service, rank)
		for _, d := range demands {
			rank.Surplus = d.Surplus
			waiting = append(waiting, candidate{ledJob: l, route: route, service: service, demand: d, rank: rank})
		}
	}
	contest.leaveOut(waiting)
	c.countLate(waiting)
	sortCandidates(waiting)
	items := make(map[identifier.Service]int)
	var reserve ranker.Reserve
	for _, w := range waiting {
		if a, ok := c.assign(w, &reserve, now); ok {
			return a, true, 0
		}
		items[w.service] += w.demand.Items
	}
	for service, n := range items {
		c.Forwarder.Limiter.SetDemand(service, n)
	}
	return assignment{}, false, next
}

// assign starts the next item of a demand on a target of a service. A text that no target continues begins anew.
func (c *Conductor) assign(w candidate, reserve *ranker.Reserve, now time.Duration) (assignment, bool) {
	l, service, d := w.ledJob, w.service, w.demand
	if c.BySlack && !reserve.Admits(service, w.rank, c.Router.InFlight(service), c.order.slots[service]) {
		return assignment{}, false
	}
	cost := c.expectNext(l, w.route, service, d.Constraint, now)
	target, ok := c.chooseTarget(service, l, d.Release, cost, now)
	if !ok && d.Continues {
		cost = cost.withoutText()
		target, ok = c.restartText(l, service, d, cost, now)
		d.Constraint = batcher.Constraint{}
	}
	if !ok {
		return assignment{}, false
	}
	task, ok := l.job.Next(now, d.Constraint)
	if !ok {
		c.release(target, target.Work)
		return assignment{}, false
	}
	return assignment{ledJob: l, task: task, target: target, route: w.route, cost: cost, urgency: c.order.scale.Urgency(w.rank)}, true
}

// recordPace keeps what an attempt shows about the speed of its target.
func (c *Conductor) recordPace(a assignment, outcome attemptOutcome, t *eventTimings, began time.Duration) {
	if first := t.timeToFirst(began); first > 0 {
		c.Registrar.RecordFirst(a.target.ID, first, c.Clock.Monotonic())
	}
	if outcome == attemptComplete {
		c.Registrar.RecordText(a.target.Service, a.task.Item.Hint, a.task.Events+int(t.events.Load()))
	}
}

// countLate counts the jobs among the candidates that can't be in time any more.
func (c *Conductor) countLate(all []candidate) {
	late := make(map[identifier.Job]bool)
	for _, w := range all {
		if w.rank.Standing >= ranker.Late || w.rank.Crowded {
			late[w.ledJob.id] = true
		}
	}
	c.order.late.Store(int64(len(late)))
}

// LateJobs returns the number of jobs with waiting items that can't be in time any more.
func (c *Conductor) LateJobs() int { return int(c.order.late.Load()) }
