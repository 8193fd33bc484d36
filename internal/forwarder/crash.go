package forwarder

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/router"
)

// sentAttempt is an attempt that was sent, as evidence of a crash needs it.
type sentAttempt struct {
	target router.Target
	at     time.Time
}

// evidence describes an attempt of the request. A request of mimosalb itself is never suspected: it belongs to an item,
// which is owed whatever became of the targets.
func (x *exchange) evidence(s sentAttempt) isolator.Attempt {
	a := isolator.Attempt{Target: s.target.ID, Incarnation: s.target.Incarnation, Service: s.target.Service, Sent: s.at}
	if !x.request.Internal {
		a.Suspect = x.fingerprint()
	}
	return a
}

// fingerprint returns the fingerprint of the request, computed at its first use.
func (x *exchange) fingerprint() isolator.Fingerprint {
	if x.computedFingerprint == (isolator.Fingerprint{}) {
		x.computedFingerprint = x.request.fingerprint(x.team)
	}
	return x.computedFingerprint
}

// observe passes the end of an attempt on as evidence of which requests crash targets. An attempt whose caller left says
// nothing by itself, as one whose time was up.
func (x *exchange) observe(ctx context.Context, s sentAttempt, a Attempt) {
	now := x.Clock.Now()
	switch {
	case a.Fault == Broken && ctx.Err() == nil:
		x.Observer.Broken(x.evidence(s), now)
	case a.Fault == Broken, a.Fault == Pending:
		x.Observer.Unanswered(x.evidence(s), now)
	case a.Fault == NoFault && !a.NotRun && !x.Observer.IsEmpty():
		x.Observer.Answered(x.evidence(s))
	}
}

// heldBack reports whether the request is held back because it crashes targets, and for how long.
func (x *exchange) heldBack() (time.Duration, bool) {
	if x.request.Internal || x.Observer.IsEmpty() {
		return 0, false
	}
	return x.Observer.HeldBack(x.fingerprint(), x.Clock.Now())
}

// suspected reports whether a target crashed under the request that was not answered since. It is then sent to one target
// at a time.
func (x *exchange) suspected() bool {
	return !x.request.Internal && !x.Observer.IsEmpty() && x.Observer.IsSuspected(x.fingerprint())
}
