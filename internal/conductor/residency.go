package conductor

import (
	"context"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/recorder"
)

// leaveRetryDelay is the time between two attempts to give away a job that this process may not lead any more.
const leaveRetryDelay = time.Second

// scopeUnder returns where the bodies and texts of a led job may be: where both the configuration that accepted it and a plan allow.
func scopeUnder(p navigator.Plan, l *ledJob) confiner.Scope {
	spec := l.job.Spec()
	return l.scope.With(p.Regions(spec.Host, spec.Path, spec.Team))
}

// scope returns where the bodies and texts of a led job may be now.
func (c *Conductor) scope(l *ledJob) confiner.Scope { return scopeUnder(c.Navigator.Current(), l) }

// recordScope returns where the bodies and texts of a job may be now, by its record alone.
func (c *Conductor) recordScope(r recorder.Record) confiner.Scope {
	return r.Scope.With(c.Navigator.Current().Regions(r.Host, r.Path, r.Team))
}

// specScope returns where the bodies of a submitted job may be now.
func (c *Conductor) specScope(s batcher.Spec) confiner.Scope {
	return s.Scope.With(c.Navigator.Current().Regions(s.Host, s.Path, s.Team))
}

// withScope returns a copy of ctx for a call to the store that carries or reads bodies, texts or results of a job.
func (c *Conductor) withScope(ctx context.Context, r recorder.Record) context.Context {
	return confiner.WithScope(ctx, c.recordScope(r))
}

// mayLead reports whether this process may hold the bodies and texts of a job.
func (c *Conductor) mayLead(r recorder.Record) bool { return c.recordScope(r).AllowsEntry(c.Region) }

// mayRun reports whether this process may have the target of an assignment run its item. A configuration may have been adopted since the
// target was chosen.
func (c *Conductor) mayRun(a assignment) bool { return c.mayRunIn(a.ledJob, a.target.Region) }

// mayRunIn reports whether this process may have a target of a region run items of a job.
func (c *Conductor) mayRunIn(l *ledJob, region identifier.Region) bool {
	scope := c.scope(l)
	return scope.AllowsEntry(c.Region) && scope.AllowsTarget(region)
}

// itemGate is the forwarder.Gate of the items of a job.
type itemGate struct {
	conductor *Conductor
	job       *ledJob
}

// MaySend reports whether an item may be sent to a target of a zone and region now.
func (g itemGate) MaySend(zone identifier.Zone, region identifier.Region) bool {
	return !g.conductor.Forwarder.Evacuator.Evacuated(zone) && g.conductor.mayRunIn(g.job, region)
}

// mayAssign reports whether items of a job may start here. Items that no region may serve under both configurations are abandoned where
// their route sets no time for it; otherwise they wait for that time, since the configuration may be corrected.
func (c *Conductor) mayAssign(p navigator.Plan, l *ledJob, route navigator.Route) bool {
	scope := scopeUnder(p, l)
	if scope.Regions.Empty() && route.QueueTTL <= 0 {
		l.job.AbandonWaiting()
	}
	return scope.AllowsEntry(c.Region)
}

// selectSuccessor returns the process that leads a job after this one.
func (c *Conductor) selectSuccessor(r recorder.Record) (recorder.Registration, bool) {
	scope := c.recordScope(r)
	return c.selectProcess(string(r.ID), func(p recorder.Registration) bool {
		return p.Owner.Node != c.Self.Node && scope.AllowsEntry(p.Region)
	})
}

// leaveConfined gives away the jobs that this process may not lead any more, once a process that may is registered. Until then it holds
// them without running an item.
func (c *Conductor) leaveConfined(ctx context.Context) {
	for _, l := range c.ledJobs() {
		if l.job.Finished() || c.scope(l).AllowsEntry(c.Region) || !c.leaveDue(l) {
			continue
		}
		record := c.currentRecord(l)
		if _, ok := c.selectSuccessor(record); !ok {
			c.reportWaiting(record, c.scope(l))
			continue
		}
		if c.handOver(ctx, l) {
			c.stopLeading(l, "the configuration allows it in other regions only")
		}
	}
}

// leaveDue reports whether this process tries to give a job away now, and schedules the next attempt if so.
func (c *Conductor) leaveDue(l *ledJob) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := c.Clock.Monotonic()
	if now < l.leavingAt {
		return false
	}
	l.leavingAt = now + leaveRetryDelay
	return true
}

// leaveWaiting stores what a confined job has reached that this process stops to lead while no other may. The next owner goes on from there.
func (c *Conductor) leaveWaiting(ctx context.Context, l *ledJob) {
	record, scope := c.currentRecord(l), c.scope(l)
	if record.Ended || l.job.Finished() || !scope.Restricted() {
		return
	}
	if from, pending := l.job.Pending(); len(pending) > 0 {
		c.storeResults(ctx, l, from, batcher.FirstPage(pending, maxCommitBytes))
	}
	if texts := l.job.PartialTexts(); len(texts) > 0 {
		if out, err := c.Recorder.SaveTexts(c.withScope(ctx, record), record, c.nextSave(l), texts); out != applied || err != nil {
			c.Log.Emit(logger.TextsUnsaved, "job", l.id, "texts", len(texts), "outcome", out.String(), "error", err)
		}
	}
	c.reportWaiting(record, scope)
}

// waits reports whether an unfinished job of which some results are durable has no registered process that may lead it.
func (c *Conductor) waits(r recorder.Record, results int) bool {
	if known, ok := c.KnownRecord(r.ID); ok {
		r = known
	}
	scope := c.recordScope(r)
	c.lock.Lock()
	current := c.membershipCurrent
	c.lock.Unlock()
	if !current || r.Ended || results >= r.Total || !scope.Restricted() {
		return false
	}
	_, led := c.selectProcess(string(r.ID), func(p recorder.Registration) bool { return scope.AllowsEntry(p.Region) })
	return !led
}

func (c *Conductor) reportWaiting(r recorder.Record, scope confiner.Scope) {
	c.Log.Emit(logger.JobWaiting, "job", r.ID, "owner", r.Owner.Node, "regions", scope.Regions.String(), "home", scope.Home)
}

// servable reports whether a submitted job that is confined has a target in its regions, and so has each of its scoring calls.
func (c *Conductor) servable(p navigator.Plan, s batcher.Spec) bool {
	if !s.Scope.Restricted() {
		return true
	}
	checked := make(map[string]bool)
	served := func(host, uri string) bool {
		path, _, _ := strings.Cut(uri, "?")
		if checked[host+path] {
			return true
		}
		checked[host+path] = true
		route, known := p.Route(host, path)
		if !known {
			// The call is answered as one without a route, wherever it is made.
			return true
		}
		regions := s.Scope.Regions.Intersect(route.Regions)
		for _, share := range route.Shares {
			if share.Weight > 0 && c.Router.View().ServesIn(share.Service, regions) {
				return true
			}
		}
		return false
	}
	if !served(s.Host, s.Path) {
		return false
	}
	for i := range s.Items {
		if call := &s.Items[i].Score; call.Path != "" && !served(call.Host, call.Path) {
			return false
		}
	}
	return true
}

// scoreDelay returns the delay before a scoring call that failed is repeated.
func scoreDelay(r forwarder.Result) time.Duration {
	if r.Reason == forwarder.Confined {
		return r.RetryAfter
	}
	return retryDelay
}
