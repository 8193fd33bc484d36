// Package guarder bounds in total what clients make a process hold before their requests are known: connections, heads, small
// bodies and answers that are not read. While room is short, it closes first what makes no progress.
package guarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// sweepPeriod is the time between two searches for connections without progress. shortPeriod is the same while room is short.
	sweepPeriod = 2 * time.Second
	shortPeriod = 25 * time.Millisecond
	// maxWait bounds the wait for room. The client can go to another entry.
	maxWait = 4 * time.Second
)

// Guarder bounds connections and memory of the clients of some listeners.
//
// Invariants: the shares of all accounts add up to what the pools have used; what is reserved stays within the limits, except for
// one reservation that is larger than them and alone; an account that is being closed gets nothing more.
type Guarder struct {
	limits Limits
	clock  timer.Service
	log    *logger.Logger
	name   string
	start  time.Time
	// short wakes Run when somebody begins to wait.
	short chan struct{}
	// cuts and refusals count connections that were closed, and waits that ended without room. largeWaits is the number of
	// requests that wait for memory that is reserved elsewhere.
	cuts, refusals, largeWaits atomic.Int64

	lock     container.Lock[container.Guarder]
	accounts map[*Account]struct{}
	pools    [poolCount]pool
	stopped  bool
	// reported are the cuts and refusals that the log has.
	reported int64
}

// NewGuarder returns a Guarder with the given limits. The name of its listeners goes into events.
func NewGuarder(name string, l Limits, clock timer.Service, log *logger.Logger) *Guarder {
	g := &Guarder{limits: l, clock: clock, log: log, name: name, start: clock.Now().Add(-1), short: make(chan struct{}, 1)}
	g.accounts = make(map[*Account]struct{})
	g.pools[connectionPool].capacity = identifier.Bytes(l.Connections)
	g.pools[memoryPool].capacity = l.Memory
	return g
}

// now returns the time since the start, which is never zero.
func (g *Guarder) now() int64 { return int64(g.clock.Now().Sub(g.start)) }

// Open returns the account of a new connection from the address of a client. It waits until there is room, and returns false if
// there is none in time. Cut closes the connection; the holder of the account then calls its Close.
func (g *Guarder) Open(client string, cut func()) (*Account, bool) {
	a := &Account{guarder: g, client: client, cut: cut}
	a.Enter(Reading)
	g.lock.Lock()
	g.accounts[a] = struct{}{}
	g.lock.Unlock()
	if g.reserve(a, connectionPool, 1) {
		return a, true
	}
	g.remove(a)
	return nil, false
}

// reserve reserves n of a pool for an account.
func (g *Guarder) reserve(a *Account, p poolID, n identifier.Bytes) bool {
	g.lock.Lock()
	if a.leaving || g.stopped {
		g.lock.Unlock()
		return false
	}
	if pool := &g.pools[p]; pool.claims.Len() == 0 && pool.fits(n) {
		pool.take(a, p, n)
		g.lock.Unlock()
		return true
	}
	c := &claim{account: a, pool: p, amount: n, since: g.now(), decided: make(chan bool, 1)}
	a.waiting = c
	g.pools[p].claims.Push(c)
	cuts := g.settle()
	g.lock.Unlock()
	closeAll(cuts)
	select {
	case g.short <- struct{}{}:
	default:
	}
	return <-c.decided
}

// hold changes the memory that an account has.
func (g *Guarder) hold(a *Account, n identifier.Bytes) {
	g.lock.Lock()
	var cuts []*Account
	if _, open := g.accounts[a]; open {
		g.pools[memoryPool].take(a, memoryPool, n)
		if n < 0 {
			cuts = g.settle()
		}
	}
	g.lock.Unlock()
	closeAll(cuts)
}

// remove ends an account.
func (g *Guarder) remove(a *Account) {
	g.lock.Lock()
	if _, open := g.accounts[a]; !open {
		g.lock.Unlock()
		return
	}
	delete(g.accounts, a)
	for p := range g.pools {
		g.pools[p].take(a, poolID(p), -a.shares[p])
	}
	a.leaving = true
	a.deny()
	cuts := g.settle()
	g.lock.Unlock()
	closeAll(cuts)
}

// deny ends the wait of an account without room.
func (a *Account) deny() {
	if a.waiting != nil {
		a.waiting.decide(false)
	}
}

// settle gives room to those that wait, in their order, and returns connections to be closed because it is not enough.
func (g *Guarder) settle() (cuts []*Account) {
	for p := range g.pools {
		pool := &g.pools[p]
		for {
			c, ok := pool.claims.Peek()
			if ok && c.closed {
				pool.claims.Pop()
				continue
			}
			if !ok || !pool.fits(c.amount) {
				break
			}
			pool.claims.Pop()
			pool.take(c.account, c.pool, c.amount)
			c.decide(true)
		}
		cuts = append(cuts, g.makeRoom(poolID(p))...)
	}
	return cuts
}

// markLeaving marks accounts to be closed by the caller.
func (g *Guarder) markLeaving(a *Account) {
	a.leaving = true
	for p := range g.pools {
		g.pools[p].leaving += a.shares[p]
	}
	a.deny()
	g.cuts.Add(1)
}

func closeAll(accounts []*Account) {
	for _, a := range accounts {
		a.cut()
	}
}

// awaitLarge records that a request waits for memory that is reserved elsewhere, until the returned function is called. Requests
// that hold such memory and make no progress are closed meanwhile.
func (g *Guarder) awaitLarge() (done func()) {
	g.largeWaits.Add(1)
	select {
	case g.short <- struct{}{}:
	default:
	}
	return func() { g.largeWaits.Add(-1) }
}

// Tick closes connections that have made no progress for too long, and ends waits that took too long.
func (g *Guarder) Tick() {
	now := g.now()
	var cuts []*Account
	g.lock.Lock()
	for a := range g.accounts {
		if !a.leaving && g.overdue(a, now) {
			g.markLeaving(a)
			cuts = append(cuts, a)
		}
	}
	for p := range g.pools {
		g.refusals.Add(g.pools[p].expire(now - int64(maxWait)))
	}
	cuts = append(cuts, g.settle()...)
	g.lock.Unlock()
	closeAll(cuts)
}

// overdue reports whether an account has made no progress for too long.
func (g *Guarder) overdue(a *Account, now int64) bool {
	c := a.candidate(now)
	quiet := c.Blocked
	if c.Phase == Reading {
		quiet = max(quiet, c.Quiet)
	}
	if quiet >= g.limits.StallTime {
		return true
	}
	if !a.large.Load() || g.largeWaits.Load() == 0 {
		return false
	}
	_, late := g.limits.Lateness.Decide(c)
	return late
}

// Run ticks until ctx ends, and more often while somebody waits.
func (g *Guarder) Run(ctx context.Context) {
	sweep := g.clock.Every(sweepPeriod)
	defer sweep.Stop()
	defer g.stop()
	var soon timer.Subscription
	for {
		var fired <-chan time.Time
		if soon == nil && g.someoneWaits() {
			soon = g.clock.After(shortPeriod)
		}
		if soon != nil {
			fired = soon.C()
		}
		select {
		case <-sweep.C():
			g.report()
		case <-fired:
			soon = nil
		case <-g.short:
			continue // the tick follows after shortPeriod
		case <-ctx.Done():
			return
		}
		g.Tick()
	}
}

func (g *Guarder) someoneWaits() bool {
	if g.largeWaits.Load() > 0 {
		return true
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.pools[connectionPool].claims.Len()+g.pools[memoryPool].claims.Len() > 0
}

// stop ends all waits.
func (g *Guarder) stop() {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.stopped = true
	for a := range g.accounts {
		a.deny()
	}
}

// report logs that connections were closed or refused since the last call.
func (g *Guarder) report() {
	s := g.State()
	if n := s.Cut + s.Refused; n != g.reported && g.log != nil {
		g.log.Emit(logger.ClientsCut, "listener", g.name, "closed", s.Cut, "refused", s.Refused, "open", s.Connections, "bytes", int64(s.Held))
		g.reported = n
	}
}

// State is what a Guarder has counted.
type State struct {
	// Connections and Held are the open connections and the bytes that are held for them now.
	Connections int
	Held        identifier.Bytes
	// Cut and Refused count connections that were closed, and waits for room that ended without it.
	Cut, Refused int64
}

// State returns what the Guarder has counted.
func (g *Guarder) State() State {
	g.lock.Lock()
	defer g.lock.Unlock()
	return State{
		Connections: int(g.pools[connectionPool].used), Held: g.pools[memoryPool].used, Cut: g.cuts.Load(), Refused: g.refusals.Load(),
	}
}

// Plus returns the sum of s and other.
func (s State) Plus(other State) State {
	return State{
		Connections: s.Connections + other.Connections, Held: s.Held + other.Held, Cut: s.Cut + other.Cut, Refused: s.Refused + other.Refused,
	}
}
