package conductor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// ledJob is a job that this process leads.
type ledJob struct {
	id        identifier.Job
	submitted time.Time
	job       *batcher.Job
	stop      context.CancelFunc
	// began is the monotonic time at which this process began to lead the job, and ageThen the age of the job at that time.
	began, ageThen time.Duration
	outlook        outlook
	// The conductor's lock guards record, finishedAt, confirmedAt and saves.
	record     recorder.Record
	finishedAt time.Duration
	// saves counts the writes of partial texts by this process.
	saves int
	// confirmedAt is the monotonic time at which the store last confirmed the record, or at which a read of it was
	// last due.
	confirmedAt time.Duration
	// scope is that of the record. leavingAt is when this process next tries to give a job away that it may not lead any more.
	scope     confiner.Scope
	leavingAt time.Duration
}

// age returns the time since the job was submitted. Jumps of the wall clock while it is led do not change it.
func (l *ledJob) age(now time.Duration) time.Duration { return l.ageThen + now - l.began }

// Refresh reads the record of a job from the store again and applies it, for example after a peer's notification of
// a change. It reports whether that succeeded; if not, it is repeated soon.
func (c *Conductor) Refresh(ctx context.Context, id identifier.Job) bool {
	r, out, err := c.Recorder.Record(ctx, id)
	ok := true
	switch {
	case out != applied || err != nil:
		c.Log.Emit(logger.JobUnreadable, "job", id, "outcome", out.String(), "error", err)
		ok = false
	case r.Changed == 0:
		c.applyErasure(id)
	default:
		ok = c.applyRecord(ctx, r)
	}
	if !ok {
		c.readAgain(id)
		return false
	}
	c.lock.Lock()
	c.unread.Remove(id)
	c.lock.Unlock()
	c.storeAnswered()
	return true
}

// applyRecord caches a record that was read and starts or stops leading its job accordingly. It ignores a record that
// is older than the cached one. It is false if the job could not be read.
func (c *Conductor) applyRecord(ctx context.Context, r recorder.Record) bool {
	l, spec, submittedHere, newest := c.adoptRecord(r)
	if !newest {
		return true
	}
	owned := r.Owner == c.Self
	ok := true
	switch {
	case l != nil && r.Ended:
		l.job.Finish()
	case l == nil && owned && !r.Ended && !c.mayLead(r):
		ok = c.reassign(ctx, r)
	case l == nil && owned && !r.Ended && submittedHere:
		job := batcher.NewJob(spec)
		job.RestoreTexts(c.reusableTexts(job), c.Clock.Monotonic())
		c.startLeading(r, job, 0)
	case l == nil && owned && !r.Ended:
		ok = c.loadJob(ctx, r)
	}
	c.TriggerAssignment()
	return ok
}

// adoptRecord caches a record that was read, and stops leading its job if the record is not one to lead it under. It returns the job
// if this process goes on leading it, and its spec if it was submitted here and no other process has led it. It changes nothing if
// a newer record is cached.
func (c *Conductor) adoptRecord(r recorder.Record) (l *ledJob, spec batcher.Spec, submittedHere, newest bool) {
	c.lock.Lock()
	if old, ok := c.records[r.ID]; ok && old.Changed > r.Changed {
		c.lock.Unlock()
		return nil, spec, false, false
	}
	c.records[r.ID] = r
	l = c.led[r.ID]
	// Only a record under which this process may write becomes the guard of its writes: a commit may be under way that has not
	// seen yet that the job is another's. Other processes change a record that has not ended only by giving it to another owner.
	unread := l != nil && l.record.Changed == 0 && r.Term == 1
	current := l != nil && r.Owner == c.Self && (r.Ended || unread || r.Changed == l.record.Changed)
	if current {
		l.record, l.confirmedAt = r, c.Clock.Monotonic()
	}
	spec, submittedHere = c.unconfirmed[r.ID]
	delete(c.unconfirmed, r.ID)
	c.lock.Unlock()
	if l != nil && !current {
		c.stopLeading(l, "the job was given to another owner")
		l = nil
	}
	// A job that another process has led may have results and texts in the store.
	return l, spec, submittedHere && r.Term == 1, true
}

// applyErasure drops a job whose record no longer exists in the store.
func (c *Conductor) applyErasure(id identifier.Job) {
	c.lock.Lock()
	delete(c.records, id)
	l := c.led[id]
	c.lock.Unlock()
	if l != nil {
		c.stopLeading(l, "the job was erased")
	}
}

// stopLeading stops the work on a job in this process and logs the reason.
func (c *Conductor) stopLeading(l *ledJob, reason string) {
	l.job.Finish()
	l.stop()
	c.lock.Lock()
	if c.led[l.id] == l {
		delete(c.led, l.id)
	}
	c.lock.Unlock()
	c.Log.Emit(logger.JobLeadEnded, "job", l.id, "reason", reason)
}

// startLeading starts leading a job of the given age unless this process is closing, leads it already or has read a newer
// record.
func (c *Conductor) startLeading(r recorder.Record, j *batcher.Job, age time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	now := c.Clock.Monotonic()
	l := &ledJob{id: r.ID, submitted: r.Submitted, job: j, record: r, stop: stop, began: now, ageThen: age, confirmedAt: now, scope: r.Scope}
	c.lock.Lock()
	if c.closing || c.led[r.ID] != nil || c.records[r.ID].Changed != r.Changed {
		c.lock.Unlock()
		stop()
		return
	}
	c.led[r.ID] = l
	c.background.Go(func() { c.commitResults(ctx, l) })
	c.background.Go(func() { c.saveTexts(ctx, l) })
	c.lock.Unlock()
	c.Log.Emit(logger.JobLeadBegan, "job", r.ID, "term", r.Term, "items", r.Total)
	c.TriggerAssignment()
}

// reusableTexts marks the groups of a job that occurred before, and returns the texts that earlier, finished jobs of the
// same team and model hold in this process for their items.
func (c *Conductor) reusableTexts(job *batcher.Job) []batcher.PartialText {
	next := job.Spec()
	var texts []batcher.PartialText
	earlier := c.ledJobs()
	slices.Reverse(earlier)
	for _, l := range earlier {
		s := l.job.Spec()
		if s.Team != next.Team || s.Model != next.Model || !s.Scope.SharesTexts(next.Scope) {
			continue
		}
		job.CarryOver(s)
		if l.job.Finished() {
			texts = append(texts, l.job.ReusableTexts(next)...)
		}
	}
	if len(texts) > 0 {
		c.Log.Emit(logger.TextsReused, "job", next.ID, "texts", len(texts))
	}
	return texts
}

// beginLoading reports whether this process may begin to read a job in order to lead it: it does not do so already.
func (c *Conductor) beginLoading(id identifier.Job) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.loading[id] {
		return false
	}
	c.loading[id] = true
	return true
}

func (c *Conductor) endLoading(id identifier.Job) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.loading, id)
}

// loadJob reads the spec, results and partial texts of a job from the store and starts leading it. It is false if one of them
// could not be read, or another goroutine reads them: that one may have begun with an older record.
func (c *Conductor) loadJob(ctx context.Context, r recorder.Record) bool {
	if !c.beginLoading(r.ID) {
		return false
	}
	defer c.endLoading(r.ID)
	release, ok := c.reserveLoad(ctx, r)
	if !ok {
		return false
	}
	defer release()
	var reads sync.WaitGroup
	var results []batcher.Result
	var resultsOut storeOutcome
	var resultsErr error
	var texts []batcher.PartialText
	textsRead := true
	reads.Go(func() { results, resultsOut, resultsErr = c.Recorder.Results(c.withScope(ctx, r), r.ID) })
	reads.Go(func() { texts, textsRead = c.storedTexts(ctx, r) })
	spec, out, err := c.Recorder.Spec(c.withScope(ctx, r), r)
	reads.Wait()
	if out == applied && err == nil {
		out, err = resultsOut, resultsErr
	}
	if out != applied || err != nil || len(spec.Items) == 0 {
		c.Log.Emit(logger.JobUnreadable, "job", r.ID, "outcome", out.String(), "error", err)
		return false
	}
	if !textsRead && c.firstRead(r.ID) {
		return false
	}
	job := batcher.NewJob(spec, results...)
	job.RestoreSavedTexts(texts, c.Clock.Monotonic())
	c.startLeading(r, job, max(0, c.Clock.Now().Sub(r.Submitted)))
	return true
}

// loadReserveTimeout bounds the time for which the load of a large job waits for memory. Others wait for it meanwhile, and it is
// tried again soon.
const loadReserveTimeout = 500 * time.Millisecond

// loadFactor is the memory that the load of a job takes, in the size of its bodies: what the store returns, and the job.
const loadFactor = 3

// reserveLoad reserves the memory in which a large job is loaded. A process that starts again may find several of its jobs.
func (c *Conductor) reserveLoad(ctx context.Context, r recorder.Record) (release func(), ok bool) {
	if c.Bodies == nil || r.Size <= batcher.LargeSize {
		return func() {}, true
	}
	ctx, cancel := timer.WithTimeout(ctx, c.Clock, loadReserveTimeout)
	defer cancel()
	return c.Bodies.Reserve(ctx, loadFactor*r.Size)
}

// firstRead reports whether a job was not yet tried again. Texts that can't be read then either are generated anew: the job
// must not wait for them.
func (c *Conductor) firstRead(id identifier.Job) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	_, again := c.unread.entries[id]
	return !again
}

// storedTexts returns the partial texts that previous owners have saved. It is false if they could not be read.
func (c *Conductor) storedTexts(ctx context.Context, r recorder.Record) ([]batcher.PartialText, bool) {
	texts, out, err := c.Recorder.PartialTexts(c.withScope(ctx, r), r.ID)
	if out != applied || err != nil {
		c.Log.Emit(logger.JobUnreadable, "job", r.ID, "outcome", out.String(), "error", err)
		return nil, false
	}
	return texts, true
}

// handOver stores pending results, makes another process the owner of a job and notifies it. It reports whether that process owns
// the job.
func (c *Conductor) handOver(ctx context.Context, l *ledJob) bool {
	c.readFirst(ctx, l)
	record := c.currentRecord(l)
	successor, ok := c.selectSuccessor(record)
	if record.Ended || !ok {
		return false
	}
	if from, pending := l.job.Pending(); len(pending) > 0 {
		c.storeResults(ctx, l, from, batcher.FirstPage(pending, maxCommitBytes))
	}
	texts := l.job.PartialTexts()
	out, err := c.Recorder.HandOver(c.withScope(ctx, record), record, record.WithOwner(successor.Owner), c.nextSave(l), texts)
	c.Log.Emit(logger.JobHandedOver, "job", record.ID, "to", successor.Owner.Node, "texts", len(texts), "outcome", out.String(), "error", err)
	if out == applied {
		c.notify(ctx, successor, l.id)
	}
	return out == applied
}
