package storer

import (
	"bytes"
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// callTimeout bounds one call to the key-value service, which answers in milliseconds when it is well.
	callTimeout = time.Second
	// settleTries bounds the reads that settle one lost answer.
	settleTries = 5
	// settlePause is the wait between two of them.
	settlePause = 200 * time.Millisecond
)

// Storer calls the key-value service with deadlines and settles lost answers.
type Storer struct {
	driver Driver
	clock  timer.Service
}

// NewStorer returns a Storer over a driver.
func NewStorer(driver Driver, clock timer.Service) *Storer {
	return &Storer{driver: driver, clock: clock}
}

// Get returns the entry of key; an entry with Changed zero does not exist.
func (s *Storer) Get(ctx context.Context, key string) (Entry, Outcome) {
	ctx, cancel := timer.WithTimeout(ctx, s.clock, callTimeout)
	defer cancel()
	return s.driver.Get(ctx, key)
}

// List returns the entries whose keys begin with prefix, in key order.
func (s *Storer) List(ctx context.Context, prefix string) ([]Entry, Outcome) {
	ctx, cancel := timer.WithTimeout(ctx, s.clock, callTimeout)
	defer cancel()
	return s.driver.List(ctx, prefix)
}

// Swap writes value to key if the key was last changed at changed (zero: is absent). The value must be unlike any
// other value written to the key, because a lost answer is settled by comparing it.
func (s *Storer) Swap(ctx context.Context, key string, changed int64, value []byte, lease Lease) Outcome {
	return s.Commit(ctx, Transaction{}.WithGuard(key, changed).WithPut(key, value, lease))
}

// Commit applies a transaction whose first guard and first write are of the same key. That write must be unlike any
// other to its key: a lost answer is settled by reading it back. The outcome is Unknown only when that failed too.
func (s *Storer) Commit(ctx context.Context, t Transaction) Outcome {
	if len(t.Guards) == 0 || len(t.Puts) == 0 || t.Guards[0].Key != t.Puts[0].Key {
		panic("invariant write-identity: a transaction begins with a guarded write of one key")
	}
	callCtx, cancel := timer.WithTimeout(ctx, s.clock, callTimeout)
	out := s.driver.Commit(callCtx, t)
	cancel()
	if out != Unknown {
		return out
	}
	return s.settle(ctx, t.Puts[0].Key, t.Guards[0].Changed, t.Puts[0].Value)
}

// Grant makes a lease that lapses ttl after its last renewal.
func (s *Storer) Grant(ctx context.Context, ttl time.Duration) (Lease, Outcome) {
	ctx, cancel := timer.WithTimeout(ctx, s.clock, callTimeout)
	defer cancel()
	return s.driver.Grant(ctx, ttl)
}

// KeepAlive renews a lease. Conflict means that it has lapsed.
func (s *Storer) KeepAlive(ctx context.Context, l Lease) Outcome {
	ctx, cancel := timer.WithTimeout(ctx, s.clock, callTimeout)
	defer cancel()
	return s.driver.KeepAlive(ctx, l)
}

// Revoke ends a lease and deletes its keys.
func (s *Storer) Revoke(ctx context.Context, l Lease) Outcome {
	ctx, cancel := timer.WithTimeout(ctx, s.clock, callTimeout)
	defer cancel()
	return s.driver.Revoke(ctx, l)
}

// Watch calls changed for each change of key until ctx ends or the connection fails.
func (s *Storer) Watch(ctx context.Context, key string, changed func(Entry)) Outcome {
	return s.driver.Watch(ctx, key, changed)
}

// settle reads key back until it is known whether the write of value took effect.
func (s *Storer) settle(ctx context.Context, key string, changed int64, value []byte) Outcome {
	for range settleTries {
		pause := s.clock.After(settlePause)
		select {
		case <-pause.C():
		case <-ctx.Done():
			pause.Stop()
			return Unknown
		}
		e, out := s.Get(ctx, key)
		if out != Applied {
			continue
		}
		if bytes.Equal(e.Value, value) {
			return Applied
		}
		if e.Changed != changed {
			return Conflict
		}
		// The old state is still there, but the lost write may be on its way; it fails its guard once the key changes.
	}
	return Unknown
}
