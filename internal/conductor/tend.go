package conductor

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
)

// tend looks for jobs to take over, to load and to erase, once in each period.
func (c *Conductor) tend(ctx context.Context) {
	ticks := c.Clock.Every(tick)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return
		}
		for _, todo := range c.due() {
			if ctx.Err() != nil {
				return
			}
			todo(ctx)
		}
		c.Signal()
	}
}

// due returns what is to be done about records now.
func (c *Conductor) due() []func(context.Context) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closing {
		return nil
	}
	now, wall := c.Clock.Boot(), c.Clock.Now()
	var todo []func(context.Context)
	for id, l := range c.led {
		switch {
		case !l.job.Finished():
		case l.ended == 0:
			l.ended = now
		case now-l.ended > keepLed:
			l.stop()
			delete(c.led, id)
		}
	}
	for id, r := range c.records {
		old := wall.Sub(r.Submitted) > c.Retention+time.Minute
		switch {
		case r.Owner == c.Me && old && (r.Ended || wall.Sub(r.Submitted) > 2*c.Retention+time.Minute):
			todo = append(todo, func(ctx context.Context) { c.erase(ctx, r) })
		case r.Owner == c.Me && !r.Ended && c.led[id] == nil:
			todo = append(todo, func(ctx context.Context) { c.load(ctx, r) })
		case r.Owner != c.Me && c.orphaned(r, now) && (!r.Ended || old):
			todo = append(todo, func(ctx context.Context) { c.adopt(ctx, r) })
		}
	}
	return todo
}

// orphaned reports whether the owner of a job has been missing for long. The caller holds the lock.
func (c *Conductor) orphaned(r recorder.Record, now time.Duration) bool {
	if c.nodes[r.Owner.Node].Owner == r.Owner || !c.trusted {
		delete(c.missing, r.ID)
		return false
	}
	if _, ok := c.missing[r.ID]; !ok {
		c.missing[r.ID] = now
	}
	return now-c.missing[r.ID] > adoptAfter && now-c.since > regainAfter
}

// adopt takes a job over if this process is the one to do so.
func (c *Conductor) adopt(ctx context.Context, r recorder.Record) {
	heir, ok := c.heir(r.ID, func(p recorder.Presence) bool { return p.Owner != r.Owner })
	if !ok || heir.Owner != c.Me {
		return
	}
	out, err := c.Recorder.Replace(ctx, r, r.WithOwner(c.Me))
	c.Log.Emit(logger.JobAdopted, "job", r.ID, "from", r.Owner.Node, "outcome", out.String(), "error", err)
}

// load begins to lead a job whose body is in the store.
func (c *Conductor) load(ctx context.Context, r recorder.Record) {
	spec, out, err := c.Recorder.Spec(ctx, r)
	if out == applied && err == nil && len(spec.Items) > 0 {
		var results []batcher.Result
		if results, out, err = c.Recorder.Results(ctx, r.ID); out == applied && err == nil {
			job := batcher.NewJob(spec, results...)
			job.Resume(c.parts(ctx, r))
			c.lead(r, job)
			return
		}
	}
	c.Log.Emit(logger.JobUnreadable, "job", r.ID, "outcome", out.String(), "error", err)
}

// parts returns the texts that the owner before has left. Without them the items are made again.
func (c *Conductor) parts(ctx context.Context, r recorder.Record) []batcher.Part {
	parts, out, err := c.Recorder.Parts(ctx, r.ID)
	if out != applied || err != nil {
		c.Log.Emit(logger.JobUnreadable, "job", r.ID, "outcome", out.String(), "error", err)
	}
	return parts
}

func (c *Conductor) erase(ctx context.Context, r recorder.Record) {
	out := c.Recorder.Erase(ctx, r)
	c.Log.Emit(logger.JobErased, "job", r.ID, "outcome", out.String())
}

const (
	// commitPause is the time between two writes of a job's results; the results of that time share one write.
	commitPause = 150 * time.Millisecond
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
		pause := commitPause
		if len(pending) > 0 {
			pending = batcher.Page(pending, commitBytes)
			out, err := c.Recorder.Append(ctx, c.recordOf(l), from, pending)
			switch {
			case out == applied && err == nil:
				l.job.Durable(len(pending))
			case out == conflict:
				c.reread(ctx, l)
				pause = commitRetry
			default:
				c.Log.Emit(logger.ResultsHeld, "job", l.id, "results", len(pending), "outcome", out.String(), "error", err)
				pause = commitRetry
			}
		} else {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			continue
		}
		c.rest(ctx, pause)
	}
}

func (c *Conductor) recordOf(l *led) recorder.Record {
	c.lock.Lock()
	defer c.lock.Unlock()
	return l.record
}

// reread looks up the record of a job whose results were refused: another process leads the job or it has ended.
func (c *Conductor) reread(ctx context.Context, l *led) {
	r, out, err := c.Recorder.Record(ctx, l.id)
	switch {
	case out != applied || err != nil:
		c.Log.Emit(logger.JobUnreadable, "job", l.id, "outcome", out.String(), "error", err)
	case r.Changed == 0:
		c.forget(l.id)
	default:
		c.observe(r)
	}
}

func (c *Conductor) rest(ctx context.Context, d time.Duration) {
	sub := c.Clock.After(d)
	defer sub.Stop()
	select {
	case <-sub.C():
	case <-ctx.Done():
	}
}
