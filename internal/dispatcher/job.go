package dispatcher

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/mimosalb/mimosalb/internal/admitter"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/retrier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// job is a queued request with the state of its attempts. One worker owns it at a time.
type job struct {
	ctx     context.Context
	cancel  context.CancelFunc
	request Request
	ask     admitter.Ask
	answer  *Answer
	latest  time.Duration

	attempts int
	ran      bool
	used     []identifier.Target
	// tried holds the target of each attempt by its number.
	tried  []router.Target
	tokens identifier.Tokens
	text   []byte
}

// tracer makes the spans of the queue and the attempts.
var tracer = otel.Tracer("github.com/mimosalb/mimosalb/internal/dispatcher")

// run leads a job to its result.
func (d *Dispatcher) run(ctx context.Context, j *job) {
	start := d.clock.Boot()
	stop := context.AfterFunc(ctx, j.cancel)
	defer stop()
	defer j.cancel()

	d.budget.Earn()
	result := d.attempt(j)
	result.Attempts = j.attempts
	result.Took = d.clock.Boot() - start
	d.admitter.Release(j.ask, j.tokens)
	j.answer.finish(result)
	for _, f := range d.ended {
		f(Ended{Request: j.request, Result: result, Tried: j.tried})
	}
}

// attempt makes attempts until one step is final.
func (d *Dispatcher) attempt(j *job) Result {
	for {
		if j.ctx.Err() != nil {
			return d.abandoned(j, RanUnknown)
		}
		need := router.Need{Service: j.request.Service.Name, Zone: d.settings.Zone, Region: d.settings.Region, Avoid: j.used}
		target, ok := d.router.Choose(need)
		if !ok {
			return failure(notRunUnless(j.ran), ReasonNoTarget).withRetryAfter(time.Second)
		}
		event, final := d.try(j, target)
		d.router.Release(target.ID)
		step := retrier.Decide(retrier.Situation{Once: j.request.Service.Once, Ran: j.ran, Attempts: j.attempts}, event, d.budget)
		if event != retrier.NotSent && event != retrier.Refused {
			j.ran = true
		}
		switch step {
		case retrier.Retry:
			j.used = append(j.used, target.ID)
			continue
		case retrier.Deliver:
			return Result{Ran: RanYes, Final: final, Target: target.ID}
		case retrier.RefuseNotRun:
			return failure(NotRun, ReasonRefused).withRetryAfter(time.Second)
		case retrier.ReportRan:
			return failure(RanYes, failedReason(event)).withTarget(target.ID)
		default:
			if event == retrier.Abandoned {
				return d.abandoned(j, RanUnknown).withTarget(target.ID)
			}
			return failure(RanUnknown, ReasonLost).withTarget(target.ID)
		}
	}
}

// try makes one attempt on a target and follows its answer.
func (d *Dispatcher) try(j *job, target router.Target) (retrier.Event, streamer.Final) {
	id := identifier.Attempt{Request: j.request.ID, Number: j.attempts}
	j.attempts++
	j.tried = append(j.tried, target)
	ctx, span := tracer.Start(j.ctx, "attempt", trace.WithAttributes(
		attribute.String("mimosalb.attempt", id.String()), attribute.String("mimosalb.target", string(target.ID))))
	defer span.End()

	f := &follower{agents: d.agents, clock: d.clock, target: target, attempt: id, job: j}
	event, final := f.follow(ctx, Start{
		Attempt: id,
		Issued:  d.clock.Now(),
		Timeout: max(j.latest-d.clock.Boot(), 0),
		Call:    j.request.Call.WithProgress(string(j.text), j.tokens),
	})
	span.SetAttributes(attribute.Int("mimosalb.event", int(event)))
	return event, final
}

// abandoned is the result of a job whose context has ended.
func (d *Dispatcher) abandoned(j *job, ran Ran) Result {
	if !j.ran {
		ran = NotRun
	}
	switch cause := context.Cause(j.ctx); {
	case errors.Is(cause, ErrWithdrawn):
		return failure(ran, ReasonWithdrawn)
	case errors.Is(cause, context.DeadlineExceeded):
		return failure(ran, ReasonTimeout)
	default:
		return failure(ran, ReasonCaller)
	}
}

func failure(ran Ran, reason string) Result {
	return Result{Ran: ran, Reason: reason, Final: streamer.Final{}.WithEnd(streamer.Failed, reason)}
}

func (r Result) withRetryAfter(d time.Duration) Result {
	r.RetryAfter = d
	return r
}

func (r Result) withTarget(id identifier.Target) Result {
	r.Target = id
	return r
}

func notRunUnless(ran bool) Ran {
	if ran {
		return RanUnknown
	}
	return NotRun
}

func failedReason(event retrier.Event) string {
	if event == retrier.Crashed {
		return ReasonCrashed
	}
	return ReasonTarget
}

// resumable reports whether a broken answer can go on at another target: only text made of tokens can.
func (j *job) resumable() bool { return j.request.Service.Kind == configurator.Model }
