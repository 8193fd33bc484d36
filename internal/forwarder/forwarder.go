package forwarder

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/mimosalb/mimosalb/internal/estimator"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/rationer"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/reserver"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// hedgeFraction is the fraction of a route's latency goal after which a repeatable request without an answer is
	// also sent to a second target.
	hedgeFraction = 0.6
	// minHedgeDelay is the lower bound of the hedge delay; it applies to routes without a latency goal.
	minHedgeDelay = 50 * time.Millisecond
	// refusedRetryAfter is the retry delay given to the caller of a refused request, and how long a target that
	// refused stays suspended: by then its queue has advanced.
	refusedRetryAfter = 150 * time.Millisecond
	// defaultTimeout applies when neither the route nor the caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxBufferedBytes is the number of body bytes that are buffered before any of the answer is sent to the caller. If the
	// body breaks off within them, the request can still be retried.
	maxBufferedBytes = 256 << 10
	// smallBufferedBytes is the number of body bytes that are buffered without a reservation. While there is no memory for more,
	// the rest is copied to the caller as it comes.
	smallBufferedBytes = 16 << 10
	// copyBufferBytes is the size of the buffer through which the rest of a body is copied to the caller.
	copyBufferBytes = 32 << 10
)

// RequestCounter counts the requests that began to run.
type RequestCounter interface {
	Count(team identifier.Team, at time.Time)
}

// Sink writes an answer to the caller.
type Sink interface {
	// Begin sends the status and the header. Length is the length of the body, or -1 if it is unknown.
	Begin(status int, header map[string][]string, length int64)
	// Write sends a part of the body without buffering it.
	Write(p []byte) error
}

// Dependencies holds the collaborators and settings of a Forwarder.
type Dependencies struct {
	Navigator    *navigator.Navigator
	Registrar    *registrar.Registrar
	Router       *router.Router
	TargetClient TargetClient
	Opener       Opener
	// Starts confirms a target before it continues a stream; if it is nil, listings are taken as they are.
	Starts StartReader
	// Origins keeps what began each stream; if it is nil, no stream is continued by a new request.
	Origins Origins
	Counter RequestCounter
	// Observer holds the evidence of which requests crash targets; if it is nil, the forwarder keeps its own.
	Observer *isolator.Observer
	// Estimator predicts the work of requests; if it is nil, their work counts for nothing.
	Estimator *estimator.Estimator
	// Limiter keeps to the rates that targets name; if it is nil, nothing is limited.
	Limiter *limiter.Limiter
	// Rationer refuses what can't be served in time; if it is nil, nothing is refused for that.
	Rationer *rationer.Rationer
	// Evacuator says to which zones nothing is sent; if it is nil, none is evacuated.
	Evacuator *evacuator.Evacuator
	// Answers is the memory in which more than a small part of an answer is buffered; nil means without bound.
	Answers *reserver.Reserver
	Clock   timer.Service
	Zone    identifier.Zone
	Region  identifier.Region
}

// Forwarder forwards requests from callers to targets. It has no state of its own but how the process stops.
type Forwarder struct {
	Dependencies
	stopping atomic.Pointer[stopPlan]
	// questions are those for the starts of targets that are under way.
	questions singleflight.Group
}

// NewForwarder returns a Forwarder with the given dependencies.
func NewForwarder(d Dependencies) *Forwarder {
	if d.Observer == nil {
		d.Observer = isolator.NewObserver()
	}
	if d.Origins == nil {
		d.Origins = noOrigins{}
	}
	return &Forwarder{Dependencies: d}
}

// exchange is the state of one request that is being forwarded. Only one goroutine uses it.
type exchange struct {
	*Forwarder
	request  Request
	route    navigator.Route
	service  identifier.Service
	team     identifier.Team
	priority int
	deadline time.Duration
	// targetDeadline is the time at which targets stop working on the request.
	targetDeadline time.Duration
	result         Result
	// release is the software version of the targets that may answer; any may while it is empty.
	release identifier.Release
	// continues is set once the caller has an event of the stream, and recorded is the release that was recorded to begin it.
	continues    bool
	recorded     identifier.Release
	triedTargets []identifier.Target
	// staleAttempts is the number of attempts that met a closed connection and were repeated at the same target.
	staleAttempts int
	// excludedAttempts is the number of attempts whose target was excluded before anything was sent. They count for nothing.
	excludedAttempts int
	counted          bool
	confinement      confinement

	computedFingerprint isolator.Fingerprint
}

// sender is what a request is known by: the plan, its route there, and the priority of its caller.
type sender struct {
	plan     navigator.Plan
	route    navigator.Route
	priority int
}

// Known reports whether a request has a plan, a route and a valid key. If not, the result says why it is refused. The body of the
// request is not needed.
func (f *Forwarder) Known(q Request) (Result, bool) {
	result, _, ok := f.identify(q)
	return result, ok
}

// identify finds the route and the team of a request.
func (f *Forwarder) identify(q Request) (Result, sender, bool) {
	plan := f.Navigator.Current()
	result := Result{Revision: plan.Revision()}
	if plan.Revision() == 0 {
		return result.notRun(NoPlan), sender{}, false
	}
	route, ok := plan.Route(q.Host, q.Path)
	if !ok {
		result.Outcome = NoRoute
		return result, sender{}, false
	}
	result.Route, result.Kind = route.Name, route.Kind
	priority := route.Priority
	if !q.Internal && !route.Public {
		team, ok := plan.TeamByKey(q.Key)
		if !ok {
			result.Outcome = BadKey
			return result, sender{}, false
		}
		result.Team = team.Name
		if team.HasPriority {
			priority = team.Priority
		}
	}
	return result, sender{plan: plan, route: route, priority: priority}, true
}

// Forward sends a request to targets and writes a target's answer to sink. If no target answered, nothing is written,
// and the answer to the caller has to be derived from the result.
func (f *Forwarder) Forward(ctx context.Context, q Request, sink Sink) Result {
	result, from, ok := f.identify(q)
	if !ok {
		return result
	}
	route := from.route
	service, ok := route.PickService()
	if !ok {
		return result.notRun(NoTarget)
	}
	now := f.Clock.Monotonic()
	x := &exchange{
		Forwarder: f, request: q, route: route, service: service, team: result.Team, priority: from.priority,
		deadline: now + requestTimeout(q, route), result: result, confinement: newConfinement(from.plan, q, result.Team, f.Region),
	}
	x.targetDeadline = x.deadline
	if q.TargetTimeout > 0 {
		x.targetDeadline = now + q.TargetTimeout
	}
	if x.deadline <= now {
		return result.notRun(Expired)
	}
	if !q.Internal && f.refusesLate(now, x.deadline) {
		x.result = result.notRun(Stopping)
		x.result.RetryAfter = 0 // other entries take it at once
		return x.result
	}
	if left, held := x.heldBack(); held {
		x.result = result.notRun(Suspect)
		x.result.RetryAfter, x.result.Fingerprint = left, x.fingerprint()
		return x.result
	}
	return x.forwardAdmitted(ctx, sink, now)
}

func (r Result) notRun(reason Reason) Result {
	r.Outcome, r.Reason, r.RetryAfter = NotRun, reason, refusedRetryAfter
	return r
}

// requestTimeout returns what is left of the shorter of the timeouts of the caller and the route.
func requestTimeout(q Request, r navigator.Route) time.Duration {
	limit := defaultTimeout
	if r.Timeout > 0 {
		limit = r.Timeout
	}
	if q.CallerTimeout > 0 {
		limit = min(limit, q.CallerTimeout)
	}
	return limit - q.Elapsed
}

// maxPermitWait bounds the wait of a request for a permit where its route has no latency goal.
const maxPermitWait = 100 * time.Millisecond

// permitWaitDivisor divides the latency goal of a route into the time that a request waits for a permit.
const permitWaitDivisor = 4

// awaitTarget chooses the target of the next attempt, and waits a short while for one that takes the request by its rate.
func (x *exchange) awaitTarget(ctx context.Context) (router.Target, bool) {
	target, ok := x.chooseTarget()
	if ok || x.result.Reason == Suspect || !x.attemptsLeft() {
		return target, ok
	}
	limit := maxPermitWait
	if x.route.LatencyGoal > 0 {
		limit = x.route.LatencyGoal / permitWaitDivisor
	}
	if !x.Limiter.Await(ctx, x.service, x.unawaited(), min(limit, x.deadline-x.Clock.Monotonic())) {
		return target, false
	}
	return x.chooseTarget()
}

// attemptsLeft reports whether the route allows another target. A repeat at the same target counts as an attempt.
func (x *exchange) attemptsLeft() bool {
	return len(x.triedTargets)+x.staleAttempts-x.excludedAttempts < max(x.route.MaxAttempts, 1)
}

// chooseTarget chooses the target of the next attempt. Suspended targets are used only if there is no other. It chooses
// none for a request that is held back by now.
func (x *exchange) chooseTarget() (router.Target, bool) {
	if !x.attemptsLeft() {
		return router.Target{}, false
	}
	if _, held := x.heldBack(); held {
		x.result.Reason = Suspect
		return router.Target{}, false
	}
	requirements := router.Requirements{Service: x.service, Zone: x.Zone, Region: x.Region, Release: x.release, Regions: x.scope().Regions}
	requirements.Work = x.expectedWork()
	requirements.Avoid = append(x.Registrar.TargetsToAvoid(x.service, "", 0, x.Clock.Monotonic()), x.triedTargets...)
	target, ok := x.Limiter.Choose(x.Router, requirements)
	if !ok {
		requirements.Avoid = x.triedTargets
		target, ok = x.Limiter.Choose(x.Router, requirements)
	}
	if ok {
		x.triedTargets = append(x.triedTargets, target.ID)
	}
	return target, ok
}

func (x *exchange) newCall(t router.Target) Call {
	return Call{Request: x.request, Target: t, Team: x.team, Timeout: x.targetDeadline - x.Clock.Monotonic(), Priority: x.priority, Gate: x}
}

// countRequest counts the request for its team; repeated calls have no effect.
func (x *exchange) countRequest(at time.Time) {
	if x.counted || x.team == "" {
		return
	}
	x.counted = true
	x.Counter.Count(x.team, at)
}

// recordStale adds an attempt that met a closed connection to the result. It says nothing about its target.
func (x *exchange) recordStale(t identifier.Target) {
	x.staleAttempts++
	x.result.Attempts = append(x.result.Attempts, Attempt{Target: t, Fault: Stale})
}

// recordAttempt adds an ended attempt to the result, updates the state of its target in the registrar and keeps what it
// says about crashes. An attempt that ended because its caller left says nothing about its target.
func (x *exchange) recordAttempt(ctx context.Context, s sentAttempt, a Attempt) {
	x.observe(ctx, s, a)
	abandoned := a.Fault != NoFault && callerLeft(ctx)
	if abandoned {
		a.Fault = Pending
	}
	x.result.Attempts = append(x.result.Attempts, a)
	if a.Fault == Broken {
		x.result.Fingerprint = x.fingerprint()
	}
	x.observeCost(s.target, a)
	now := x.Clock.Monotonic()
	switch {
	case abandoned:
	case a.Fault == Excluded:
		x.excludedAttempts++
	case a.Fault != NoFault:
		x.Registrar.RecordFailure(a.Target, now)
	case a.NotRun:
		x.Registrar.Suspend(a.Target, now+refusedRetryAfter)
	case a.Status < 500:
		x.Registrar.RecordSuccess(a.Target)
	}
}

// callerLeft reports whether the context of a request ended because its caller left, and not because its time was up.
func callerLeft(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// failureResult returns the result of a request that has no attempts left and no answer.
func (x *exchange) failureResult() Result {
	r := x.result
	if r.mayHaveRun() {
		r.Outcome = Unknown
		return r
	}
	reason := NoTarget
	for _, a := range r.Attempts {
		if a.NotRun {
			return r.notRun(TargetsRefused)
		}
		if a.Fault != Excluded {
			reason = TargetsUnreachable
		}
	}
	r = r.notRun(reason)
	if reason == NoTarget && x.unserved() {
		r.Reason, r.RetryAfter = Confined, confinedRetryAfter
		return r
	}
	if wait := x.Limiter.RetryAfter(x.service); wait > r.RetryAfter {
		r.Reason, r.RetryAfter = TargetsLimited, wait
	}
	return r
}
