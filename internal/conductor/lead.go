package conductor

import (
	"context"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
)

// led is a job that this process leads.
type led struct {
	id        identifier.Job
	submitted time.Time
	job       *batcher.Job
	stop      context.CancelFunc
	// record and ended are guarded by the conductor's lock.
	record recorder.Record
	ended  time.Duration
	// confirmed is the boot clock time at which the store last confirmed the record.
	confirmed time.Duration
}

// Refresh reads the record of a job again, because another process says that it has changed.
func (c *Conductor) Refresh(ctx context.Context, id identifier.Job) {
	r, out, err := c.Recorder.Record(ctx, id)
	switch {
	case out != applied || err != nil:
		c.Log.Emit(logger.JobUnreadable, "job", id, "outcome", out.String(), "error", err)
	case r.Changed == 0:
		c.forget(id)
	default:
		c.observe(ctx, r)
	}
}

// observe takes over a record and begins or ends to lead its job.
func (c *Conductor) observe(ctx context.Context, r recorder.Record) {
	c.lock.Lock()
	if old, ok := c.records[r.ID]; ok && old.Changed > r.Changed {
		c.lock.Unlock()
		return
	}
	c.records[r.ID] = r
	l := c.led[r.ID]
	if l != nil {
		l.record, l.confirmed = r, c.Clock.Boot()
	}
	spec, fresh := c.fresh[r.ID]
	delete(c.fresh, r.ID)
	c.lock.Unlock()
	mine := r.Owner == c.Self
	// Only a job that nobody has led before this process has no results and texts in the store.
	fresh = fresh && r.Term == 1
	switch {
	case l != nil && !mine:
		c.abandon(l, "another process leads the job")
	case l != nil && r.Ended:
		l.job.Finish()
	case l == nil && mine && !r.Ended && fresh:
		job := batcher.NewJob(spec)
		job.Resume(c.kept(spec))
		c.lead(r, job)
	case l == nil && mine && !r.Ended:
		c.load(ctx, r)
	}
	c.WakeDispatcher()
}

// forget takes over that a job was erased.
func (c *Conductor) forget(id identifier.Job) {
	c.lock.Lock()
	delete(c.records, id)
	l := c.led[id]
	c.lock.Unlock()
	if l != nil {
		c.abandon(l, "the job was erased")
	}
}

// abandon stops leading a job.
func (c *Conductor) abandon(l *led, why string) {
	l.job.Finish()
	l.stop()
	c.lock.Lock()
	if c.led[l.id] == l {
		delete(c.led, l.id)
	}
	c.lock.Unlock()
	c.Log.Emit(logger.JobLeft, "job", l.id, "reason", why)
}

// lead begins to lead a job.
func (c *Conductor) lead(r recorder.Record, j *batcher.Job) {
	ctx, stop := context.WithCancel(context.Background())
	l := &led{id: r.ID, submitted: r.Submitted, job: j, record: r, stop: stop, confirmed: c.Clock.Boot()}
	c.lock.Lock()
	if c.closing || c.led[r.ID] != nil || c.records[r.ID].Changed != r.Changed {
		c.lock.Unlock()
		stop()
		return
	}
	c.led[r.ID] = l
	c.running.Go(func() { c.commit(ctx, l) })
	c.lock.Unlock()
	c.Log.Emit(logger.JobLed, "job", r.ID, "term", r.Term, "items", r.Total)
	c.WakeDispatcher()
}

// kept returns the texts that earlier jobs of the same model have left here for items that come again.
func (c *Conductor) kept(next batcher.Spec) []batcher.PartialText {
	var parts []batcher.PartialText
	earlier := c.leading()
	slices.Reverse(earlier)
	for _, l := range earlier {
		if s := l.job.Spec(); l.job.Finished() && s.Team == next.Team && s.Model == next.Model {
			parts = append(parts, l.job.Kept(next)...)
		}
	}
	if len(parts) > 0 {
		c.Log.Emit(logger.TextsKept, "job", next.ID, "texts", len(parts))
	}
	return parts
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
func (c *Conductor) parts(ctx context.Context, r recorder.Record) []batcher.PartialText {
	parts, out, err := c.Recorder.Parts(ctx, r.ID)
	if out != applied || err != nil {
		c.Log.Emit(logger.JobUnreadable, "job", r.ID, "outcome", out.String(), "error", err)
	}
	return parts
}

// handOver names another process as the owner of a job and tells it.
func (c *Conductor) handOver(ctx context.Context, l *led) {
	record := c.recordOf(l)
	next, ok := c.heir(string(l.id), func(p recorder.Presence) bool { return p.Owner.Node != c.Self.Node })
	if record.Ended || !ok {
		return
	}
	if from, pending := l.job.Pending(); len(pending) > 0 {
		c.store(ctx, l, from, batcher.Page(pending, commitBytes))
	}
	parts := l.job.Parts()
	out, err := c.Recorder.HandOver(ctx, record, record.WithOwner(next.Owner), parts)
	c.Log.Emit(logger.JobHandedOver, "job", record.ID, "to", next.Owner.Node, "texts", len(parts), "outcome", out.String(), "error", err)
	if out == applied {
		c.Peers.Notify(ctx, next.Address, l.id)
	}
}
