package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalb/mimosalb/internal/claimer"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/retrier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// ClaimStore makes sure that at most one attempt of a call with an idempotency key is on its way.
type ClaimStore interface {
	// Claim stores a claim unless there is one of its key.
	Claim(ctx context.Context, c claimer.Claim) claimer.Result
	// Move replaces a claim whose attempt never runs.
	Move(ctx context.Context, from, to claimer.Claim) claimer.Result
}

// noClaims is a store of claims that is never available.
type noClaims struct{}

func (noClaims) Claim(context.Context, claimer.Claim) claimer.Result {
	return claimer.Result{Status: claimer.Unavailable}
}

func (noClaims) Move(context.Context, claimer.Claim, claimer.Claim) claimer.Result {
	return claimer.Result{Status: claimer.Unavailable}
}

const (
	// storeRetry is the retry hint while claims can't be stored.
	storeRetry = 5 * time.Second
	// claimYouth is the age under which the attempt of a stored claim may still be on its way to its agent. Asking
	// about it earlier would rule it out.
	claimYouth = 200 * time.Millisecond
)

// key returns the stored form of the request's idempotency key; zero when the request needs no claim.
func (r Request) key() claimer.Key {
	if !r.Service.Once || r.Key == "" {
		return ""
	}
	return claimer.NewKey(r.Identity.Team, r.Key)
}

// claimFor stores the claim of the next attempt before it is sent. When another entry's attempt holds the claim, the
// job takes over the outcome of that one; the second result tells that the job has its result.
func (d *Dispatcher) claimFor(j *job, target router.Target, id identifier.Attempt) (Result, bool) {
	key := j.request.key()
	if key == "" {
		return Result{}, false
	}
	claim := claimer.Claim{Key: key, Fingerprint: j.request.Call.Fingerprint}.
		WithAttempt(id, d.clock.Now()).WithTarget(target.ID, target.Incarnation, target.Address)
	for {
		var r claimer.Result
		if j.claim.Key == "" {
			r = d.claims.Claim(j.ctx, claim)
		} else {
			r = d.claims.Move(j.ctx, j.claim, claim)
		}
		switch r.Status {
		case claimer.Held:
			j.claim = claim
			return Result{}, false
		case claimer.Taken:
			if r.Claim.Fingerprint != claim.Fingerprint {
				return failure(NotRun, ReasonKeyReused), true
			}
			if result, ended := d.inherit(j, r.Claim); ended {
				return result, true
			}
			j.claim = r.Claim
		case claimer.Hidden:
			return failure(MayHaveRun, ReasonStoreUnavailable).withRetryAfter(storeRetry), true
		default:
			if j.ctx.Err() != nil {
				// The call may have run under its key before.
				j.ran = true
				return j.abandoned(), true
			}
			// The key may have run through another entry, so "not run" might be untrue.
			return failure(MayHaveRun, ReasonStoreUnavailable).withRetryAfter(storeRetry), true
		}
	}
}

// inherit takes over the outcome of the attempt that a stored claim names. The second result is false when that
// attempt never runs, so that the claim may name another.
func (d *Dispatcher) inherit(j *job, c claimer.Claim) (Result, bool) {
	f := &follower{
		agents: d.agents, clock: d.clock, attempt: c.Attempt, issued: c.Issued, once: true,
		target: router.Target{ID: c.Target, Incarnation: c.Incarnation, Address: c.Address},
	}
	if d.clock.Now().Sub(c.Issued).Abs() < claimYouth && !f.pause(j.ctx) {
		return failure(MayHaveRun, ReasonLost), true
	}
	event, final := f.pursue(j.ctx, retrier.Lost, func(chunk streamer.Chunk) bool {
		f.read += len(chunk.Pieces)
		j.deliver(false, chunk.Pieces)
		return false
	})
	if !event.MayHaveRun() {
		return Result{}, false
	}
	result := failure(MayHaveRun, lostReason(event, false)).withTarget(c.Target)
	switch event {
	case retrier.Completed:
		result = Result{RunState: HasRun, Final: j.whole(false, final), Target: c.Target}
	case retrier.Failed:
		result = failure(HasRun, ReasonTarget).withTarget(c.Target)
	case retrier.Abandoned:
		j.ran = true
		result = j.abandoned().withTarget(c.Target)
	default:
	}
	result.Replayed = true
	return result, true
}

// share is a call with an idempotency key that is under way at this entry.
type share struct {
	job *job
}

// submitClaimed submits a call with an idempotency key, or joins the submission that is under way. The call goes on
// when its caller goes away, so that the outcome can be told to the next submission.
func (d *Dispatcher) submitClaimed(ctx context.Context, r Request) (*Answer, Refusal) {
	j := &job{ctx: context.WithoutCancel(ctx), caller: ctx, request: r, answer: newAnswer()}
	row, fresh := d.shares.PutAbsent(r.key(), &share{job: j})
	if row.job.request.Call.Fingerprint != r.Call.Fingerprint {
		return nil, Refusal{Reason: ReasonKeyReused}
	}
	if fresh {
		if refusal := d.enqueue(j); refusal.Refused() {
			d.shares.Delete(r.key())
			result := failure(NotRun, refusal.Reason).withRetryAfter(refusal.RetryAfter)
			j.answer.finish(result)
			return nil, refusal
		}
	}
	view := newAnswer()
	d.views.Go(func() {
		view.finish(copyAnswer(ctx, row.job.answer, view, !fresh))
	})
	return view, Refusal{}
}

// copyAnswer copies an answer to one of its callers until it ends or the caller's context does.
func copyAnswer(ctx context.Context, from, to *Answer, joined bool) Result {
	at := 0
	for {
		chunk, changed := from.Read(at)
		for _, p := range chunk.Pieces {
			to.Append(p)
			at++
		}
		if chunk.Done() {
			r := from.Result()
			r.Replayed = r.Replayed || joined
			return r
		}
		select {
		case <-changed:
		case <-ctx.Done():
			reason := ReasonCaller
			if errors.Is(context.Cause(ctx), ErrKeyWithdrawn) {
				reason = ReasonKeyWithdrawn
			}
			return failure(MayHaveRun, reason)
		}
	}
}

// provenNotRun reports whether "not run" is true for the job's key too. A key whose claim this job does not hold may have
// run through another entry. Before "not run" is said the claim is written once more, which fails if another entry has
// moved it.
func (d *Dispatcher) provenNotRun(j *job) bool {
	if j.request.key() == "" {
		return true
	}
	if j.claim.Key == "" {
		return false
	}
	again := j.claim.WithAttempt(j.claim.Attempt, d.clock.Now())
	return d.claims.Move(context.WithoutCancel(j.ctx), j.claim, again).Status == claimer.Held
}
