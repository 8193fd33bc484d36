package conductor

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
)

// outage wakes what waits for the store. The conductor's lock guards it. The zero value has no waiters.
type outage struct {
	// returned is closed when a call succeeds after others failed; nil while none has failed.
	returned chan struct{}
}

// noteFailure makes the next success wake those who wait, and returns the channel that it closes.
func (o *outage) noteFailure() <-chan struct{} {
	if o.returned == nil {
		o.returned = make(chan struct{})
	}
	return o.returned
}

// noteSuccess reports whether it is the first success after a failure.
func (o *outage) noteSuccess() bool {
	if o.returned == nil {
		return false
	}
	close(o.returned)
	o.returned = nil
	return true
}

// storeAnswered wakes what waits for the store, if calls failed before: commits, and the reads that are due again later. Without it they
// would go on one by one, each after its own delay.
func (c *Conductor) storeAnswered() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.outage.noteSuccess() {
		c.unread.Expedite(c.Clock.Monotonic())
	}
}

// awaitStore waits for the given delay after a failed call, or until another call succeeds.
func (c *Conductor) awaitStore(ctx context.Context, delay time.Duration) {
	c.lock.Lock()
	returned := c.outage.noteFailure()
	c.lock.Unlock()
	timeout := c.Clock.After(delay)
	defer timeout.Stop()
	select {
	case <-returned:
	case <-timeout.C():
	case <-ctx.Done():
	}
}

// Expedite makes all jobs due, with the delays of a first failure.
func (t *retries[V]) Expedite(now time.Duration) {
	for id, r := range t.entries {
		t.entries[id] = retry{began: r.began, due: now, delay: minRetryDelay}
	}
}

// leadUnread begins to lead a job that this process has just stored and whose record it could not read: the store went away in between. Its
// items run; results are written once the record is read, because that guards the writes. Another process that takes the job over
// meanwhile changes the record, and this one stops then.
func (c *Conductor) leadUnread(s batcher.Spec) {
	record := recorder.Record{
		ID: s.ID, Team: s.Team, Owner: c.Self, Term: 1, Total: len(s.Items), Submitted: s.Submitted, Model: s.Model, Work: s.Work(), Size: s.Size(),
	}
	job := batcher.NewJob(s)
	job.RestoreTexts(c.reusableTexts(job), c.Clock.Monotonic())
	c.cacheRecord(record)
	c.startLeading(record, job, 0)
	c.Log.Emit(logger.JobLedUnread, "job", s.ID)
}

// readFirst reads the record of a led job that leadUnread began to lead. It is false while there is none that guards a write.
func (c *Conductor) readFirst(ctx context.Context, l *ledJob) bool {
	if c.currentRecord(l).Changed == 0 {
		c.Refresh(ctx, l.id)
	}
	return c.currentRecord(l).Changed != 0 && !l.job.Finished()
}

// tellOwner makes the owner of a job read its record: this process at once, another one soon.
func (c *Conductor) tellOwner(ctx context.Context, r recorder.Record) {
	if r.Owner == c.Self {
		c.Refresh(ctx, r.ID)
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.unnotified.Add(r.ID, r.Owner, c.Clock.Monotonic())
}
