package conductor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
)

const (
	// maintenancePeriod is the interval of the periodic maintenance.
	maintenancePeriod = 250 * time.Millisecond
	// reassignDelay is how long a process must have been missing before its jobs are reassigned.
	reassignDelay = 200 * time.Millisecond
	// reregisterDelay is how long the members must have been up to date before jobs are reassigned, so that a process
	// whose lease lapsed while the store was unavailable can register again.
	reregisterDelay = 1500 * time.Millisecond
	// sweepPeriod is the interval between two sweeps while no member changes. A sweep finds jobs whose owner was lost
	// unnoticed and jobs that are due for erasure.
	sweepPeriod = 20 * time.Second
	// sweepRetryDelay is the time after which a failed sweep is repeated.
	sweepRetryDelay = time.Second
	// recordRefreshPeriod is the time after which the record of a led job is read again if no write has confirmed it:
	// the notification that the job has ended may have been lost.
	recordRefreshPeriod = 1800 * time.Millisecond
	// unconfirmedCheckPeriod is the interval between two reads of the record of a job whose acceptance is unknown.
	// After unconfirmedTimeout the job counts as not stored; if the write still takes effect later, a sweep finds the
	// job.
	unconfirmedCheckPeriod = 500 * time.Millisecond
	unconfirmedTimeout     = 15 * time.Second
	// finishedJobTTL is how long the results of a finished job stay in memory; later readers get them from the store.
	finishedJobTTL = 20 * time.Second
	// retentionMargin is added to the retention of jobs to give the age at which their records are dropped or erased.
	retentionMargin = time.Minute
	// unfinishedRetentions is the number of retentions after which a job is erased even if it has not ended and its owner
	// is registered.
	unfinishedRetentions = 2
)

// maintain refreshes records, drops expired state and sweeps, once every maintenancePeriod, until ctx ends.
func (c *Conductor) maintain(ctx context.Context) {
	ticks := c.Clock.Every(maintenancePeriod)
	defer ticks.Stop()
	reclaimed := c.reclaim(ctx)
	for {
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return
		}
		reclaimed = reclaimed || c.reclaim(ctx)
		c.refreshAll(ctx, c.dueRefreshes())
		c.repeatNotices(ctx)
		c.leaveConfined(ctx)
		c.countLoad()
		if c.sweepDue() {
			c.sweep(ctx)
		}
		c.TriggerAssignment()
	}
}

// reclaim takes over the jobs of earlier incarnations of this process. They can't be running any more, so no delay is
// needed. It returns false if the store could not be read, or a job not taken over.
func (c *Conductor) reclaim(ctx context.Context) bool {
	records, out, err := c.Recorder.Records(ctx)
	if out != applied || err != nil {
		return false
	}
	var takeovers sync.WaitGroup
	var failed atomic.Bool
	for _, r := range records {
		if r.Owner.Node != c.Self.Node || r.Owner == c.Self || r.Ended || !c.mayLead(r) {
			continue
		}
		takeovers.Go(func() {
			out, err := c.Recorder.Replace(ctx, r, r.WithOwner(c.Self))
			c.Log.Emit(logger.JobAdopted, "job", r.ID, "from", r.Owner.Node, "to", c.Self.Node, "outcome", out.String(), "error", err)
			switch {
			case out == applied:
				c.Refresh(ctx, r.ID)
			case out != conflict:
				// After a conflict another process has changed the record, and with it the owner.
				failed.Store(true)
			}
		})
	}
	takeovers.Wait()
	return !failed.Load()
}

// dueRefreshes returns the jobs whose records have to be read again, and drops expired jobs, specs and records from
// memory.
func (c *Conductor) dueRefreshes() []identifier.Job {
	c.lock.Lock()
	defer c.lock.Unlock()
	now, wall := c.Clock.Monotonic(), c.Clock.Now()
	var due []identifier.Job
	for id, l := range c.led {
		switch {
		case !l.job.Finished():
			if now-l.confirmedAt > recordRefreshPeriod {
				// The next read is due a period later, even if this one fails.
				l.confirmedAt = now
				due = append(due, id)
			}
		case l.finishedAt == 0:
			l.finishedAt = now
		case now-l.finishedAt > finishedJobTTL:
			l.stop()
			delete(c.led, id)
		}
	}
	for id, s := range c.unconfirmed {
		switch age := wall.Sub(s.Submitted); {
		case c.submitting[id] > 0:
		case age > unconfirmedTimeout:
			delete(c.unconfirmed, id)
		case age > unconfirmedCheckPeriod && now-c.unconfirmedCheckedAt > unconfirmedCheckPeriod:
			due = append(due, id)
		}
	}
	if now-c.unconfirmedCheckedAt > unconfirmedCheckPeriod {
		c.unconfirmedCheckedAt = now
	}
	for id, r := range c.records {
		if wall.Sub(r.Submitted) > c.Retention+retentionMargin && c.led[id] == nil {
			delete(c.records, id)
		}
	}
	due = append(due, c.dueReads(now)...)
	slices.Sort(due)
	return slices.Compact(due)
}

// sweepDue reports whether this process has to sweep now, and schedules the next sweep if so.
func (c *Conductor) sweepDue() bool {
	sweeper := c.IsSweeper()
	c.lock.Lock()
	defer c.lock.Unlock()
	now := c.Clock.Monotonic()
	if !sweeper || c.closing || !c.membershipCurrent || now-c.membershipStateSince < reregisterDelay {
		return false
	}
	if now < c.nextSweepAt && (c.membershipChangedAt <= c.sweptAt || now-c.membershipChangedAt < reassignDelay) {
		return false
	}
	c.sweptAt, c.nextSweepAt = now, now+sweepPeriod
	return true
}

// sweep reassigns the jobs whose owners are missing, notifies the owners of the others and erases expired jobs.
func (c *Conductor) sweep(ctx context.Context) {
	records, out, err := c.Recorder.Records(ctx)
	if out != applied || err != nil {
		c.Log.Emit(logger.JobUnreadable, "outcome", out.String(), "error", err)
		c.sweepAgain()
		return
	}
	wall := c.Clock.Now()
	for _, r := range records {
		c.lock.Lock()
		registered := c.isMember(r.Owner)
		c.lock.Unlock()
		age := wall.Sub(r.Submitted)
		switch {
		case age > c.Retention+retentionMargin && (r.Ended || !registered), age > unfinishedRetentions*c.Retention+retentionMargin:
			out := c.Recorder.Erase(c.withScope(ctx, r), r)
			c.Log.Emit(logger.JobErased, "job", r.ID, "outcome", out.String())
		case r.Ended:
		case !registered:
			c.reassign(ctx, r)
		default:
			// The owner may have missed the notification that it now owns the job.
			c.notifyOwner(ctx, r)
		}
	}
}

// reassign makes another process the owner of a job and notifies it. A job that no registered process may lead waits. It reports whether
// the job has another owner.
func (c *Conductor) reassign(ctx context.Context, r recorder.Record) bool {
	scope := c.recordScope(r)
	successor, ok := c.selectProcess(string(r.ID), func(p recorder.Registration) bool { return scope.AllowsEntry(p.Region) })
	if !ok {
		c.reportWaiting(r, scope)
		return false
	}
	out, err := c.Recorder.Replace(ctx, r, r.WithOwner(successor.Owner))
	c.Log.Emit(logger.JobAdopted, "job", r.ID, "from", r.Owner.Node, "to", successor.Owner.Node, "outcome", out.String(), "error", err)
	switch {
	case out != applied:
		c.sweepAgain()
	case successor.Owner == c.Self:
		c.Refresh(ctx, r.ID)
	default:
		// If the new owner is gone, the sweep that follows its removal chooses another one.
		c.notify(ctx, successor, r.ID)
	}
	return out == applied
}

// sweepAgain schedules the next sweep soon, because a part of this one failed.
func (c *Conductor) sweepAgain() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.nextSweepAt = c.Clock.Monotonic() + sweepRetryDelay
}
