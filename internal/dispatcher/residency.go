package dispatcher

import (
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// scope returns where the body of a request may be now: in the regions that the configuration at its acceptance and the present one allow.
func (d *Dispatcher) scope(r Request) confiner.Scope {
	return confiner.NewScope(d.settings.Region, r.Regions).With(d.config.Current().Regions(r.Service.Name, r.Identity.Team))
}

// unserved reports whether a scope excludes every target of a service.
func (d *Dispatcher) unserved(s identifier.Service, scope confiner.Scope) bool {
	return scope.Restricted() && !d.router.View().ServesIn(s, scope.Regions)
}

// permit returns a function that reports whether a target may get the body of a request. It is called immediately before the body is sent,
// since a configuration may have been adopted after the target was chosen.
func (d *Dispatcher) permit(r Request, target router.Target) func() bool {
	return func() bool { return d.scope(r).AllowsTarget(target.Region) }
}

// refuseUnserved refuses a request that no target may get.
func (d *Dispatcher) refuseUnserved(r Request) Refusal {
	if !d.unserved(r.Service.Name, d.scope(r)) {
		return Refusal{}
	}
	return Refusal{Reason: ReasonNoRegion, RetryAfter: noTargetRetryAfter}
}

// endWithoutTarget returns the result of a job that got no target. If its regions are the cause, a call with an idempotency key that has
// no claim yet stores one without a target: the job then has the outcome of an earlier submission, or finish can confirm that nothing ran.
func (d *Dispatcher) endWithoutTarget(j *job) Result {
	reason := ReasonNoTarget
	if d.unserved(j.request.Service.Name, d.scope(j.request)) {
		reason = ReasonNoRegion
		if j.claim.Key == "" {
			unsent := identifier.Attempt{Request: j.request.ID, Number: j.attempts}
			if result, done := d.claimAttempt(j, router.Target{}, unsent); done {
				return result
			}
		}
	}
	return failure(j.runState(), reason).withRetryAfter(noTargetRetryAfter)
}
