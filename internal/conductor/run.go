package conductor

import (
	"context"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// refusedPause keeps work off a target that refused an item, and retryPause delays an item after a failure.
	refusedPause = 150 * time.Millisecond
	retryPause   = 50 * time.Millisecond
	// itemPatience bounds one attempt of an item.
	itemPatience = 30 * time.Second
	// scorePatience bounds one scoring call.
	scorePatience = 4 * time.Second
)

// assignment is an item with the target that runs it.
type assignment struct {
	led    *led
	task   batcher.Task
	target router.Target
	route  navigator.Route
}

// dispatch gives items to targets with a free slot until ctx ends.
func (c *Conductor) dispatch(ctx context.Context) {
	for ctx.Err() == nil {
		a, ok, next := c.assign()
		if ok {
			if !c.queue.Offer(a) {
				c.Router.Release(a.target.ID)
				a.led.job.Retry(a.task.Index, c.Clock.Boot()+retryPause)
			}
			continue
		}
		c.idle(ctx, next)
	}
}

// idle waits for a signal or until next.
func (c *Conductor) idle(ctx context.Context, next time.Duration) {
	wait := tick
	if next > 0 {
		wait = max(time.Millisecond, next-c.Clock.Boot())
	}
	sub := c.Clock.After(wait)
	defer sub.Stop()
	select {
	case <-c.wake:
	case <-sub.C():
	case <-ctx.Done():
	}
}

// assign finds an item that is due and a target for it. Without one it returns when an item is due next.
func (c *Conductor) assign() (a assignment, ok bool, next time.Duration) {
	plan := c.Navigator.Current()
	now := c.Clock.Boot()
	for _, l := range c.leading() {
		if l.job.Finished() {
			continue
		}
		spec := l.job.Spec()
		route, known := plan.Route(spec.Host, spec.Path)
		switch {
		case plan.Revision() == 0:
			continue
		case !known || route.Kind != navigator.Rollout, c.expired(spec, route):
			l.job.AbandonWaiting()
			continue
		}
		service, ok := route.PickService()
		if !ok {
			continue
		}
		need := router.Requirements{Service: service, Zone: c.Zone, Region: c.Region, Spread: true}
		avoid := c.Registrar.TargetsToAvoid(service, spec.Model, spec.Least, now)
		need.Avoid = append(c.Registrar.SlowTargets(service, now), avoid...)
		target, ok := c.Router.Choose(need)
		if !ok {
			need.Avoid = avoid
			if target, ok = c.Router.Choose(need); !ok {
				continue
			}
		}
		task, ok, due := l.job.Next(now)
		if ok {
			return assignment{led: l, task: task, target: target, route: route}, true, 0
		}
		c.Router.Release(target.ID)
		if due > 0 && (next == 0 || due < next) {
			next = due
		}
	}
	return assignment{}, false, next
}

// expired reports whether the unfinished items of a job may be given up.
func (c *Conductor) expired(s batcher.Spec, r navigator.Route) bool {
	return r.QueueTTL > 0 && c.Clock.Now().Sub(s.Submitted) > r.QueueTTL+time.Second
}

// run makes attempts of an item until its text is whole, it is put back or it is given up. A whole text is scored.
func (c *Conductor) run(ctx context.Context, a assignment) {
	if a.task.Whole {
		c.Router.Release(a.target.ID)
		if a.led.job.Whole(a.task.Index) {
			c.score(ctx, a)
		}
		return
	}
	for {
		began := c.Clock.Boot()
		var h hearing
		end, next := c.attempt(ctx, a, &h)
		c.Router.Release(a.target.ID)
		c.settle(a, end)
		c.report(a, end, &h, began)
		if end != outpaced {
			if end == whole && a.led.job.Whole(a.task.Index) {
				c.score(ctx, a)
			}
			c.WakeDispatcher()
			return
		}
		a.target, a.task = next, a.led.job.Current(a.task.Index)
		c.WakeDispatcher()
	}
}

// report counts an attempt of an item and writes its log line.
func (c *Conductor) report(a assignment, end ending, h *hearing, began time.Duration) {
	took := c.Clock.Boot() - began
	if c.ObserveAttempt != nil {
		c.ObserveAttempt(end.String(), took)
	}
	if end == whole && a.task.Had == 0 && !c.Sampler.Keep(string(a.task.Item.ID)) {
		return
	}
	c.Log.Emit(logger.ItemAttempted, "item", a.task.Item.ID, "job", a.led.id, "target", a.target.ID, "had", a.task.Had,
		"events", h.events.Load(), "end", end.String(), "first", h.untilFirst(began), "took", took)
}

// ending is how an attempt of an item ended.
type ending int

const (
	whole ending = iota + 1
	refused
	unreached
	broken
	silent
	failed
	impossible
	stale
	stopped
	outpaced
)

// String returns the name of the ending.
func (e ending) String() string {
	names := [...]string{"none", "whole", "refused", "unreached", "broken", "silent", "failed", "impossible", "stale", "stopped", "outpaced"}
	if e < 0 || int(e) >= len(names) {
		return "invalid"
	}
	return names[e]
}

// settle records what an ending says of the item and its target.
func (c *Conductor) settle(a assignment, end ending) {
	now := c.Clock.Boot()
	j, i := a.led.job, a.task.Index
	switch end {
	case whole:
		c.Registrar.RecordSuccess(a.target.ID)
	case refused:
		c.Registrar.Suspend(a.target.ID, now+refusedPause)
		j.Retry(i, now)
	case unreached, broken, silent:
		c.Registrar.RecordFailure(a.target.ID, now)
		j.Retry(i, now)
	case failed:
		if j.Fail(i, max(a.route.MaxAttempts, 1)) {
			j.Abandon(i)
			return
		}
		j.Retry(i, now+retryPause)
	case impossible:
		j.Abandon(i)
	case stale:
		j.Restart(i)
		j.Retry(i, now+retryPause)
	case stopped:
		j.Retry(i, now)
	case outpaced:
		// The item goes on at once at a target that is set aside for it.
	}
}

// call returns the call of an item.
func (c *Conductor) call(a assignment) forwarder.Call {
	spec, item := a.led.job.Spec(), a.task.Item
	header := make(map[string][]string, len(item.Header))
	for k, v := range item.Header {
		header[k] = []string{v}
	}
	path, _, _ := strings.Cut(item.Path, "?")
	call := forwarder.Call{
		Request: forwarder.Request{
			ID: identifier.Request(item.ID), Method: "POST", URI: item.Path, Path: path, Host: spec.Host, Header: header, Body: item.Body,
		},
		Target: a.target, Team: spec.Team, Timeout: itemPatience, Priority: a.route.Priority,
	}
	if a.task.Had > 0 {
		call = call.WithResume(a.task.Last)
	}
	return call
}

// score has the text of an item scored and ends the item.
func (c *Conductor) score(ctx context.Context, a assignment) {
	job, i, call := a.led.job, a.task.Index, a.task.Item.Score
	path, _, _ := strings.Cut(call.Path, "?")
	failures := 0
	for ctx.Err() == nil && !job.Finished() && !c.expired(job.Spec(), a.route) {
		began := c.Clock.Boot()
		var sink scoreSink
		r := c.Forwarder.Forward(ctx, forwarder.Request{
			ID: call.ID, Method: "POST", URI: call.Path, Path: path, Host: call.Host, Body: call.Body,
			CallerTimeout: scorePatience, Internal: true, Header: map[string][]string{},
		}, &sink)
		c.reportScore(a, r, c.Clock.Boot()-began)
		switch {
		case r.Outcome == forwarder.Answered && r.Status >= 200 && r.Status < 300 && r.Stamp != "":
			job.Scored(i, r.Stamp)
			return
		case r.Outcome == forwarder.Answered && r.Status == statusFailed:
			if failures += r.Failures(); failures >= c.scoreAttempts(call) {
				job.Abandon(i)
				return
			}
		}
		timer.Wait(ctx, c.Clock, retryPause)
	}
}

// reportScore writes the log line of a scoring call.
func (c *Conductor) reportScore(a assignment, r forwarder.Result, took time.Duration) {
	if r.Outcome == forwarder.Answered && r.Status < 300 && len(r.Attempts) == 1 && !c.Sampler.Keep(string(a.task.Item.ID)) {
		return
	}
	c.Log.Emit(logger.ItemScored, "item", a.task.Item.ID, "request", a.task.Item.Score.ID, "outcome", r.Outcome.String(),
		"reason", string(r.Reason), "status", r.Status, "tries", r.FormatAttempts(), "took", took)
}

// scoreAttempts returns the number of failures after which an item whose scoring fails may be given up.
func (c *Conductor) scoreAttempts(call batcher.ScoreCall) int {
	path, _, _ := strings.Cut(call.Path, "?")
	route, _ := c.Navigator.Current().Route(call.Host, path)
	return max(route.MaxAttempts, 1)
}

// scoreSink drops the body of a scoring answer; its stamp is the score.
type scoreSink struct{}

func (*scoreSink) Begin(int, map[string][]string, int64) {}

func (*scoreSink) Write([]byte) error { return nil }
