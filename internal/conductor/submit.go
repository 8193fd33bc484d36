package conductor

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// submitTimeout limits the write that stores a job. An entry that has lost the store must answer soon, because the
// caller can submit the job to another entry.
const submitTimeout = 800 * time.Millisecond

// maxLeadersTried is the number of processes to which a submission is passed on, one after the other.
const maxLeadersTried = 2

// Submit accepts a job. Once it returns Accepted, the job is stored durably. Jobs of one model and region are led by
// the same process where possible, because it has open connections to the targets and the texts of earlier jobs. A process
// that has no capacity or can't store the job is passed over. A large job is led where it was submitted: passed on, it would be
// in the memory of two processes, and hold up the other messages between them.
func (c *Conductor) Submit(ctx context.Context, s batcher.Spec) Acceptance {
	plan := c.Navigator.Current()
	s.Scope = confiner.NewScope(c.Region, plan.Regions(s.Host, s.Path, s.Team))
	if !c.servable(plan, s) {
		return c.refuse(ctx, s.Team, s.ID, "regions")
	}
	if c.stranded(s) {
		return c.refuse(ctx, s.Team, s.ID, "stranded")
	}
	if size := s.Size(); size > batcher.LargeSize {
		if !c.hasRoom(s.ID, size) {
			return c.Refuse(ctx, s.Team, s.ID)
		}
		return c.Accept(ctx, s)
	}
	tried := make(map[identifier.Node]bool)
	for len(tried) < maxLeadersTried {
		leader, ok := c.selectLeader(s, tried)
		if !ok || leader.Owner == c.Self {
			break
		}
		a, known := c.Peers.Submit(ctx, leader.Address, s)
		switch {
		case !known:
			// The peer may have stored the job although the call failed, so the job can't be reported as refused.
			if a = c.Accept(ctx, s); a == Refused {
				return AcceptanceUnknown
			}
			return a
		case a != Declined && a != Refused:
			return a
		}
		tried[leader.Owner.Node] = true
	}
	return c.Accept(ctx, s)
}

// selectLeader returns the process that leads the jobs of a team's model submitted in this region, without those that
// were tried. One that leads too much for its cores leaves further jobs to the next one. A process that does not reach the store
// leaves them to another.
func (c *Conductor) selectLeader(s batcher.Spec, tried map[identifier.Node]bool) (recorder.Registration, bool) {
	reached := c.storeReached()
	return c.selectLoaded("model/"+string(s.Team)+"/"+string(s.Model), len(s.Items), func(p recorder.Registration) bool {
		return p.Region == c.Region && !tried[p.Owner.Node] && (reached || p.Owner != c.Self)
	})
}

// AcceptForwarded accepts a job that a peer forwarded. It declines if this process is closing, does not reach the store or
// its unfinished items of other models leave too few workers for the job.
func (c *Conductor) AcceptForwarded(ctx context.Context, s batcher.Spec) Acceptance {
	unfinished := 0
	for _, l := range c.ledJobs() {
		if l.job.Spec().Model != s.Model {
			unfinished += l.job.Unfinished()
		}
	}
	c.lock.Lock()
	closing := c.closing
	c.lock.Unlock()
	if closing || !c.specScope(s).AllowsEntry(c.Region) || !c.storeReached() || unfinished+len(s.Items) > workerCount {
		return Declined
	}
	// The process that passed the job on waits for a shorter time than the store may be away.
	return c.accept(confiner.WithScope(ctx, c.specScope(s)), s, c.Recorder.Create)
}

// Accept stores a job with this process as its owner, or with another process as its owner if this one is closing.
func (c *Conductor) Accept(ctx context.Context, s batcher.Spec) Acceptance {
	return c.accept(ctx, s, c.create)
}

// accept stores a job by the given call.
func (c *Conductor) accept(
	ctx context.Context, s batcher.Spec, create func(context.Context, batcher.Spec, recorder.Owner) (storeOutcome, error),
) Acceptance {
	c.lock.Lock()
	known, seen := c.records[s.ID]
	closing := c.closing
	if !seen && !closing {
		c.unconfirmed[s.ID] = s
	}
	c.lock.Unlock()
	if seen {
		return acceptanceOfExisting(known, s.Team)
	}
	owner := recorder.Registration{Owner: c.Self}
	if closing {
		var ok bool
		if owner, ok = c.selectSuccessor(recorder.Record{ID: s.ID, Team: s.Team, Scope: s.Scope, Host: s.Host, Path: s.Path}); !ok {
			return Refused
		}
	}
	defer c.beginSubmitting(s.ID)()
	storing, cancel := timer.WithTimeout(ctx, c.Clock, submitTimeout)
	defer cancel()
	out, err := create(storing, s, owner.Owner)
	acceptance := c.acceptanceOf(ctx, s, out)
	c.Log.Emit(logger.JobSubmitted, "job", s.ID, "team", s.Team, "items", len(s.Items), "desired", s.Desired, "least", s.Least,
		"outcome", acceptance.String(), "store", out.String(), "error", err)
	switch {
	case acceptance != Accepted || out != applied:
	case closing:
		c.notify(ctx, owner, s.ID)
	case !c.Refresh(context.WithoutCancel(ctx), s.ID):
		c.leadUnread(s)
	}
	return acceptance
}

// beginSubmitting counts a submission that is being stored until the returned function is called.
func (c *Conductor) beginSubmitting(id identifier.Job) (end func()) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.submitting[id]++
	return func() {
		c.lock.Lock()
		defer c.lock.Unlock()
		if c.submitting[id]--; c.submitting[id] == 0 {
			delete(c.submitting, id)
		}
	}
}

// createRetryDelay is the delay before a write that stores a job and took no effect is repeated.
const createRetryDelay = 100 * time.Millisecond

// create stores a job. While the store refuses calls, it tries again until ctx ends: a submission that arrives shortly before the store is
// back is then accepted, and the trainer does not have to submit it again.
func (c *Conductor) create(ctx context.Context, s batcher.Spec, owner recorder.Owner) (storeOutcome, error) {
	for {
		out, err := c.Recorder.Create(confiner.WithScope(ctx, c.specScope(s)), s, owner)
		if out != unavailable || err != nil || ctx.Err() != nil {
			return out, err
		}
		c.awaitStore(ctx, createRetryDelay)
		if ctx.Err() != nil {
			return out, err
		}
	}
}

// hasRoom reports whether the bodies of a further large job fit beside those of the jobs that this process leads or has accepted.
// A job that it knows takes no further room. A single one always fits: it could be accepted nowhere else either.
func (c *Conductor) hasRoom(id identifier.Job, size identifier.Bytes) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if _, seen := c.records[id]; seen || c.JobMemory == 0 {
		return true
	}
	held := identifier.Bytes(0)
	for _, l := range c.led {
		if n := l.job.BodyBytes(); n > batcher.LargeSize {
			held += n
		}
	}
	for _, s := range c.unconfirmed {
		if n := s.Size(); n > batcher.LargeSize {
			held += n
		}
	}
	return held == 0 || held+size <= c.JobMemory
}

// Refuse returns the acceptance of a submission for which there is no memory. It is Refused only if the job does not exist: an earlier
// submission, of which the trainer got no answer, may have been accepted.
func (c *Conductor) Refuse(ctx context.Context, team identifier.Team, id identifier.Job) Acceptance {
	return c.refuse(ctx, team, id, "memory")
}

// refuse returns the acceptance of a submission that is refused for a reason.
func (c *Conductor) refuse(ctx context.Context, team identifier.Team, id identifier.Job, reason string) Acceptance {
	record, out, err := c.Recorder.Record(ctx, id)
	acceptance := Refused
	switch {
	case out != applied || err != nil:
		acceptance = AcceptanceUnknown
	case record.Changed != 0:
		acceptance = acceptanceOfExisting(record, team)
	}
	c.Log.Emit(logger.JobSubmitted, "job", id, "team", team, "outcome", acceptance.String(), "store", out.String(), "reason", reason, "error", err)
	return acceptance
}

// dropUnconfirmed drops the spec of a job that this process did not accept.
func (c *Conductor) dropUnconfirmed(id identifier.Job) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.unconfirmed, id)
}

// acceptanceOf returns the acceptance that follows from the outcome of storing a job.
func (c *Conductor) acceptanceOf(ctx context.Context, s batcher.Spec, out storeOutcome) Acceptance {
	switch out {
	case applied:
		return Accepted
	case conflict:
		c.dropUnconfirmed(s.ID)
		record, read, err := c.Recorder.Record(ctx, s.ID)
		if read != applied || err != nil || record.Changed == 0 {
			return AcceptanceUnknown
		}
		if record.Team == s.Team && !record.Ended {
			// The answer to an earlier submission was lost, so that its owner may not know of the job yet.
			c.tellOwner(context.WithoutCancel(ctx), record)
		}
		return acceptanceOfExisting(record, s.Team)
	case unavailable:
		c.dropUnconfirmed(s.ID)
		return Refused
	default:
		return AcceptanceUnknown
	}
}

// acceptanceOfExisting returns the acceptance of a submission whose job ID exists already.
func acceptanceOfExisting(r recorder.Record, team identifier.Team) Acceptance {
	if r.Team != team {
		return OtherTeam
	}
	return Accepted
}
