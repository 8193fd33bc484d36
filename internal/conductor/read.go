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
	// pageBytes bounds the results of one read.
	pageBytes = 700 << 10
	// endTries bounds the writes that end a job while others change its record.
	endTries = 6
)

// Page is what a reader of a job gets.
type Page struct {
	Total   int
	Results []batcher.Result
}

// Results returns the readable results of a team's job from position after on. It waits up to wait for the first.
func (c *Conductor) Results(ctx context.Context, team identifier.Team, id identifier.Job, after int, wait time.Duration) (Page, ReadOutcome) {
	r, found := c.record(ctx, team, id)
	if found != Found {
		return Page{}, found
	}
	if results, ok := c.live(ctx, r, after, wait); ok {
		return Page{Total: r.Total, Results: results}, Found
	}
	// The owner may be another one by now.
	if fresh, found := c.stored(ctx, team, id); found == Found && fresh.Owner != r.Owner {
		if results, ok := c.live(ctx, fresh, after, wait); ok {
			return Page{Total: r.Total, Results: results}, Found
		}
	}
	all, out, err := c.Recorder.Results(ctx, id)
	if out != applied || err != nil {
		c.Log.Emit(logger.JobUnreadable, "job", id, "outcome", out.String(), "error", err)
		return Page{}, Unsure
	}
	if after < 0 || after >= len(all) {
		return Page{Total: r.Total}, Found
	}
	return Page{Total: r.Total, Results: batcher.Page(all[after:], pageBytes)}, Found
}

// live asks the process that leads a job for its readable results.
func (c *Conductor) live(ctx context.Context, r recorder.Record, after int, wait time.Duration) ([]batcher.Result, bool) {
	if results, ok := c.LocalResults(ctx, r.ID, after, wait); ok {
		return results, true
	}
	c.lock.Lock()
	owner, there := c.nodes[r.Owner.Node], c.there(r.Owner)
	c.lock.Unlock()
	if !there || r.Owner == c.Self {
		return nil, false
	}
	return c.Peers.Results(ctx, owner.Address, r.ID, after, wait)
}

// LocalResults returns the readable results of a job that this process leads. It waits up to wait for the first.
func (c *Conductor) LocalResults(ctx context.Context, id identifier.Job, after int, wait time.Duration) ([]batcher.Result, bool) {
	over := c.Clock.After(wait)
	defer over.Stop()
	for {
		c.lock.Lock()
		l := c.led[id]
		c.lock.Unlock()
		if l == nil {
			return nil, false
		}
		results, changed := l.job.Results(after, pageBytes)
		if len(results) > 0 || wait <= 0 || l.job.Finished() {
			return results, true
		}
		select {
		case <-changed:
		case <-over.C():
			return nil, true
		case <-ctx.Done():
			return nil, true
		}
	}
}

// Body returns the body of an item that is not listed yet.
func (c *Conductor) Body(ctx context.Context, team identifier.Team, id identifier.Job, item identifier.Item) ([]byte, ReadOutcome) {
	r, found := c.record(ctx, team, id)
	if found != Found {
		return nil, found
	}
	c.lock.Lock()
	l := c.led[id]
	c.lock.Unlock()
	var spec batcher.Spec
	if l != nil {
		spec = l.job.Spec()
	} else {
		var out storeOutcome
		var err error
		if spec, out, err = c.Recorder.Spec(ctx, r); out != applied || err != nil {
			c.Log.Emit(logger.JobUnreadable, "job", id, "outcome", out.String(), "error", err)
			return nil, Unsure
		}
	}
	for _, candidate := range spec.Items {
		if candidate.ID == item {
			return candidate.Body, Found
		}
	}
	return nil, Missing
}

// End ends a team's job. It may be repeated.
func (c *Conductor) End(ctx context.Context, team identifier.Team, id identifier.Job) ReadOutcome {
	r, found := c.record(ctx, team, id)
	for range endTries {
		if found != Found || r.Ended {
			return found
		}
		out, err := c.Recorder.Replace(ctx, r, r.WithEnd())
		c.Log.Emit(logger.JobEnded, "job", id, "outcome", out.String(), "error", err)
		switch {
		case out == applied && err == nil:
			c.tell(ctx, r)
			return Found
		case out != conflict:
			return Unsure
		}
		r, found = c.stored(ctx, team, id)
	}
	return Unsure
}

// tell lets the owner of a job read its record. An owner that leads the job and is not told finds out by itself.
func (c *Conductor) tell(ctx context.Context, r recorder.Record) {
	if r.Owner == c.Self {
		c.Refresh(ctx, r.ID)
		return
	}
	c.lock.Lock()
	owner, there := c.nodes[r.Owner.Node], c.there(r.Owner)
	delete(c.records, r.ID)
	c.lock.Unlock()
	if there {
		c.Peers.Notify(ctx, owner.Address, r.ID)
	}
}

// record returns the record of a team's job, from memory or else from the store. One from memory may name an old owner.
func (c *Conductor) record(ctx context.Context, team identifier.Team, id identifier.Job) (recorder.Record, ReadOutcome) {
	c.lock.Lock()
	r, ok := c.records[id]
	c.lock.Unlock()
	if !ok {
		return c.stored(ctx, team, id)
	}
	if r.Team != team {
		return r, Missing
	}
	return r, Found
}

// stored returns the record of a team's job from the store.
func (c *Conductor) stored(ctx context.Context, team identifier.Team, id identifier.Job) (recorder.Record, ReadOutcome) {
	r, out, err := c.Recorder.Record(ctx, id)
	switch {
	case out != applied || err != nil:
		c.Log.Emit(logger.JobUnreadable, "job", id, "outcome", out.String(), "error", err)
		return r, Unsure
	case r.Changed == 0 || r.Team != team:
		return r, Missing
	default:
		c.lock.Lock()
		if old := c.records[id]; old.Changed <= r.Changed {
			c.records[id] = r
		}
		c.lock.Unlock()
		return r, Found
	}
}
