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

// renewalsPerTTL is the number of renewals within the TTL of a lease.
const renewalsPerTTL = 3

// presence keeps a process registered in the key-value service.
type presence struct {
	base
	store *storer.Storer
	lease storer.Lease
	// confirmed is the monotonic time at which the key-value service last confirmed the lease; zero before the first.
	confirmed atomic.Int64
}

func newPresence(b base) *presence {
	return &presence{base: b, store: b.store.WithPurpose(storer.PurposeLease)}
}

// maxConfirmationAge is how old the last confirmation may be for the key-value service to count as reached.
const maxConfirmationAge = 4 * presenceTTL / renewalsPerTTL

// maxServingAge is how old the last confirmation may be for callers to be served from the key-value service. It allows for
// one renewal without an answer.
const maxServingAge = 2 * presenceTTL / renewalsPerTTL

// reachedJustNow reports whether the key-value service was reached so recently that a call to it is worth waiting for.
func (p *presence) reachedJustNow() bool {
	confirmed := p.confirmed.Load()
	// After an outage other calls may be answered before the next renewal is due.
	return confirmed > 0 && (p.clock.Monotonic()-time.Duration(confirmed) < maxServingAge || p.availability.AnsweredWithin(maxServingAge))
}

// storeReached reports whether the key-value service was reached recently.
func (p *presence) storeReached() bool {
	confirmed := p.confirmed.Load()
	return confirmed > 0 && p.clock.Monotonic()-time.Duration(confirmed) < maxConfirmationAge
}

// keepRegistered registers the process and renews the registration until ctx ends.
func (p *presence) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		if p.lease == 0 {
			p.lease = p.register(ctx, false)
		} else if !p.renew(ctx) {
			continue
		}
		timer.Wait(ctx, p.clock, presenceTTL/renewalsPerTTL)
	}
}

// renew renews the registration. It returns false if the registration has expired.
func (p *presence) renew(ctx context.Context) bool {
	switch p.store.KeepAlive(ctx, p.lease) {
	case storer.Conflict:
		p.log.Emit(logger.RegistrationLapsed)
		p.lease = 0
		return false
	case storer.Applied:
		p.confirmed.Store(int64(p.clock.Monotonic()))
	default:
		// Without an answer the registration keeps its present expiry.
	}
	return true
}

// announceLeaving registers the process as leaving, so that other processes give it no further work. It must not be
// called before keepRegistered has returned.
func (p *presence) announceLeaving(ctx context.Context) {
	if lease := p.register(ctx, true); lease != 0 {
		p.lease = lease
	}
}

// revoke ends the registration before its lease expires.
func (p *presence) revoke(ctx context.Context) {
	if p.lease != 0 {
		p.store.Revoke(ctx, p.lease)
	}
}

// register stores the registration of this process under a new lease. It returns the lease, or zero if that failed.
func (p *presence) register(ctx context.Context, leaving bool) storer.Lease {
	b, store := p.base, p.store
	data, err := b.codec.EncodeRegistration(recorder.Registration{Owner: b.owner(), Address: b.Peer, Leaving: leaving, Region: b.Region, Cores: b.Cores})
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
		// This lease is not renewed.
		ttl = b.Grace
	}
	lease, out := store.Grant(ctx, ttl)
	if out != storer.Applied {
		return 0
	}
	if store.CompareAndSwap(ctx, recorder.NodeKey(b.Node), old.Changed, data, lease) != storer.Applied {
		return 0
	}
	p.confirmed.Store(int64(b.clock.Monotonic()))
	return lease
}
