package forwarder

import (
	"context"
	"slices"

	"github.com/mimosalb/mimosalb/internal/attributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Continuation says that a request goes on with a stream of which the caller has a part.
type Continuation struct {
	Set bool
	// Of is the attempt of the caller that brought the first event; it is empty if the caller does not name it.
	Of identifier.Request
}

// Origins keeps which service and software version began each stream.
type Origins interface {
	// Record keeps the origin of a stream that is about to begin. RecordDurably returns once that is stored, or false.
	Record(team identifier.Team, id identifier.Request, o attributor.Origin)
	RecordDurably(ctx context.Context, team identifier.Team, id identifier.Request, o attributor.Origin) bool
	// Lookup returns the origin of the stream that an attempt of a team's caller began. It is false if that is not certain.
	Lookup(ctx context.Context, team identifier.Team, id identifier.Request) (attributor.Origin, bool)
}

// bindStream restricts a request that continues a stream to the service and the release that began it. It returns the reason
// why the request has to be refused, or an empty one.
func (x *exchange) bindStream(ctx context.Context) Reason {
	if !x.route.Resumable || !x.request.Continuation.Set {
		return ""
	}
	origin, ok := x.Origins.Lookup(ctx, x.team, x.request.Continuation.Of)
	if !ok {
		return OriginUnknown
	}
	x.result.Release = origin.Release
	routed := slices.ContainsFunc(x.route.Shares, func(s navigator.Share) bool { return s.Service == origin.Service })
	if !routed || !x.Router.View().Serves(origin.Service, origin.Release) {
		return OriginGone
	}
	x.service, x.release, x.continues = origin.Service, origin.Release, true
	return ""
}

// awaitStreamTarget chooses the target of the next attempt of a stream. That of a resumable one has to confirm its start.
func (x *exchange) awaitStreamTarget(ctx context.Context) (router.Target, bool) {
	for {
		target, ok := x.awaitTarget(ctx)
		if !ok || !x.route.Resumable {
			return target, ok
		}
		confirmed := x.ConfirmStart(ctx, target, x.continues)
		if confirmed && x.mayReach(target) {
			return target, true
		}
		x.endAttempt(target)
		switch {
		case ctx.Err() != nil:
			return target, false
		case confirmed:
			// Another configuration was adopted during the question. The target got no attempt.
			x.triedTargets = x.triedTargets[:len(x.triedTargets)-1]
		default:
			x.Registrar.RecordFailure(target.ID, x.Clock.Monotonic())
		}
	}
}

// recordOrigin keeps what begins the stream, before the caller gets an event of it. Where another release began an answer
// without an event, it returns once the new one is stored: the caller could else be given events of both.
func (x *exchange) recordOrigin(ctx context.Context, t router.Target) bool {
	before := x.recorded
	if !x.route.Resumable || x.continues || before == t.Release {
		return true
	}
	x.recorded = t.Release
	origin := attributor.Origin{Service: x.service, Release: t.Release}
	if before != "" {
		return x.Origins.RecordDurably(ctx, x.team, x.request.ID, origin)
	}
	x.Origins.Record(x.team, x.request.ID, origin)
	return true
}

// continueWith restricts the further attempts to the release of the target whose events the caller has.
func (x *exchange) continueWith(t router.Target) {
	if !x.continues {
		x.release, x.continues = t.Release, true
	}
}

// noOrigins is an Origins that keeps nothing, so that no stream is continued by a new request.
type noOrigins struct{}

func (noOrigins) Record(identifier.Team, identifier.Request, attributor.Origin) {}

func (noOrigins) RecordDurably(context.Context, identifier.Team, identifier.Request, attributor.Origin) bool {
	return true
}

func (noOrigins) Lookup(context.Context, identifier.Team, identifier.Request) (attributor.Origin, bool) {
	return attributor.Origin{}, false
}
