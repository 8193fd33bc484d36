package admitter

import (
	"math"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// DefaultShareTTL is the lifetime of a share. It covers two renewal periods, so that one lost message costs nothing,
// and the share of a crashed entry soon becomes available again.
const DefaultShareTTL = 2 * time.Second

// Allocator divides the limits of accounts among entries by their demand. It stores nothing durably: a new Allocator
// grants nothing until every share that an earlier one may have granted has expired.
//
// Invariant: the unexpired shares of an account never add up to more than its limit. Lock rank: container.RankAdmitter.
type Allocator struct {
	lock       container.Lock[container.Admitter]
	shareTTL   time.Duration
	grantsFrom time.Duration
	accounts   map[Account]map[identifier.Node]holding
}

// holding is the demand of one entry and the grants to it. Every unexpired grant counts, because an entry whose answer
// was lost continues to use the previous grant.
type holding struct {
	demand      float64
	grants      []grant
	lastRequest time.Duration
}

// grant is one granted share with its expiry time at the Allocator.
type grant struct {
	fraction float64
	slots    int
	expires  time.Duration
}

// reserved returns the largest fraction and the largest number of slots of the unexpired grants.
func (h holding) reserved(now time.Duration) grant {
	var r grant
	for _, g := range h.grants {
		if now < g.expires {
			r.fraction, r.slots = max(r.fraction, g.fraction), max(r.slots, g.slots)
		}
	}
	return r
}

// withGrant returns a copy of h with g added and expired grants removed.
func (h holding) withGrant(g grant, now time.Duration) holding {
	kept := make([]grant, 0, len(h.grants)+1)
	for _, old := range h.grants {
		if now < old.expires {
			kept = append(kept, old)
		}
	}
	kept = append(kept, g)
	h.grants = kept
	return h
}

// NewAllocator returns an Allocator that makes its first grants shareTTL after now.
func NewAllocator(now, shareTTL time.Duration) *Allocator {
	return &Allocator{shareTTL: shareTTL, grantsFrom: now + shareTTL, accounts: make(map[Account]map[identifier.Node]holding)}
}

// Allocate records the demands of an entry and renews its shares accordingly. Until grantsFrom, it only records the
// demands.
func (a *Allocator) Allocate(entry identifier.Node, demands []Demand, now time.Duration) []Share {
	a.lock.Lock()
	defer a.lock.Unlock()
	shares := make([]Share, 0, len(demands))
	for _, d := range demands {
		holdings := a.holdings(d.Account)
		own := holdings[entry]
		own.demand, own.lastRequest = d.Rate+float64(d.Running), now
		holdings[entry] = own
		if now < a.grantsFrom {
			continue
		}
		g := newGrant(holdings, entry, d, now)
		g.expires = now + a.shareTTL
		holdings[entry] = own.withGrant(g, now)
		shares = append(shares, Share{Account: d.Account, Fraction: g.fraction, Slots: g.slots, TTL: a.shareTTL})
	}
	a.pruneIdle(now)
	return shares
}

// newGrant returns the entry's part of the limits in proportion to its demand, at most what the grants to other entries
// leave.
func newGrant(holdings map[identifier.Node]holding, entry identifier.Node, d Demand, now time.Duration) grant {
	total, grantedFraction, grantedSlots := 0.0, 0.0, 0
	for node, other := range holdings {
		total += other.demand
		if node != entry {
			r := other.reserved(now)
			grantedFraction += r.fraction
			grantedSlots += r.slots
		}
	}
	part := 1 / float64(len(holdings))
	if total > 0 {
		// Half of the limit is split evenly, so that an entry without previous demand can admit its first requests.
		part = (part + holdings[entry].demand/total) / 2
	}
	return grant{
		fraction: math.Max(0, math.Min(part, 1-grantedFraction)),
		slots:    max(0, min(int(math.Ceil(part*float64(d.Slots))), d.Slots-grantedSlots)),
	}
}

// pruneIdle removes entries that have not called for longer than shareTTL.
func (a *Allocator) pruneIdle(now time.Duration) {
	for account, holdings := range a.accounts {
		for node, h := range holdings {
			if now > h.lastRequest+a.shareTTL {
				delete(holdings, node)
			}
		}
		if len(holdings) == 0 {
			delete(a.accounts, account)
		}
	}
}

func (a *Allocator) holdings(name Account) map[identifier.Node]holding {
	holdings, ok := a.accounts[name]
	if !ok {
		holdings = make(map[identifier.Node]holding)
		a.accounts[name] = holdings
	}
	return holdings
}
