package hoster

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// renewals is how often the lease of a presence is renewed within its time.
const renewals = 3

// attend keeps this process registered as one that is there, until ctx ends.
func (b base) attend(ctx context.Context) {
	store := b.store.For(storer.PurposeLease)
	var lease storer.Lease
	for ctx.Err() == nil {
		if lease == 0 {
			lease = b.register(ctx, store)
		} else if store.KeepAlive(ctx, lease) == storer.Conflict {
			b.log.Emit(logger.PresenceLost)
			lease = 0
			continue
		}
		b.rest(ctx, presenceTTL/renewals)
	}
	if lease != 0 {
		last, cancel := timer.WithTimeout(context.WithoutCancel(ctx), b.clock, time.Second)
		defer cancel()
		store.Revoke(last, lease)
	}
}

// register stores the presence of this process. It returns the lease of it, or zero if that failed.
func (b base) register(ctx context.Context, store *storer.Storer) storer.Lease {
	data, err := b.form.EncodePresence(recorder.Presence{Owner: b.owner(), Address: b.Peer})
	if err != nil {
		b.log.Emit(logger.PresenceLost, "error", err)
		return 0
	}
	old, out := store.Get(ctx, recorder.NodeKey(b.Node))
	if out != storer.Applied {
		return 0
	}
	lease, out := store.Grant(ctx, presenceTTL)
	if out != storer.Applied {
		return 0
	}
	if store.Swap(ctx, recorder.NodeKey(b.Node), old.Changed, data, lease) != storer.Applied {
		return 0
	}
	return lease
}

func (b base) rest(ctx context.Context, d time.Duration) {
	sub := b.clock.After(d)
	defer sub.Stop()
	select {
	case <-sub.C():
	case <-ctx.Done():
	}
}
