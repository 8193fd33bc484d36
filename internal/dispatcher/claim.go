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

// ClaimStore stores claims, so that at most one attempt of a call with an idempotency key is in progress.
type ClaimStore interface {
	// Claim stores a claim unless a claim of the same key is stored.
	Claim(ctx context.Context, c claimer.Claim) claimer.Result
	// Replace replaces the stored claim from, whose attempt never runs, by to.
	Replace(ctx context.Context, from, to claimer.Claim) claimer.Result
}

// noClaimStore is a ClaimStore that is never available.
type noClaimStore struct{}

func (noClaimStore) Claim(context.Context, claimer.Claim) claimer.Result {
	return claimer.Result{Status: claimer.Unavailable}
}

func (noClaimStore) Replace(context.Context, claimer.Claim, claimer.Claim) claimer.Result {
	return claimer.Result{Status: claimer.Unavailable}
}

const (
	// storeRetryAfter is the retry hint while claims can't be stored.
	storeRetryAfter = 5 * time.Second
	// minClaimAge is the age of a stored claim below which its attempt may still be in transit to its agent. A Settle
	// call before the attempt arrives would rule it out.
	minClaimAge = 200 * time.Millisecond
)

// claimKey returns the stored form of the request's idempotency key, which is empty if the request needs no claim.
func (r Request) claimKey() claimer.Key {
	if !r.Service.Once || r.Key == "" {
		return ""
	}
	return claimer.NewKey(r.Identity.Team, r.Key)
}

// claimAttempt stores the claim of the next attempt before the attempt is sent. When the stored claim names an attempt
// of another entry, the job adopts the outcome of that attempt. The second result reports whether the job has its
// result.
func (d *Dispatcher) claimAttempt(j *job, target router.Target, id identifier.Attempt) (Result, bool) {
	key := j.request.claimKey()
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
			r = d.claims.Replace(j.ctx, j.claim, claim)
		}
		switch r.Status {
		case claimer.Held:
			j.claim = claim
			return Result{}, false
		case claimer.Taken:
			if r.Claim.Fingerprint != claim.Fingerprint {
				return failure(NotRun, ReasonKeyReused), true
			}
			if result, ended := d.adoptOutcome(j, r.Claim); ended {
				return result, true
			}
			j.claim = r.Claim
		case claimer.Unknown:
			return failure(MayHaveRun, ReasonStoreUnavailable).withRetryAfter(storeRetryAfter), true
		default:
			if j.ctx.Err() != nil {
				// An earlier submission with the same key may have run.
				j.mayHaveRun = true
				return j.abandonedResult(), true
			}
			// The call may have run under its key through another entry, so NotRun could be false.
			return failure(MayHaveRun, ReasonStoreUnavailable).withRetryAfter(storeRetryAfter), true
		}
	}
}

// adoptOutcome waits for the attempt that a stored claim names and returns its outcome. The second result is false when
// that attempt never runs, so that the claim may be replaced.
func (d *Dispatcher) adoptOutcome(j *job, c claimer.Claim) (Result, bool) {
	if c.Target == "" {
		// Nothing is sent under a claim without a target.
		return Result{}, false
	}
	f := &follower{
		agents: d.agents, clock: d.clock, attempt: c.Attempt, issued: c.Issued, once: true,
		target: router.Target{ID: c.Target, Incarnation: c.Incarnation, Address: c.Address},
	}
	if d.clock.Now().Sub(c.Issued).Abs() < minClaimAge && !f.pause(j.ctx) {
		return failure(MayHaveRun, ReasonAnswerLost), true
	}
	event, final := f.follow(j.ctx, retrier.Lost, func(chunk streamer.Chunk) bool {
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
		result = Result{RunState: HasRun, Final: j.completeAnswer(false, final), Target: c.Target}
	case retrier.Failed:
		result = failure(HasRun, ReasonTargetFailed).withTarget(c.Target)
	case retrier.Abandoned:
		j.mayHaveRun = true
		result = j.abandonedResult().withTarget(c.Target)
	default:
	}
	result.Replayed = true
	return result, true
}

// sharedCall is a call with an idempotency key that is in progress at this entry.
type sharedCall struct {
	job *job
}

// submitClaimed submits a call with an idempotency key, or joins the submission in progress. The call continues when
// its caller disconnects, so that the next submission with the key gets the outcome.
func (d *Dispatcher) submitClaimed(ctx context.Context, r Request) (*Answer, Refusal) {
	j := &job{ctx: context.WithoutCancel(ctx), caller: ctx, request: r, answer: newAnswer()}
	shared, created := d.sharedCalls.PutAbsent(r.claimKey(), &sharedCall{job: j})
	if shared.job.request.Call.Fingerprint != r.Call.Fingerprint {
		return nil, Refusal{Reason: ReasonKeyReused}
	}
	if created {
		if refusal := d.enqueue(j); refusal.Refused() {
			d.sharedCalls.Delete(r.claimKey())
			result := failure(NotRun, refusal.Reason).withRetryAfter(refusal.RetryAfter)
			j.answer.finish(result)
			return nil, refusal
		}
	}
	answer := newAnswer()
	d.copyTasks.Go(func() {
		answer.finish(copyAnswer(ctx, shared.job.answer, answer, !created))
	})
	return answer, Refusal{}
}

// copyAnswer copies the shared answer from to one caller's answer until the shared answer ends or ctx is done. joined
// marks a caller that did not start the call.
func copyAnswer(ctx context.Context, from, to *Answer, joined bool) Result {
	position := 0
	for {
		chunk, changed := from.Read(position)
		for _, p := range chunk.Pieces {
			to.Append(p)
			position++
		}
		if chunk.Done() {
			r := from.Result()
			r.Replayed = r.Replayed || joined
			return r
		}
		select {
		case <-changed:
		case <-ctx.Done():
			reason := ReasonCallerGone
			if errors.Is(context.Cause(ctx), ErrKeyWithdrawn) {
				reason = ReasonKeyWithdrawn
			}
			return failure(MayHaveRun, reason)
		}
	}
}

// confirmNotRun reports whether NotRun holds for the job's idempotency key too. If this job does not hold the claim of
// the key, the call may have run through another entry. Otherwise the claim is written once more, which fails if
// another entry has replaced it.
func (d *Dispatcher) confirmNotRun(j *job) bool {
	if j.request.claimKey() == "" {
		return true
	}
	if j.claim.Key == "" {
		return false
	}
	renewed := j.claim.WithAttempt(j.claim.Attempt, d.clock.Now())
	return d.claims.Replace(context.WithoutCancel(j.ctx), j.claim, renewed).Status == claimer.Held
}
