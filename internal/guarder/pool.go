package guarder

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// poolID names what is bounded.
type poolID int

const (
	connectionPool poolID = iota
	memoryPool
	poolCount
)

// claim is a wait for a part of a pool.
type claim struct {
	account *Account
	pool    poolID
	amount  identifier.Bytes
	since   int64
	decided chan bool
	closed  bool
}

// decide ends the wait.
func (c *claim) decide(granted bool) {
	if c.closed {
		return
	}
	c.closed = true
	c.account.waiting = nil
	c.decided <- granted
}

// pool is an amount of connections or bytes. The lock of the Guarder guards it.
type pool struct {
	capacity, used identifier.Bytes
	// leaving is the part of used that accounts return that are being closed.
	leaving identifier.Bytes
	claims  container.Queue[*claim]
	// late are the accounts that may be closed, the latest last, as they were at rankedAt.
	late     []rankedAccount
	rankedAt int64
}

// fits reports whether n is free. A single claim for more than the capacity is let through when there is nothing else.
func (p *pool) fits(n identifier.Bytes) bool { return p.used+n <= p.capacity || p.used == 0 }

// take gives n to an account, or takes it back if that is negative.
func (p *pool) take(a *Account, id poolID, n identifier.Bytes) {
	p.used += n
	a.shares[id] += n
	if a.leaving {
		p.leaving += n
	}
}

// expire ends the waits that began before a time and returns their number.
func (p *pool) expire(before int64) (expired int64) {
	for {
		c, ok := p.claims.Peek()
		if !ok || !c.closed && c.since > before {
			return expired
		}
		if p.claims.Pop(); !c.closed {
			c.decide(false)
			expired++
		}
	}
}

// rankedAccount is an account that may be closed.
type rankedAccount struct {
	account *Account
	late    int64
	// share is set if it may be closed only because its client takes more than half.
	share bool
}

// makeRoom returns accounts to be closed, so that the first claim of a pool fits once they are gone.
func (g *Guarder) makeRoom(id poolID) (cuts []*Account) {
	p := &g.pools[id]
	c, waits := p.claims.Peek()
	if !waits {
		return nil
	}
	if now := g.now(); now-p.rankedAt >= int64(shortPeriod/2) {
		p.late, p.rankedAt = g.rank(id, now), now
	}
	for i := len(p.late) - 1; i >= 0 && p.used-p.leaving+c.amount > p.capacity; i-- {
		r := p.late[i]
		if r.share && r.account.client == c.account.client {
			continue // would not give another client more
		}
		p.late = slices.Delete(p.late, i, i+1)
		if !r.account.leaving && r.account.shares[id] > 0 && g.mayCut(r) {
			g.markLeaving(r.account)
			cuts = append(cuts, r.account)
		}
	}
	return cuts
}

// mayCut reports whether an account is still late.
func (g *Guarder) mayCut(r rankedAccount) bool {
	c := r.account.candidate(g.now())
	c.OverShare = r.share
	_, ok := g.limits.Lateness.Decide(c)
	return ok
}

// rank returns the accounts that may be closed to make room in a pool, the latest last. Those that are late by themselves come
// after those whose client only takes more than half.
func (g *Guarder) rank(id poolID, now int64) []rankedAccount {
	byClient := make(map[string]identifier.Bytes)
	for a := range g.accounts {
		byClient[a.client] += a.shares[id]
	}
	var ranked []rankedAccount
	for a := range g.accounts {
		if a.leaving || a.shares[id] == 0 {
			continue
		}
		c := a.candidate(now)
		late, ok := g.limits.Lateness.Decide(c)
		r := rankedAccount{account: a, late: int64(late)}
		if !ok {
			c.OverShare = 2*byClient[a.client] > g.pools[id].capacity
			_, ok = g.limits.Lateness.Decide(c)
			r.share = true
		}
		if ok {
			ranked = append(ranked, r)
		}
	}
	slices.SortFunc(ranked, func(x, y rankedAccount) int {
		switch {
		case x.share != y.share && x.share:
			return -1
		case x.share != y.share:
			return 1
		case x.late < y.late:
			return -1
		case x.late > y.late:
			return 1
		}
		return 0
	})
	return ranked
}
