package hoster

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// renewals is how often the lease of a presence is renewed within its time.
const renewals = 3

// presence keeps a process registered as one that is there.
type presence struct {
	base
	store *storer.Storer
	lease storer.Lease
	// reached is the boot clock time at which the key-value service last confirmed the lease.
	reached atomic.Int64
}

func newPresence(b base) *presence {
	return &presence{base: b, store: b.store.WithPurpose(storer.PurposeLease)}
}

// reachTime is how old the last confirmation may be for the key-value service to count as reached.
const reachTime = 4 * presenceTTL / renewals

// inTouch reports whether the key-value service was reached lately.
func (p *presence) inTouch() bool {
	reached := p.reached.Load()
	return reached > 0 && p.clock.Boot()-time.Duration(reached) < reachTime
}

// attend keeps the process registered until ctx ends.
func (p *presence) attend(ctx context.Context) {
	for ctx.Err() == nil {
		if p.lease == 0 {
			p.lease = p.register(ctx, false)
		} else if !p.renew(ctx) {
			continue
		}
		timer.Wait(ctx, p.clock, presenceTTL/renewals)
	}
}

// renew renews the registration. It reports false when the registration has lapsed.
func (p *presence) renew(ctx context.Context) bool {
	switch p.store.KeepAlive(ctx, p.lease) {
	case storer.Conflict:
		p.log.Emit(logger.RegistrationLapsed)
		p.lease = 0
		return false
	case storer.Applied:
		p.reached.Store(int64(p.clock.Boot()))
	default:
		// Without an answer the registration runs on to its present end.
	}
	return true
}

// leave tells the other processes that this one takes no further work. It is called once attend has returned.
func (p *presence) leave(ctx context.Context) {
	if lease := p.register(ctx, true); lease != 0 {
		p.lease = lease
	}
}

// revoke ends the registration; without it the lease lapses.
func (p *presence) revoke(ctx context.Context) {
	if p.lease != 0 {
		p.store.Revoke(ctx, p.lease)
	}
}

// register stores the presence of this process. It returns the lease of it, or zero if that failed.
func (p *presence) register(ctx context.Context, leaving bool) storer.Lease {
	b, store := p.base, p.store
	data, err := b.codec.EncodePresence(recorder.Presence{Owner: b.owner(), Address: b.Peer, Leaving: leaving, Region: b.Region, Cores: b.Cores})
	if err != nil {
		b.log.Emit(logger.RegistrationLapsed, "error", err)
		return 0
	}
	old, out := store.Get(ctx, recorder.NodeKey(b.Node))
	if out != storer.Applied {
		return 0
	}
	ttl := presenceTTL
	if leaving {
		// Nobody renews it any more.
		ttl = b.Grace
	}
	lease, out := store.Grant(ctx, ttl)
	if out != storer.Applied {
		return 0
	}
	if store.CompareAndSwap(ctx, recorder.NodeKey(b.Node), old.Changed, data, lease) != storer.Applied {
		return 0
	}
	p.reached.Store(int64(b.clock.Boot()))
	return lease
}
