package conductor

import (
	"context"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// refusalSuspension is how long a target is suspended after it refused an item, and retryDelay the delay before an
	// item or a scoring call that failed is repeated.
	refusalSuspension = 150 * time.Millisecond
	retryDelay        = 50 * time.Millisecond
	// itemTimeout limits one attempt of an item.
	itemTimeout = 30 * time.Second
	// scoreTimeout limits one scoring call.
	scoreTimeout = 4 * time.Second
	// maxScoreTime is the time for all scoring calls of an item where the route of its job has no queue TTL.
	maxScoreTime = 30 * time.Second
	// queueTTLMargin is the time after the queue TTL of a job's route at which unfinished items may be abandoned.
	queueTTLMargin = time.Second
	// minWorkWait is the shortest wait for an item that becomes due.
	minWorkWait = time.Millisecond
)

// assignment is an item together with the target that runs it, on which a slot is reserved.
type assignment struct {
	ledJob *ledJob
	task   batcher.Task
	target router.Target
	route  navigator.Route
	cost   itemCost
	// urgency is the class with which the item is sent. It stays the same until the item waits again.
	urgency int
}

// assignItems assigns due items to targets with a free slot until ctx ends.
func (c *Conductor) assignItems(ctx context.Context) {
	for ctx.Err() == nil {
		a, ok, next := c.nextAssignment()
		if ok {
			if !c.queue.Offer(a) {
				c.release(a.target, a.target.Work)
				a.ledJob.job.Retry(a.task.Index, c.Clock.Monotonic()+retryDelay)
			}
			continue
		}
		c.waitForWork(ctx, next)
	}
}

// waitForWork blocks until TriggerAssignment is called, the monotonic clock reaches next or ctx ends. If next is zero,
// it waits for at most maintenancePeriod.
func (c *Conductor) waitForWork(ctx context.Context, next time.Duration) {
	wait := maintenancePeriod
	if next > 0 {
		wait = max(minWorkWait, next-c.Clock.Monotonic())
	}
	timeout := c.Clock.After(wait)
	defer timeout.Stop()
	select {
	case <-c.wake:
	case <-timeout.C():
	case <-ctx.Done():
	}
}

// maxContinuationWait is how long a text waits for a target of the software version that generated it, while one is listed.
const maxContinuationWait = time.Second

// restartText reserves a slot on a target of any release for one text of a demand, and drops that text. It drops none while no
// target has a free slot, and none that has not waited for maxContinuationWait while its release is listed.
func (c *Conductor) restartText(
	l *ledJob, service identifier.Service, d batcher.Demand, cost itemCost, now time.Duration,
) (router.Target, bool) {
	since, served := now, c.Router.View().Serves(service, d.Release)
	if served {
		since = now - maxContinuationWait
	}
	target, ok := c.chooseTarget(service, l, "", cost, now)
	if !ok {
		return target, false
	}
	if !l.job.RestartText(d.Constraint, since) {
		c.release(target, target.Work)
		return target, false
	}
	c.Log.Emit(logger.TextRestarted, "job", l.id, "release", d.Release, "served", served)
	return target, true
}

// chooseTarget reserves a slot on a target for an item of a job, on one of a release unless that is empty. Slow targets are
// used only if there is no other.
func (c *Conductor) chooseTarget(
	service identifier.Service, l *ledJob, release identifier.Release, cost itemCost, now time.Duration,
) (router.Target, bool) {
	spec := l.job.Spec()
	need := cost.add(router.Requirements{
		Service: service, Zone: c.Zone, Region: c.Region, Release: release, Spread: true, Regions: c.scope(l).Regions,
	})
	avoid := c.Registrar.TargetsToAvoid(service, spec.Model, spec.Least, now)
	need.Avoid = append(c.Registrar.SlowTargets(service, now), avoid...)
	if target, ok := c.Forwarder.Limiter.Choose(c.Router, need); ok {
		return target, true
	}
	need.Avoid = avoid
	return c.Forwarder.Limiter.Choose(c.Router, need)
}

// expired reports whether queueTTLMargin has passed since the queue TTL of a job's route, so that unfinished items may be
// abandoned.
func (c *Conductor) expired(l *ledJob, r navigator.Route) bool {
	return r.QueueTTL > 0 && l.age(c.Clock.Monotonic()) > r.QueueTTL+queueTTLMargin
}

// runItem runs an item until its text is complete, it is queued again or it is abandoned. A complete text is scored.
func (c *Conductor) runItem(ctx context.Context, a assignment) {
	if a.task.TextComplete {
		c.release(a.target, a.target.Work)
		if a.ledJob.job.CompleteText(a.task.Index) {
			c.scoreItem(ctx, a)
		}
		return
	}
	if serving, ok := c.Router.View().Target(a.target.ID); !ok || serving.Incarnation != a.target.Incarnation {
		// The target left or restarted while the assignment waited for a worker.
		c.release(a.target, a.target.Work)
		a.ledJob.job.Retry(a.task.Index, c.Clock.Monotonic())
		c.TriggerAssignment()
		return
	}
	for {
		began, sent := c.Clock.Monotonic(), c.Clock.Now()
		timings := eventTimings{left: a.target.Work}
		outcome, next := c.runAttempt(ctx, a, &timings)
		c.release(a.target, timings.left)
		c.observeCost(a, outcome, &timings, began)
		c.applyOutcome(a, outcome)
		c.observeAttempt(a, outcome, sent)
		c.recordPace(a, outcome, &timings, began)
		c.reportAttempt(a, outcome, &timings, began)
		if outcome != attemptOutpaced {
			if outcome == attemptComplete && a.ledJob.job.CompleteText(a.task.Index) {
				c.scoreItem(ctx, a)
			}
			c.TriggerAssignment()
			return
		}
		a.target, a.task = next, a.ledJob.job.CurrentTask(a.task.Index)
		a.cost = a.cost.withEvents(a.task.Events)
		c.TriggerAssignment()
	}
}

// reportAttempt counts an attempt of an item and logs it.
func (c *Conductor) reportAttempt(a assignment, outcome attemptOutcome, t *eventTimings, began time.Duration) {
	took := c.Clock.Monotonic() - began
	if c.ObserveAttempt != nil {
		c.ObserveAttempt(outcome.String(), took)
	}
	if outcome == attemptComplete && a.task.Events == 0 && !c.Sampler.Keep(string(a.task.Item.ID)) {
		return
	}
	c.Log.Emit(logger.ItemAttempted, "item", a.task.Item.ID, "job", a.ledJob.id, "target", a.target.ID, "release", a.target.Release,
		"had", a.task.Events, "wrote", a.task.Release, "events", t.events.Load(), "end", outcome.String(),
		"first", t.timeToFirst(began), "took", took)
}

// attemptOutcome is how an attempt of an item ended.
type attemptOutcome int

const (
	// attemptComplete means that the text is complete.
	attemptComplete attemptOutcome = iota + 1
	// attemptRefused means that the target did not run the item.
	attemptRefused
	// attemptUnsent means that the call was not sent.
	attemptUnsent
	// attemptBroken means that the connection failed or that the answer had an unexpected status.
	attemptBroken
	// attemptTimedOut means that the next event was overdue.
	attemptTimedOut
	// attemptFailed means that the target answered that the item failed.
	attemptFailed
	// attemptUnprocessable means that the target answered that the item can't be processed.
	attemptUnprocessable
	// attemptStale means that an event did not fit the text so far: its number or its weight version is not acceptable.
	attemptStale
	// attemptStopped means that the job finished during the attempt, or that the configuration or an order excludes its target by now.
	attemptStopped
	// attemptOutpaced means that the item moves to a faster target.
	attemptOutpaced
)

// String returns the name of the outcome.
func (o attemptOutcome) String() string {
	names := [...]string{"none", "whole", "refused", "unreached", "broken", "silent", "failed", "impossible", "stale", "stopped", "outpaced"}
	if o < 0 || int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// applyOutcome updates the state of the item and of its target after an attempt.
func (c *Conductor) applyOutcome(a assignment, outcome attemptOutcome) {
	now := c.Clock.Monotonic()
	j, i := a.ledJob.job, a.task.Index
	switch outcome {
	case attemptComplete:
		c.Registrar.RecordSuccess(a.target.ID)
	case attemptRefused:
		c.Registrar.Suspend(a.target.ID, now+refusalSuspension)
		j.Retry(i, now)
	case attemptUnsent, attemptBroken, attemptTimedOut:
		c.Registrar.RecordFailure(a.target.ID, now)
		j.Retry(i, now)
	case attemptFailed:
		if j.CountFailure(i, max(a.route.MaxAttempts, 1)) {
			j.Abandon(i)
			return
		}
		j.Retry(i, now+retryDelay)
	case attemptUnprocessable:
		j.Abandon(i)
	case attemptStale:
		j.DropText(i)
		j.Retry(i, now+retryDelay)
	case attemptStopped:
		j.Retry(i, now)
	case attemptOutpaced:
		// The item continues at once on the target that chooseFasterTarget reserved.
	}
}

// observeAttempt keeps what the end of an attempt of an item says about its target. The item itself is never suspected of
// crashing targets: it is owed whatever became of them.
func (c *Conductor) observeAttempt(a assignment, outcome attemptOutcome, sent time.Time) {
	attempt := isolator.Attempt{Target: a.target.ID, Incarnation: a.target.Incarnation, Service: a.target.Service, Sent: sent}
	switch outcome {
	case attemptBroken:
		c.Forwarder.Observer.Broken(attempt, c.Clock.Now())
	case attemptComplete, attemptFailed, attemptUnprocessable:
		c.Forwarder.Observer.Answered(attempt)
	default:
		// The other outcomes show neither that the target lives nor that it ended.
	}
}

// itemCall returns the call that runs an item, from the event after the last one if it has a partial text.
func (c *Conductor) itemCall(a assignment) forwarder.Call {
	spec, item := a.ledJob.job.Spec(), a.task.Item
	header := make(map[string][]string, len(item.Header))
	for k, v := range item.Header {
		header[k] = []string{v}
	}
	path, _, _ := strings.Cut(item.Path, "?")
	call := forwarder.Call{
		Request: forwarder.Request{
			ID: identifier.Request(item.ID), Method: "POST", URI: item.Path, Path: path, Host: spec.Host, Header: header, Body: item.Body,
		},
		Target: a.target, Team: spec.Team, Timeout: itemTimeout, Priority: a.urgency, Gate: itemGate{conductor: c, job: a.ledJob},
	}
	if a.task.Events > 0 {
		call = call.WithResume(a.task.LastEvent)
	}
	return call
}

// scoreItem repeats the scoring call of an item until it succeeds and then completes the item, or abandons the item
// after too many failures.
func (c *Conductor) scoreItem(ctx context.Context, a assignment) {
	job, i, call := a.ledJob.job, a.task.Index, a.task.Item.Score
	path, _, _ := strings.Cut(call.Path, "?")
	failures := 0
	end, scoring := c.scoreEnd(a), c.Clock.Monotonic()
	for ctx.Err() == nil && !job.Finished() && !c.expired(a.ledJob, a.route) {
		began, scope := c.Clock.Monotonic(), c.scope(a.ledJob)
		if !scope.AllowsEntry(c.Region) {
			// The job moves, or waits, and is scored where it is led next.
			timer.Wait(ctx, c.Clock, maintenancePeriod)
			continue
		}
		var sink scoreSink
		r := c.Forwarder.Forward(ctx, forwarder.Request{
			ID: call.ID, Method: "POST", URI: call.Path, Path: path, Host: call.Host, Body: call.Body,
			CallerTimeout: scoreTimeout, TargetTimeout: max(end-began, minTargetTimeout), Internal: true, Header: map[string][]string{},
			Regions: scope.Regions,
		}, &sink)
		c.reportScore(a, r, c.Clock.Monotonic()-began)
		switch {
		case r.Outcome == forwarder.Answered && r.Status >= 200 && r.Status < 300 && r.Stamp != "":
			job.SetScore(i, r.Stamp)
			c.Registrar.RecordScored(a.target.Service, c.Clock.Monotonic()-scoring)
			return
		case r.Outcome == forwarder.Answered && r.Status == statusFailed:
			if failures += r.Failures(); failures >= c.scoreAttempts(call) {
				job.Abandon(i)
				return
			}
		}
		timer.Wait(ctx, c.Clock, scoreDelay(r))
	}
}

// minTargetTimeout is the shortest time that a target is given.
const minTargetTimeout = time.Millisecond

// scoreEnd returns the monotonic time until which targets may work on the scoring calls of an item. It is the same for each
// repeat of the call, at this process and at one that takes the job over.
func (c *Conductor) scoreEnd(a assignment) time.Duration {
	now := c.Clock.Monotonic()
	if a.route.QueueTTL <= 0 {
		return now + maxScoreTime
	}
	return now + a.route.QueueTTL + queueTTLMargin - a.ledJob.age(now)
}

// reportScore logs a scoring call.
func (c *Conductor) reportScore(a assignment, r forwarder.Result, took time.Duration) {
	if r.Outcome == forwarder.Answered && r.Status < 300 && len(r.Attempts) == 1 && !c.Sampler.Keep(string(a.task.Item.ID)) {
		return
	}
	c.Log.Emit(logger.ItemScored, "item", a.task.Item.ID, "request", a.task.Item.Score.ID, "outcome", r.Outcome.String(),
		"reason", string(r.Reason), "status", r.Status, "tries", r.FormatAttempts(), "took", took)
}

// scoreAttempts returns the number of failed scoring calls after which an item may be abandoned.
func (c *Conductor) scoreAttempts(call batcher.ScoreCall) int {
	path, _, _ := strings.Cut(call.Path, "?")
	route, _ := c.Navigator.Current().Route(call.Host, path)
	return max(route.MaxAttempts, 1)
}

// scoreSink discards the body of a scoring answer; the score is the answer's stamp.
type scoreSink struct{}

func (*scoreSink) Begin(int, map[string][]string, int64) {}

func (*scoreSink) Write([]byte) error { return nil }
