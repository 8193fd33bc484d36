package forwarder

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/rationer"
)

// forwardAdmitted forwards a request that can be served in its time, and refuses any other one at once: no target has seen it.
func (x *exchange) forwardAdmitted(ctx context.Context, sink Sink, now time.Duration) Result {
	ticket, verdict, retryAfter := x.Rationer.Admit(rationer.Arrival{
		Service: x.service, Team: x.team, Internal: x.request.Internal, Slots: x.Router.View().Slots(x.service), Running: x.Router.InFlight(x.service),
		Left: x.deadline - now, Goal: x.route.LatencyGoal,
	})
	switch verdict {
	case rationer.TooLate:
		x.result = x.result.notRun(NoRoom)
	case rationer.OverShare:
		x.result = x.result.notRun(OverShare)
	default:
		var r Result
		defer func() { ticket.End(r.Outcome == Answered && len(r.Attempts) == 1 && r.Status < statusFailed) }()
		if x.route.Kind == navigator.Stream {
			r = x.forwardStream(ctx, sink)
		} else {
			r = x.forwardUnary(ctx, sink)
		}
		return r
	}
	x.result.RetryAfter = retryAfter
	return x.result
}
