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

// submitPatience bounds the storing of a job. A caller that hears nothing would wait in vain for an entry that has lost
// the store, while another entry can take the job.
const submitPatience = 800 * time.Millisecond

// Submit accepts a job: once it returns Accepted, the job is kept. The jobs of one model are led by the same process while
// it can, which keeps its connections to the targets and the texts of the job before.
func (c *Conductor) Submit(ctx context.Context, s batcher.Spec) Acceptance {
	home, ok := c.home(s)
	if !ok || home.Owner == c.Self {
		return c.Accept(ctx, s)
	}
	a, known := c.Peers.Submit(ctx, home.Address, s)
	if known && a != Declined {
		return a
	}
	// What the other process may still do with the job makes a refusal here untrue.
	if a = c.Accept(ctx, s); a == Refused && !known {
		return Undecided
	}
	return a
}

// home returns the process that leads the jobs of a model which are submitted in this region.
func (c *Conductor) home(s batcher.Spec) (recorder.Presence, bool) {
	return c.heir("model/"+string(s.Team)+"/"+string(s.Model), func(p recorder.Presence) bool { return p.Region == c.Region })
}

// AcceptForwarded accepts a job that another process got, unless this one has enough to do.
func (c *Conductor) AcceptForwarded(ctx context.Context, s batcher.Spec) Acceptance {
	unfinished := 0
	for _, l := range c.leading() {
		if l.job.Spec().Model != s.Model {
			unfinished += l.job.Unfinished()
		}
	}
	c.lock.Lock()
	closing := c.closing
	c.lock.Unlock()
	if closing || unfinished+len(s.Items) > workers {
		return Declined
	}
	return c.Accept(ctx, s)
}

// Accept stores a job with this process as its owner. A process that stops names another one.
func (c *Conductor) Accept(ctx context.Context, s batcher.Spec) Acceptance {
	c.lock.Lock()
	known, seen := c.records[s.ID]
	closing := c.closing
	if !seen && !closing {
		c.fresh[s.ID] = s
	}
	c.lock.Unlock()
	if seen {
		return repeated(known, s)
	}
	owner := recorder.Presence{Owner: c.Self}
	if closing {
		var ok bool
		if owner, ok = c.heir(string(s.ID), func(p recorder.Presence) bool { return p.Owner.Node != c.Self.Node }); !ok {
			return Refused
		}
	}
	storing, cancel := timer.WithTimeout(ctx, c.Clock, submitPatience)
	defer cancel()
	out, err := c.Recorder.Create(storing, s, owner.Owner)
	acceptance := c.accepted(ctx, s, out)
	c.Log.Emit(logger.JobSubmitted, "job", s.ID, "team", s.Team, "items", len(s.Items), "desired", s.Desired, "least", s.Least,
		"outcome", acceptance.String(), "store", out.String(), "error", err)
	switch {
	case acceptance != Accepted || out != applied:
	case closing:
		c.Peers.Notify(ctx, owner.Address, s.ID)
	default:
		c.Refresh(context.WithoutCancel(ctx), s.ID)
	}
	return acceptance
}

// release forgets the body of a job that was not accepted here.
func (c *Conductor) release(id identifier.Job) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.fresh, id)
}

// accepted decides on a submission by what the store answered.
func (c *Conductor) accepted(ctx context.Context, s batcher.Spec, out storeOutcome) Acceptance {
	switch out {
	case applied:
		return Accepted
	case conflict:
		c.release(s.ID)
		record, read, err := c.Recorder.Record(ctx, s.ID)
		if read != applied || err != nil || record.Changed == 0 {
			return Undecided
		}
		return repeated(record, s)
	case unavailable:
		c.release(s.ID)
		return Refused
	default:
		return Undecided
	}
}

// repeated decides on a submission whose job is there already.
func repeated(r recorder.Record, s batcher.Spec) Acceptance {
	if r.Team != s.Team {
		return Foreign
	}
	return Accepted
}
