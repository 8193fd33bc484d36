package conductor

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
)

const (
	// commitInterval is the longest time for which a result waits for others, to share their write. Results with which
	// the trainer can go on are written at once. A trainer pauses after each answer with results, so a write shortly
	// before the last one makes it go on later.
	commitInterval = 1200 * time.Millisecond
	// dueWindow is the time before the due time of a job in which its results wait for the whole step until they are due.
	dueWindow = 1500 * time.Millisecond
	// lateWindow is the time after the due time in which a result is written at once: it still counts as in time when it is
	// read 0.7 s after it was due.
	lateWindow = 600 * time.Millisecond
	// maxCommitBytes limits the size of the results of one write.
	maxCommitBytes = 512 << 10
	// commitRetryDelay is the delay after a failed write.
	commitRetryDelay = 200 * time.Millisecond
)

// commitResults writes new results of a job to the store until the job has finished.
func (c *Conductor) commitResults(ctx context.Context, l *ledJob) {
	// overdue is set after a write that failed or took as long as results wait for others: those that came meanwhile have waited.
	overdue := false
	for ctx.Err() == nil && !l.job.Finished() {
		changed := l.job.Watch()
		if _, pending := l.job.Pending(); len(pending) == 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if !overdue {
			c.awaitCommit(ctx, l, c.commitDelay(l))
		}
		if ctx.Err() != nil || l.job.Finished() {
			return
		}
		from, pending := l.job.Pending()
		began := c.Clock.Monotonic()
		stored := c.storeResults(ctx, l, from, batcher.FirstPage(pending, maxCommitBytes))
		if !stored {
			c.awaitStore(ctx, commitRetryDelay)
		}
		overdue = !stored || c.Clock.Monotonic()-began >= commitInterval
	}
}

// commitDelay returns for how long a new result of a job may wait for others.
func (c *Conductor) commitDelay(l *ledJob) time.Duration {
	spec := l.job.Spec()
	route, _ := c.Navigator.Current().Route(spec.Host, spec.Path)
	return resultDelay(route.ResultDue, l.age(c.Clock.Monotonic()))
}

// resultDelay returns for how long a result may wait for others that arrives at the given age of its job, whose results are
// due at age due; zero means that they are never due.
func resultDelay(due, age time.Duration) time.Duration {
	left := due - age
	switch {
	case due <= 0, left > commitInterval+dueWindow, left < -lateWindow:
		return commitInterval
	default:
		return max(0, left)
	}
}

// awaitCommit waits for the given delay, or until the trainer can go on with the pending results or the job has finished.
func (c *Conductor) awaitCommit(ctx context.Context, l *ledJob, delay time.Duration) {
	timeout := c.Clock.After(delay)
	defer timeout.Stop()
	for {
		changed := l.job.Watch()
		if l.job.StepPending() || l.job.Finished() {
			return
		}
		select {
		case <-changed:
		case <-timeout.C():
			return
		case <-ctx.Done():
			return
		}
	}
}

// storeResults writes results to the store and reports whether they are durable.
func (c *Conductor) storeResults(ctx context.Context, l *ledJob, from int, results []batcher.Result) bool {
	if !c.readFirst(ctx, l) {
		return false
	}
	record := c.currentRecord(l)
	durable, out, err := c.Recorder.Append(c.withScope(ctx, record), record, from, results)
	switch {
	case out == applied && err == nil:
		c.lock.Lock()
		l.confirmedAt = c.Clock.Monotonic()
		c.lock.Unlock()
		l.job.MarkDurable(from, durable)
		c.storeAnswered()
		return true
	case out == conflict:
		// Another process leads the job, or the job has ended.
		c.Refresh(ctx, l.id)
	default:
		c.Log.Emit(logger.ResultsHeld, "job", l.id, "results", len(results), "outcome", out.String(), "error", err)
	}
	return false
}

// currentRecord returns the record of a job that this process leads.
func (c *Conductor) currentRecord(l *ledJob) recorder.Record {
	c.lock.Lock()
	defer c.lock.Unlock()
	return l.record
}
