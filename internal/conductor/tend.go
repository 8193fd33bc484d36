package conductor

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// tick is the period of the look for what is due.
	tick = 250 * time.Millisecond
	// adoptAfter is how long a process must have been missing before its jobs are given to others.
	adoptAfter = 200 * time.Millisecond
	// regainAfter is how long the table of processes must have been up to date before that: a process whose lease lapsed
	// while the store was away registers again within that time.
	regainAfter = 1500 * time.Millisecond
	// sweepPeriod is the time between two sweeps without a change among the processes. A sweep finds the jobs whose
	// owner's loss went unnoticed, and those that are to be erased.
	sweepPeriod = 20 * time.Second
	// sweepAgain is the time after which a sweep that failed is repeated.
	sweepAgain = time.Second
	// confirmPeriod is the time after which the record of a led job is read again when no write has confirmed it: the
	// notice of its end may have been lost.
	confirmPeriod = 1800 * time.Millisecond
	// freshPeriod is the time between two looks for the record of a job whose acceptance is not known, and freshMost the
	// time after which the job is taken as not kept: a write that is carried out late is found by a sweep.
	freshPeriod = 500 * time.Millisecond
	freshMost   = 15 * time.Second
	// keepLed is how long the results of an ended job stay in memory; later readers get them from the store.
	keepLed = 20 * time.Second
)

// tend does what is due, once in each period.
func (c *Conductor) tend(ctx context.Context) {
	ticks := c.Clock.Every(tick)
	defer ticks.Stop()
	reclaimed := c.reclaim(ctx)
	for {
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return
		}
		reclaimed = reclaimed || c.reclaim(ctx)
		for _, id := range c.stale() {
			if ctx.Err() != nil {
				return
			}
			c.Refresh(ctx, id)
		}
		if c.sweepDue() {
			c.sweep(ctx)
		}
		c.WakeDispatcher()
	}
}

// reclaim takes over the jobs that an earlier start of this process led: that start is over, so there is nothing to wait
// for. It reports false when the store could not be asked.
func (c *Conductor) reclaim(ctx context.Context) bool {
	records, out, err := c.Recorder.Records(ctx)
	if out != applied || err != nil {
		return false
	}
	for _, r := range records {
		if r.Owner.Node != c.Self.Node || r.Owner == c.Self || r.Ended {
			continue
		}
		out, err := c.Recorder.Replace(ctx, r, r.WithOwner(c.Self))
		c.Log.Emit(logger.JobAdopted, "job", r.ID, "from", r.Owner.Node, "to", c.Self.Node, "outcome", out.String(), "error", err)
		if out == applied {
			c.Refresh(ctx, r.ID)
		}
	}
	return true
}

// stale returns the jobs whose records are to be read again, and drops what is no longer needed.
func (c *Conductor) stale() []identifier.Job {
	c.lock.Lock()
	defer c.lock.Unlock()
	now, wall := c.Clock.Boot(), c.Clock.Now()
	var due []identifier.Job
	for id, l := range c.led {
		switch {
		case !l.job.Finished():
			if now-l.confirmed > confirmPeriod {
				// The next look is a period later, also when this one fails.
				l.confirmed = now
				due = append(due, id)
			}
		case l.ended == 0:
			l.ended = now
		case now-l.ended > keepLed:
			l.stop()
			delete(c.led, id)
		}
	}
	for id, s := range c.fresh {
		switch age := wall.Sub(s.Submitted); {
		case age > freshMost:
			delete(c.fresh, id)
		case age > freshPeriod && now-c.looked > freshPeriod:
			due = append(due, id)
		}
	}
	if now-c.looked > freshPeriod {
		c.looked = now
	}
	for id, r := range c.records {
		if wall.Sub(r.Submitted) > c.Retention+time.Minute && c.led[id] == nil {
			delete(c.records, id)
		}
	}
	return due
}

// sweepDue reports whether this process is to look through all jobs now.
func (c *Conductor) sweepDue() bool {
	sweeps := c.IsSweeper()
	c.lock.Lock()
	defer c.lock.Unlock()
	now := c.Clock.Boot()
	if !sweeps || c.closing || !c.trusted || now-c.since < regainAfter {
		return false
	}
	if now < c.nextSweep && (c.moved <= c.swept || now-c.moved < adoptAfter) {
		return false
	}
	c.swept, c.nextSweep = now, now+sweepPeriod
	return true
}

// sweep gives the jobs whose owners are missing to others, and erases old ones.
func (c *Conductor) sweep(ctx context.Context) {
	records, out, err := c.Recorder.Records(ctx)
	if out != applied || err != nil {
		c.Log.Emit(logger.JobUnreadable, "outcome", out.String(), "error", err)
		c.lock.Lock()
		c.nextSweep = c.Clock.Boot() + sweepAgain
		c.lock.Unlock()
		return
	}
	wall := c.Clock.Now()
	for _, r := range records {
		c.lock.Lock()
		there := c.there(r.Owner)
		c.lock.Unlock()
		age := wall.Sub(r.Submitted)
		switch {
		case age > c.Retention+time.Minute && (r.Ended || !there), age > 2*c.Retention+time.Minute:
			out := c.Recorder.Erase(ctx, r)
			c.Log.Emit(logger.JobErased, "job", r.ID, "outcome", out.String())
		case r.Ended:
		case !there:
			c.reassign(ctx, r)
		default:
			// The notice that made it the owner may have been lost.
			c.tell(ctx, r)
		}
	}
}

// reassign names the process that leads a job from now on.
func (c *Conductor) reassign(ctx context.Context, r recorder.Record) {
	next, ok := c.heir(string(r.ID), anyone)
	if !ok {
		return
	}
	out, err := c.Recorder.Replace(ctx, r, r.WithOwner(next.Owner))
	c.Log.Emit(logger.JobAdopted, "job", r.ID, "from", r.Owner.Node, "to", next.Owner.Node, "outcome", out.String(), "error", err)
	switch {
	case out != applied:
		c.lock.Lock()
		c.nextSweep = c.Clock.Boot() + sweepAgain
		c.lock.Unlock()
	case next.Owner == c.Self:
		c.Refresh(ctx, r.ID)
	case !c.Peers.Notify(ctx, next.Address, r.ID):
		// The process may not be there any more; the next sweep names another, or this one finds the job by itself.
		c.lock.Lock()
		c.nextSweep = c.Clock.Boot() + sweepAgain
		c.lock.Unlock()
	}
}

const (
	// commitPause is the time between two writes of a job's results; the results of that time share one write.
	commitPause = 350 * time.Millisecond
	// commitBytes bounds the results of one write.
	commitBytes = 512 << 10
	// commitRetry is the pause after a write that failed.
	commitRetry = 200 * time.Millisecond
)

// commit makes the results of a job durable until the job has ended.
func (c *Conductor) commit(ctx context.Context, l *led) {
	for ctx.Err() == nil && !l.job.Finished() {
		changed := l.job.Watch()
		from, pending := l.job.Pending()
		if len(pending) == 0 {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			continue
		}
		timer.Wait(ctx, c.Clock, c.store(ctx, l, from, batcher.Page(pending, commitBytes)))
	}
}

// store makes results durable. It returns the pause until the next write.
func (c *Conductor) store(ctx context.Context, l *led, from int, results []batcher.Result) time.Duration {
	durable, out, err := c.Recorder.Append(ctx, c.recordOf(l), from, results)
	switch {
	case out == applied && err == nil:
		c.lock.Lock()
		l.confirmed = c.Clock.Boot()
		c.lock.Unlock()
		l.job.Durable(from, durable)
		return commitPause
	case out == conflict:
		// Another process leads the job or it has ended.
		c.Refresh(ctx, l.id)
	default:
		c.Log.Emit(logger.ResultsHeld, "job", l.id, "results", len(results), "outcome", out.String(), "error", err)
	}
	return commitRetry
}

func (c *Conductor) recordOf(l *led) recorder.Record {
	c.lock.Lock()
	defer c.lock.Unlock()
	return l.record
}
