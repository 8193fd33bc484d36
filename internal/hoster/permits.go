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
		return s.allotter.Allot(q, s.clock.Monotonic()), true
	}
	return s.client.Allot(ctx, p.Address, q)
}

// Processes returns the number of registered entries.
func (s permitSource) Processes() int { return len(s.conductor.OtherMembers()) + 1 }

// AllotToPeer answers an ask of another entry. The second result is false if this entry is not responsible for the target as
// far as it knows: two entries that allot permits for one target would allot twice its rate.
func (s permitSource) AllotToPeer(q limiter.Ask) (limiter.Grant, bool) {
	p, ok := s.conductor.ResponsibleFor(permitKey + string(q.Target))
	if !ok || p.Owner != s.owner() {
		return limiter.Grant{}, false
	}
	return s.allotter.Allot(q, s.clock.Monotonic()), true
}
