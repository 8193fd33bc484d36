package conductor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/recorder"
)

const (
	// minRetryDelay is the delay before the first repeat of a read or a notification that failed. It doubles with each further
	// one up to maxRetryDelay, so that a job goes on within that time after what failed works again.
	minRetryDelay = maintenancePeriod
	maxRetryDelay = 2 * time.Second
	// maxNoticeAge is the time for which a notification is repeated. By then the periodic sweep has repeated it as well.
	maxNoticeAge = 2 * sweepPeriod
	// parallelCalls bounds the repeats that are made at a time.
	parallelCalls = 8
	// closingNotices is how often a closing process repeats the notifications that failed, and closingNoticePause the time
	// between.
	closingNotices     = 2
	closingNoticePause = 200 * time.Millisecond
)

// retry is when something that failed is tried again. It is immutable.
type retry struct {
	// began and due are monotonic times.
	began, due time.Duration
	delay      time.Duration
}

// newRetry returns the first retry after a failure.
func newRetry(now time.Duration) retry {
	return retry{began: now, due: now + minRetryDelay, delay: minRetryDelay}
}

// WithTry returns the retry that follows if the one at the given time fails too.
func (r retry) WithTry(now time.Duration) retry {
	r.delay = min(2*r.delay, maxRetryDelay)
	r.due = now + r.delay
	return r
}

// retries holds what has to be tried again, with a value for each job. The zero value is empty. The conductor's lock guards it.
type retries[V any] struct {
	entries map[identifier.Job]retry
	values  map[identifier.Job]V
}

// Add adds a job that failed. The delays of one that is there already go on.
func (t *retries[V]) Add(id identifier.Job, v V, now time.Duration) {
	if t.entries == nil {
		t.entries, t.values = make(map[identifier.Job]retry), make(map[identifier.Job]V)
	}
	t.values[id] = v
	if _, ok := t.entries[id]; !ok {
		t.entries[id] = newRetry(now)
	}
}

// Remove removes a job, which succeeded or needs no retry any more.
func (t *retries[V]) Remove(id identifier.Job) {
	delete(t.entries, id)
	delete(t.values, id)
}

// Due returns the jobs that are due, and schedules the next retry of each. It drops those that were added longer than maxAge ago.
func (t *retries[V]) Due(now, maxAge time.Duration) map[identifier.Job]V {
	due := make(map[identifier.Job]V)
	for id, r := range t.entries {
		switch {
		case now-r.began > maxAge:
			t.Remove(id)
		case now >= r.due:
			t.entries[id] = r.WithTry(now)
			due[id] = t.values[id]
		}
	}
	return due
}

// readAgain makes this process read a job again soon, because a read of it failed.
func (c *Conductor) readAgain(id identifier.Job) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.unread.Add(id, struct{}{}, c.Clock.Monotonic())
}

// notify tells a process that the record of a job has changed. A notification that fails is repeated while that process is
// registered.
func (c *Conductor) notify(ctx context.Context, p recorder.Registration, id identifier.Job) {
	ok := c.Peers.Notify(ctx, p.Address, id)
	c.lock.Lock()
	defer c.lock.Unlock()
	if ok {
		c.unnotified.Remove(id)
	} else {
		c.unnotified.Add(id, p.Owner, c.Clock.Monotonic())
	}
}

// dueReads returns the jobs that have to be read again because a read of them failed, or because a record names this process as
// the owner that it has not become: a reader may have brought the record. The caller holds the lock.
func (c *Conductor) dueReads(now time.Duration) []identifier.Job {
	for id, r := range c.records {
		if r.Owner == c.Self && !r.Ended && c.led[id] == nil && !c.loading[id] && !c.closing {
			c.unread.Add(id, struct{}{}, now)
		}
	}
	return slices.Collect(maps.Keys(c.unread.Due(now, c.Retention+retentionMargin)))
}

// dueNotices returns the processes that have to be notified again, by job. Jobs of processes that are no longer registered are
// left to the sweep that follows their removal.
func (c *Conductor) dueNotices() map[identifier.Job]recorder.Registration {
	c.lock.Lock()
	defer c.lock.Unlock()
	due := make(map[identifier.Job]recorder.Registration)
	for id, owner := range c.unnotified.Due(c.Clock.Monotonic(), maxNoticeAge) {
		if c.isMember(owner) {
			due[id] = c.members[owner.Node]
		} else {
			c.unnotified.Remove(id)
		}
	}
	return due
}

// repeatNotices makes the notifications again that are due.
func (c *Conductor) repeatNotices(ctx context.Context) {
	due := c.dueNotices()
	forEach(ctx, slices.Collect(maps.Keys(due)), func(id identifier.Job) { c.notify(ctx, due[id], id) })
}

// finishNotices repeats the notifications that failed while this process closes. What still fails is left to the sweep that
// follows the end of its registration.
func (c *Conductor) finishNotices(ctx context.Context) {
	for range closingNotices {
		c.lock.Lock()
		left := len(c.unnotified.entries)
		c.lock.Unlock()
		if left == 0 || ctx.Err() != nil {
			return
		}
		pause := c.Clock.After(closingNoticePause)
		select {
		case <-pause.C():
		case <-ctx.Done():
		}
		pause.Stop()
		c.repeatNotices(ctx)
	}
}

// refreshAll reads jobs again, several at a time: one that is slow to read must not hold up the others.
func (c *Conductor) refreshAll(ctx context.Context, ids []identifier.Job) {
	forEach(ctx, ids, func(id identifier.Job) { c.Refresh(ctx, id) })
}

// forEach calls f for each job, parallelCalls at a time, until ctx ends.
func forEach(ctx context.Context, ids []identifier.Job, f func(identifier.Job)) {
	for chunk := range slices.Chunk(ids, parallelCalls) {
		if ctx.Err() != nil {
			return
		}
		var calls sync.WaitGroup
		for _, id := range chunk {
			calls.Go(func() { f(id) })
		}
		calls.Wait()
	}
}
