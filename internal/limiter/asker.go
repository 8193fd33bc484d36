package limiter

import (
	"context"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

const (
	// askTimeout bounds one ask.
	askTimeout = 300 * time.Millisecond
	// askWorkers is the number of asks that run at a time, and askQueue the number that wait.
	askWorkers = 8
	askQueue   = 64
	// maxDemand is the number of permits that are asked for at a time for one service.
	maxDemand = 32
	// idleWait is the longest pause of Run while some work waits.
	idleWait = time.Second
)

// SetDemand says that n items of a service wait for a permit now. It holds for demandTTL.
func (l *Limiter) SetDemand(s identifier.Service, n int) {
	if l == nil || !l.active.Load() {
		return
	}
	l.lock.Lock()
	d := l.waiting[s]
	d.items, d.expiry = min(n, maxDemand), l.clock.Monotonic()+demandTTL
	l.waiting[s] = d
	l.lock.Unlock()
	l.trigger()
}

// Await waits until another target of a service may be chosen. It returns false as soon as no permit can arrive within limit, and
// when ctx ends.
func (l *Limiter) Await(ctx context.Context, s identifier.Service, avoid []identifier.Target, limit time.Duration) bool {
	if l == nil || !l.active.Load() {
		return false
	}
	l.changeRequests(s, 1)
	defer l.changeRequests(s, -1)
	l.trigger()
	end := l.clock.Monotonic() + limit
	timeout := l.clock.After(limit)
	defer timeout.Stop()
	for {
		changed, permitted, hopeful := l.prospect(s, avoid, end)
		if permitted || !hopeful {
			return permitted
		}
		select {
		case <-changed:
		case <-timeout.C():
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// RetryAfter returns the time until a permit for a target of a service may be had, or zero if none names a rate.
func (l *Limiter) RetryAfter(s identifier.Service) time.Duration {
	if l == nil || !l.active.Load() {
		return 0
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.clock.Monotonic()
	var soonest time.Duration
	for _, k := range l.targets {
		if wait := k.nextAsk - now; k.service == s && wait > 0 && (soonest == 0 || wait < soonest) {
			soonest = wait
		}
	}
	return soonest
}

// prospect reports whether a limited target of a service may be chosen, and whether one may be until end. changed is closed
// when that may have changed.
func (l *Limiter) prospect(s identifier.Service, avoid []identifier.Target, end time.Duration) (changed <-chan struct{}, permitted, hopeful bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.clock.Monotonic()
	for id, k := range l.targets {
		if k.service != s || slices.Contains(avoid, id) {
			continue
		}
		permitted = permitted || k.usable(now) > 0 || !k.limits(now)
		hopeful = hopeful || k.asking || k.nextAsk < end
	}
	return l.changed, permitted, hopeful
}

func (l *Limiter) changeRequests(s identifier.Service, by int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	d := l.waiting[s]
	d.requests += by
	l.waiting[s] = d
}

func (l *Limiter) trigger() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run asks for permits while work waits for them, until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	queue := worker.NewQueue[identifier.Target](askQueue)
	pool := worker.NewPool(askWorkers, worker.Source[identifier.Target](queue), l.ask)
	defer pool.Close()
	for ctx.Err() == nil {
		if l.expire() && l.onPermit != nil {
			l.onPermit()
		}
		due, next := l.dueAsks()
		for _, id := range due {
			if !queue.Offer(id) {
				l.finishAsk(id, answeredAsk{grant: Grant{Wait: unreachableWait}})
			}
		}
		l.await(ctx, next)
	}
}

// await blocks until work waits, an ask is answered, the clock reaches next, or ctx ends. A zero next sets no time limit.
func (l *Limiter) await(ctx context.Context, next time.Duration) {
	var expired <-chan time.Time
	if next > 0 {
		t := l.clock.After(max(next-l.clock.Monotonic(), time.Millisecond))
		defer t.Stop()
		expired = t.C()
	}
	select {
	case <-l.wake:
	case <-expired:
	case <-ctx.Done():
	}
}

// dueAsks returns the targets that need a new permit now and marks them as asking. It also returns when the next ask is due,
// or zero if no work waits.
func (l *Limiter) dueAsks() (due []identifier.Target, next time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.clock.Monotonic()
	missing := l.missing(now)
	for id, k := range l.targets {
		if missing[k.service] <= 0 || k.asking || !k.limits(now) {
			continue
		}
		if k.nextAsk > now {
			if next == 0 || k.nextAsk < next {
				next = k.nextAsk
			}
			continue
		}
		k.asking = true
		missing[k.service]--
		due = append(due, id)
	}
	if len(missing) > 0 && next == 0 {
		next = now + idleWait
	}
	return due, next
}

// missing returns the number of permits that each service with waiting work lacks. The caller holds the lock.
func (l *Limiter) missing(now time.Duration) map[identifier.Service]int {
	missing := make(map[identifier.Service]int)
	for s, d := range l.waiting {
		n := d.requests
		if d.expiry > now {
			n += d.items
		}
		if n > 0 {
			missing[s] = n
		} else {
			delete(l.waiting, s)
		}
	}
	for _, k := range l.targets {
		if _, ok := missing[k.service]; !ok || !k.limits(now) {
			continue
		}
		missing[k.service] -= k.usable(now)
		if k.asking {
			missing[k.service]--
		}
	}
	return missing
}

// ask asks for a permit for one target.
func (l *Limiter) ask(ctx context.Context, id identifier.Target) {
	q, sent, ok := l.newAsk(id)
	if !ok {
		return
	}
	ctx, cancel := timer.WithTimeout(ctx, l.clock, askTimeout)
	defer cancel()
	a := answeredAsk{ask: q, sent: sent}
	a.grant, a.reached = l.source.Allot(ctx, q)
	if !a.reached {
		a.grant = l.fallBack(id)
	}
	l.finishAsk(id, a)
	if a.grant.Permit && l.onPermit != nil {
		l.onPermit()
	}
}

// answeredAsk is the answer to an ask that was sent at a monotonic time. reached is set if it is that of the responsible process.
type answeredAsk struct {
	ask     Ask
	grant   Grant
	sent    time.Duration
	reached bool
}

func (l *Limiter) newAsk(id identifier.Target) (q Ask, sent time.Duration, ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	k, known := l.targets[id]
	if !known {
		return Ask{}, 0, false
	}
	now := l.clock.Monotonic()
	rate, at, cold := k.statement(now)
	return Ask{Target: id, Incarnation: k.incarnation, Rate: rate, Age: now - at, Cold: cold}, now, true
}

// finishAsk records the answer to an ask.
func (l *Limiter) finishAsk(id identifier.Target, a answeredAsk) {
	l.lock.Lock()
	defer l.lock.Unlock()
	defer l.trigger()
	defer l.notify()
	k, known := l.targets[id]
	if !known || a.ask.Target != "" && a.ask.Incarnation != k.incarnation {
		return
	}
	now := l.clock.Monotonic()
	k.asking = false
	k.nextAsk = now + a.grant.Wait
	cold := k.cold.lasts(now)
	if a.reached && cold {
		k.fallback = coldFallback(now)
	} else if a.reached {
		k.fallback = bucket{at: now}
	}
	ttl := permitTTL
	if cold {
		ttl = coldPermitTTL
	}
	if a.grant.Permit && (a.ask.Cold || !cold) {
		k.permits = append(k.permits, a.sent+ttl)
	}
}

// fallBack takes a permit out of this process's share, because the process that is responsible for the target was not
// reached.
func (l *Limiter) fallBack(id identifier.Target) Grant {
	processes := float64(max(l.source.Processes(), 1))
	l.lock.Lock()
	defer l.lock.Unlock()
	k, known := l.targets[id]
	if !known {
		return Grant{Wait: unreachableWait}
	}
	now := l.clock.Monotonic()
	rate := k.rate * fallbackShare
	if k.cold.lasts(now) {
		if rate = min(k.cold.fallback, rate); !k.named {
			rate = k.cold.fallback
		}
		if rate == 0 {
			return Grant{Wait: idleWait}
		}
	}
	var wait time.Duration
	k.fallback, wait = k.fallback.withRate(rate/processes, now).take(now)
	return Grant{Permit: wait == 0, Wait: max(unreachableWait, min(wait, idleWait))}
}
