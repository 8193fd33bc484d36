package hoster

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/limiter"
)

// permitKey precedes the target in the key by which the process responsible for a limited target is chosen.
const permitKey = "permits/"

// permitSource is the limiter.Source of an entry: for each target, the entry that allots its permits.
type permitSource struct{ *Entry }

// Allot asks the entry that is responsible for the target, which may be this one.
func (s permitSource) Allot(ctx context.Context, q limiter.Ask) (limiter.Grant, bool) {
	p, ok := s.conductor.ResponsibleFor(permitKey + string(q.Target))
	if !ok {
		return limiter.Grant{}, false
	}
	if p.Owner == s.owner() {
		return s.allotOwn(q)
	}
	s.allotter.Withdraw(q.Target)
	return s.client.Allot(ctx, p.Address, q)
}

// Processes returns the number of registered entries.
func (s permitSource) Processes() int { return len(s.conductor.OtherMembers()) + 1 }

// AllotToPeer answers an ask of another entry. The second result is false if this entry is not responsible for the target as
// far as it knows: two entries that allot permits for one target would allot twice its rate.
func (s permitSource) AllotToPeer(q limiter.Ask) (limiter.Grant, bool) {
	p, ok := s.conductor.ResponsibleFor(permitKey + string(q.Target))
	if !ok || p.Owner != s.owner() {
		s.allotter.Withdraw(q.Target)
		return limiter.Grant{}, false
	}
	return s.allotOwn(q)
}

// allotOwn answers an ask for a target that this entry is responsible for as far as it knows. While it does not reach the key-value
// service, others may know of an entry that it does not know; for a cold target it then leaves the askers to their fallback.
func (s permitSource) allotOwn(q limiter.Ask) (limiter.Grant, bool) {
	if q.Cold && !s.presence.reachedJustNow() {
		s.allotter.Withdraw(q.Target)
		return limiter.Grant{}, false
	}
	return s.allotter.Allot(q, s.clock.Monotonic()), true
}
