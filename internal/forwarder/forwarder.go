package forwarder

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// hedgeShare is the part of a route's goal after which a repeatable request without an answer is sent to a second
	// target as well.
	hedgeShare = 0.6
	// leastHedge bounds the wait from below for routes without a goal.
	leastHedge = 50 * time.Millisecond
	// comeBack is when the caller of a refused request should come back: a target's queue has moved on by then.
	comeBack = 150 * time.Millisecond
	// defaultTimeout bounds a request whose route and caller set no bound.
	defaultTimeout = 30 * time.Second
	// bufferLimit is the size up to which an answer is read whole before the caller gets any of it, so that a broken
	// one can be made again.
	bufferLimit = 256 << 10
)

// RequestCounter counts the requests that began to run.
type RequestCounter interface {
	Count(team identifier.Team, at time.Time)
}

// Sink takes an answer for the caller.
type Sink interface {
	// Begin sends the head. Length is -1 if it is not known.
	Begin(status int, header map[string][]string, length int64)
	// Write sends a part of the body at once.
	Write(p []byte) error
}

// Parts are what a Forwarder works with.
type Parts struct {
	Navigator *navigator.Navigator
	Registrar *registrar.Registrar
	Router    *router.Router
	Caller    Caller
	Opener    Opener
	Counter   RequestCounter
	Clock     timer.Service
	Zone      identifier.Zone
	Region    identifier.Region
}

// Forwarder leads requests from the caller to targets. It has no state of its own but its suspects.
type Forwarder struct {
	Parts
	suspects suspects
}

// NewForwarder returns a Forwarder over the given parts.
func NewForwarder(p Parts) *Forwarder { return &Forwarder{Parts: p} }

// lead is one request on its way. One goroutine uses it.
type lead struct {
	*Forwarder
	request  Request
	route    navigator.Route
	service  identifier.Service
	team     identifier.Team
	urgency  int
	deadline time.Duration
	result   Result
	tried    []identifier.Target
	counted  bool
}

// Forward leads a request to its end and gives the answer to sink. Whatever did not come from a target is left to the
// caller of Forward, by the result.
func (f *Forwarder) Forward(ctx context.Context, q Request, sink Sink) Result {
	plan := f.Navigator.Current()
	result := Result{Revision: plan.Revision()}
	if plan.Revision() == 0 {
		return result.refused(NoPlan)
	}
	route, ok := plan.Route(q.Host, q.Path)
	if !ok {
		result.Outcome = NoRoute
		return result
	}
	result.Route, result.Kind = route.Name, route.Kind
	urgency := route.Priority
	if !q.Internal && !route.Public {
		team, ok := plan.TeamByKey(q.Key)
		if !ok {
			result.Outcome = BadKey
			return result
		}
		result.Team = team.Name
		if team.HasPriority {
			urgency = team.Priority
		}
	}
	service, ok := route.PickService()
	if !ok {
		return result.refused(NoTarget)
	}
	if f.suspects.held(q, f.Clock.Boot()) {
		result.Outcome, result.Reason = Unknown, Suspect
		return result
	}
	l := &lead{
		Forwarder: f, request: q, route: route, service: service, team: result.Team, urgency: urgency,
		deadline: f.Clock.Boot() + patience(q, route), result: result,
	}
	if route.Kind == navigator.Stream {
		return l.stream(ctx, sink)
	}
	return l.answer(ctx, sink)
}

func (r Result) refused(why Reason) Result {
	r.Outcome, r.Reason, r.RetryAfter = NotRun, why, comeBack
	return r
}

// patience returns how long a request may take: the shorter of what its caller and its route allow.
func patience(q Request, r navigator.Route) time.Duration {
	limit := defaultTimeout
	if r.Timeout > 0 {
		limit = r.Timeout
	}
	if q.CallerTimeout > 0 {
		limit = min(limit, q.CallerTimeout)
	}
	return limit
}

// choose picks the target of the next attempt. Suspended targets are taken when there is no other.
func (l *lead) choose() (router.Target, bool) {
	if len(l.tried) >= max(l.route.MaxAttempts, 1) {
		return router.Target{}, false
	}
	need := router.Requirements{Service: l.service, Zone: l.Zone, Region: l.Region}
	need.Avoid = append(l.Registrar.TargetsToAvoid(l.service, "", 0, l.Clock.Boot()), l.tried...)
	target, ok := l.Router.Choose(need)
	if !ok {
		need.Avoid = l.tried
		target, ok = l.Router.Choose(need)
	}
	if ok {
		l.tried = append(l.tried, target.ID)
	}
	return target, ok
}

func (l *lead) call(t router.Target) Call {
	return Call{Request: l.request, Target: t, Team: l.team, Timeout: l.deadline - l.Clock.Boot(), Priority: l.urgency}
}

// count counts the request for its team, once.
func (l *lead) count(at time.Time) {
	if l.counted || l.team == "" {
		return
	}
	l.counted = true
	l.Counter.Count(l.team, at)
}

// note records how an attempt ended and what that says of its target.
func (l *lead) note(t Attempt) {
	l.result.Attempts = append(l.result.Attempts, t)
	now := l.Clock.Boot()
	switch {
	case t.Fault != NoFault:
		l.Registrar.RecordFailure(t.Target, now)
	case t.NotRun:
		l.Registrar.Suspend(t.Target, now+comeBack)
	case t.Status < 500:
		l.Registrar.RecordSuccess(t.Target)
	}
}

// failed returns the result of a request whose attempts are used up without an answer.
func (l *lead) failed() Result {
	r := l.result
	if r.mayRun() {
		r.Outcome = Unknown
		return r
	}
	why := NoTarget
	for _, t := range r.Attempts {
		why = Down
		if t.NotRun {
			return r.refused(Full)
		}
	}
	return r.refused(why)
}
