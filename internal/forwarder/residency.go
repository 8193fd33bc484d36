package forwarder

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/router"
)

// confinedRetryAfter is the retry delay given to the caller of a request whose regions have no target. Another target there is listed only
// after an operator or a start, which take longer than the queue of a target that refused.
const confinedRetryAfter = time.Second

// confinement is where a request may be sent. It holds the regions of the configuration that accepted the request, and those that the
// configuration of a revision allows as well.
type confinement struct {
	// team is the one whose regions apply. On a public route it is that of the caller's key, if the caller sent one.
	team identifier.Team
	// accepted is the scope under the configuration of acceptedBy.
	accepted   confiner.Scope
	acceptedBy identifier.Revision
	now        confiner.Scope
	revision   identifier.Revision
}

// newConfinement returns the confinement of a request under the plan that accepts it.
func newConfinement(p navigator.Plan, q Request, team identifier.Team, home identifier.Region) confinement {
	if team == "" && q.Key != "" {
		caller, _ := p.TeamByKey(q.Key)
		team = caller.Name
	}
	accepted := confiner.NewScope(home, p.Regions(q.Host, q.Path, team)).With(q.Regions)
	return confinement{team: team, accepted: accepted, acceptedBy: p.Revision(), now: accepted, revision: p.Revision()}
}

// scope returns where the request may be sent now: where both the configuration that accepted it and the present one allow.
func (x *exchange) scope() confiner.Scope {
	c := &x.confinement
	if plan := x.Navigator.Current(); plan.Revision() != c.revision {
		c.now, c.revision = c.accepted.With(plan.Regions(x.request.Host, x.request.Path, c.team)), plan.Revision()
	}
	return c.now
}

// mayReach reports whether the request may be sent to a target now. A configuration may have been adopted since the target was chosen.
func (x *exchange) mayReach(t router.Target) bool { return x.scope().AllowsTarget(t.Region) }

// MaySend reports whether an attempt that was chosen earlier may still be sent to a target of a zone and region. It is called by the
// goroutines of attempts, and uses only what does not change.
func (x *exchange) MaySend(zone identifier.Zone, region identifier.Region) bool {
	if x.Evacuator.Evacuated(zone) {
		return false
	}
	c, plan := &x.confinement, x.Navigator.Current()
	if plan.Revision() == c.acceptedBy {
		return true
	}
	return c.accepted.With(plan.Regions(x.request.Host, x.request.Path, c.team)).AllowsTarget(region)
}

// unserved reports whether no target of the service is in the regions of the request.
func (x *exchange) unserved() bool {
	scope := x.scope()
	return scope.Restricted() && !x.Router.View().ServesIn(x.service, scope.Regions)
}

// unawaited returns the targets for which a request does not wait: those that it was sent to, and those outside of its regions.
func (x *exchange) unawaited() []identifier.Target {
	scope := x.scope()
	if !scope.Restricted() {
		return x.triedTargets
	}
	return append(slices.Clone(x.triedTargets), x.Router.View().Outside(x.service, scope.Regions)...)
}
