package conductor

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
)

const (
	// maxPageBytes limits the size of the results of one read, in bytes.
	maxPageBytes = 700 << 10
	// maxEndAttempts limits the attempts to mark a job as ended while other processes change its record.
	maxEndAttempts = 6
)

// Page holds results of a job and the number of items that the job has.
type Page struct {
	Total   int
	Results []batcher.Result
}

// Results returns the durable results of a team's job starting at position after. It waits up to wait for the first
// one.
func (c *Conductor) Results(ctx context.Context, team identifier.Team, id identifier.Job, after int, wait time.Duration) (Page, ReadOutcome) {
	r, found := c.jobRecord(ctx, team, id)
	if found != Found {
		return Page{}, found
	}
	if results, ok := c.liveResults(ctx, r, after, wait); ok {
		return Page{Total: r.Total, Results: results}, Found
	}
	if !c.storeReached() {
		return Page{}, ReadFailed
	}
	// The cached record may name a former owner.
	if current, found := c.storedRecord(ctx, team, id); found == Found && current.Owner != r.Owner {
		if results, ok := c.liveResults(ctx, current, after, wait); ok {
			return Page{Total: r.Total, Results: results}, Found
		}
	}
	all, out, err := c.Recorder.Results(c.withScope(ctx, r), id)
	if out != applied || err != nil {
		c.Log.Emit(logger.JobUnreadable, "job", id, "outcome", out.String(), "error", err)
		return Page{}, ReadFailed
	}
	if after >= len(all) && c.waits(r, len(all)) {
		return Page{}, Waiting
	}
	if after < 0 || after >= len(all) {
		return Page{Total: r.Total}, Found
	}
	return Page{Total: r.Total, Results: batcher.FirstPage(all[after:], maxPageBytes)}, Found
}

// liveResults reads the durable results of a job from the process that leads it, which may be this one.
func (c *Conductor) liveResults(ctx context.Context, r recorder.Record, after int, wait time.Duration) ([]batcher.Result, bool) {
	if results, ok := c.LocalResults(ctx, r.ID, after, wait); ok {
		return results, true
	}
	c.lock.Lock()
	owner, registered := c.members[r.Owner.Node], c.isMember(r.Owner)
	c.lock.Unlock()
	if !registered || r.Owner == c.Self {
		return nil, false
	}
	return c.Peers.Results(ctx, owner.Address, r.ID, after, wait)
}

// LocalResults returns the durable results of a job that this process leads, starting at position after. It waits up
// to wait for the first one.
func (c *Conductor) LocalResults(ctx context.Context, id identifier.Job, after int, wait time.Duration) ([]batcher.Result, bool) {
	timeout := c.Clock.After(wait)
	defer timeout.Stop()
	for {
		c.lock.Lock()
		l := c.led[id]
		c.lock.Unlock()
		if l == nil {
			return nil, false
		}
		results, changed := l.job.Results(after, maxPageBytes)
		if len(results) > 0 || wait <= 0 || l.job.Finished() {
			return results, true
		}
		select {
		case <-changed:
		case <-timeout.C():
			return nil, true
		case <-ctx.Done():
			return nil, true
		}
	}
}

// ItemBody returns the request body of an item, whether or not the item has a result.
func (c *Conductor) ItemBody(ctx context.Context, team identifier.Team, id identifier.Job, item identifier.Item) ([]byte, ReadOutcome) {
	r, found := c.jobRecord(ctx, team, id)
	if found != Found {
		return nil, found
	}
	c.lock.Lock()
	l := c.led[id]
	c.lock.Unlock()
	var spec batcher.Spec
	whole := false
	if l != nil {
		spec, whole = l.job.WholeSpec()
	}
	if !whole {
		var out storeOutcome
		var err error
		if spec, out, err = c.Recorder.Spec(c.withScope(ctx, r), r); out != applied || err != nil {
			c.Log.Emit(logger.JobUnreadable, "job", id, "outcome", out.String(), "error", err)
			return nil, ReadFailed
		}
	}
	for _, candidate := range spec.Items {
		if candidate.ID == item {
			return candidate.Body, Found
		}
	}
	return nil, Missing
}

// EndJob marks a team's job as ended. It is idempotent.
func (c *Conductor) EndJob(ctx context.Context, team identifier.Team, id identifier.Job) ReadOutcome {
	r, found := c.jobRecord(ctx, team, id)
	for range maxEndAttempts {
		if found != Found || r.Ended {
			return found
		}
		out, err := c.Recorder.Replace(ctx, r, r.WithEnd())
		c.Log.Emit(logger.JobEnded, "job", id, "outcome", out.String(), "error", err)
		switch {
		case out == applied && err == nil:
			c.notifyOwner(ctx, r)
			return Found
		case out != conflict:
			return ReadFailed
		}
		r, found = c.storedRecord(ctx, team, id)
	}
	return ReadFailed
}

// notifyOwner makes the owner of a job read its record again. An owner that leads the job and misses the
// notification reads the record within recordRefreshPeriod.
func (c *Conductor) notifyOwner(ctx context.Context, r recorder.Record) {
	if r.Owner == c.Self {
		c.Refresh(ctx, r.ID)
		return
	}
	c.lock.Lock()
	owner, registered := c.members[r.Owner.Node], c.isMember(r.Owner)
	delete(c.records, r.ID)
	c.lock.Unlock()
	if registered {
		c.notify(ctx, owner, r.ID)
	}
}

// jobRecord returns the record of a team's job from the cache, or else from the store. A cached record may name a
// former owner.
func (c *Conductor) jobRecord(ctx context.Context, team identifier.Team, id identifier.Job) (recorder.Record, ReadOutcome) {
	c.lock.Lock()
	r, ok := c.records[id]
	c.lock.Unlock()
	if !ok {
		var found ReadOutcome
		if r, found = c.readRecord(ctx, team, id); found != Found {
			return r, found
		}
	}
	if r.Team != team {
		return r, Missing
	}
	return r, Found
}

// readRecord reads the record of a job that is not cached: from the store, or from other processes if the store is not
// reached. It may name a former owner too.
func (c *Conductor) readRecord(ctx context.Context, team identifier.Team, id identifier.Job) (recorder.Record, ReadOutcome) {
	out, err := unavailable, error(nil)
	var r recorder.Record
	if c.storeReached() {
		r, out, err = c.Recorder.StaleRecord(ctx, id)
	}
	if out == applied && err == nil && r.Changed == 0 {
		// The job may have been stored since.
		return c.storedRecord(ctx, team, id)
	}
	if out != applied || err != nil {
		found := false
		if r, found = c.findRecord(ctx, id); !found {
			c.Log.Emit(logger.JobUnreadable, "job", id, "outcome", out.String(), "error", err)
			return r, ReadFailed
		}
	}
	c.cacheRecord(r)
	return r, Found
}

// maxAsked is the number of processes that are asked for a job at a time.
const maxAsked = 8

// findRecord asks other processes of the region, those that lead jobs, for the record of a job.
func (c *Conductor) findRecord(ctx context.Context, id identifier.Job) (recorder.Record, bool) {
	peers := c.leaderCandidates()
	if len(peers) == 0 {
		return recorder.Record{}, false
	}
	replies := make(chan recorder.Record, len(peers))
	for _, p := range peers {
		go func() {
			r, found := c.Peers.Find(ctx, p.Address, id)
			if !found {
				r = recorder.Record{}
			}
			replies <- r
		}()
	}
	for range peers {
		if r := <-replies; r.Changed > 0 {
			return r, true
		}
	}
	return recorder.Record{}, false
}

// KnownRecord returns the record of a job as this process knows it.
func (c *Conductor) KnownRecord(id identifier.Job) (recorder.Record, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	r, ok := c.records[id]
	return r, ok
}

// storeReached reports whether the key-value service was reached a moment ago.
func (c *Conductor) storeReached() bool { return c.StoreReached == nil || c.StoreReached() }

// cacheRecord caches a record unless a newer one is cached.
func (c *Conductor) cacheRecord(r recorder.Record) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if old := c.records[r.ID]; old.Changed <= r.Changed {
		c.records[r.ID] = r
	}
}

// storedRecord reads the record of a team's job from the store and caches it.
func (c *Conductor) storedRecord(ctx context.Context, team identifier.Team, id identifier.Job) (recorder.Record, ReadOutcome) {
	r, out, err := c.Recorder.Record(ctx, id)
	switch {
	case out != applied || err != nil:
		c.Log.Emit(logger.JobUnreadable, "job", id, "outcome", out.String(), "error", err)
		return r, ReadFailed
	case r.Changed == 0 || r.Team != team:
		return r, Missing
	default:
		c.cacheRecord(r)
		return r, Found
	}
}
