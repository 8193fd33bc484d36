package admitter

import (
	"math"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// DefaultShareTime is how long a share lasts: two periods, so that one lost message costs nothing and the share of an
// entry that died returns soon.
const DefaultShareTime = 2 * time.Second

// Lender lends the limits of accounts to entries by their demand. It keeps nothing: a new lender waits until every
// share that an earlier one may have lent has expired.
//
// Invariant: the unexpired shares of an account never add up to more than its limit. Lock rank: container.RankAdmitter.
type Lender struct {
	lock     container.Lock[container.Admitter]
	time     time.Duration
	opens    time.Duration
	accounts map[Account]map[identifier.Node]loan
}

// loan is what one entry has asked and got. Every unexpired grant counts: an entry whose answer was lost goes on with the
// grant before.
type loan struct {
	demand float64
	grants []grant
	seen   time.Duration
}

// grant is one lent share with the lender's time of its expiry.
type grant struct {
	fraction float64
	slots    int
	expires  time.Duration
}

// reserved returns the largest unexpired grant in each respect.
func (l loan) reserved(now time.Duration) grant {
	var r grant
	for _, g := range l.grants {
		if now < g.expires {
			r.fraction, r.slots = max(r.fraction, g.fraction), max(r.slots, g.slots)
		}
	}
	return r
}

// withGrant returns a copy of l with one more grant and without expired ones.
func (l loan) withGrant(g grant, now time.Duration) loan {
	kept := make([]grant, 0, len(l.grants)+1)
	for _, old := range l.grants {
		if now < old.expires {
			kept = append(kept, old)
		}
	}
	kept = append(kept, g)
	l.grants = kept
	return l
}

// NewLender returns a lender that lends from one share time after now.
func NewLender(now, shareTime time.Duration) *Lender {
	return &Lender{time: shareTime, opens: now + shareTime, accounts: make(map[Account]map[identifier.Node]loan)}
}

// Lend renews the shares of an entry by its present demand. Before the lender opens it records the demand only.
func (l *Lender) Lend(borrower identifier.Node, demands []Demand, now time.Duration) []Share {
	l.lock.Lock()
	defer l.lock.Unlock()
	shares := make([]Share, 0, len(demands))
	for _, d := range demands {
		loans := l.loans(d.Account)
		mine := loans[borrower]
		mine.demand, mine.seen = d.Rate+float64(d.Running), now
		loans[borrower] = mine
		if now < l.opens {
			continue
		}
		g := offer(loans, borrower, d, now)
		g.expires = now + l.time
		loans[borrower] = mine.withGrant(g, now)
		shares = append(shares, Share{Account: d.Account, Fraction: g.fraction, Slots: g.slots, For: l.time})
	}
	l.drop(now)
	return shares
}

// offer returns the borrower's part by demand, and no more than the others' grants leave.
func offer(loans map[identifier.Node]loan, borrower identifier.Node, d Demand, now time.Duration) grant {
	total, lentFraction, lentSlots := 0.0, 0.0, 0
	for node, other := range loans {
		total += other.demand
		if node != borrower {
			r := other.reserved(now)
			lentFraction += r.fraction
			lentSlots += r.slots
		}
	}
	part := 1 / float64(len(loans))
	if total > 0 {
		// Half is split evenly, so that an entry whose demand begins has something to begin with.
		part = (part + loans[borrower].demand/total) / 2
	}
	return grant{
		fraction: math.Max(0, math.Min(part, 1-lentFraction)),
		slots:    max(0, min(int(math.Ceil(part*float64(d.Slots))), d.Slots-lentSlots)),
	}
}

// drop forgets entries whose shares expired a while ago.
func (l *Lender) drop(now time.Duration) {
	for account, loans := range l.accounts {
		for node, loan := range loans {
			if now > loan.seen+l.time {
				delete(loans, node)
			}
		}
		if len(loans) == 0 {
			delete(l.accounts, account)
		}
	}
}

func (l *Lender) loans(a Account) map[identifier.Node]loan {
	loans, ok := l.accounts[a]
	if !ok {
		loans = make(map[identifier.Node]loan)
		l.accounts[a] = loans
	}
	return loans
}
