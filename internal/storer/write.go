package storer

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// callTimeout bounds one call to the key-value service, which answers within milliseconds in normal operation.
	callTimeout = time.Second
	// maxResolveReads bounds the reads that resolve one lost answer. With doubling pauses they span about 10 s, longer
	// than a lost request can remain in transit.
	maxResolveReads = 8
	// maxResolvePause bounds the pause between two of these reads.
	maxResolvePause = 2 * time.Second
)

// Storer calls the key-value service within a budget and with deadlines, and resolves lost answers. A Storer has one
// purpose; the copies that WithPurpose returns share its budget and back-off.
type Storer struct {
	driver        Driver
	clock         timer.Service
	purpose       Purpose
	bypassBackoff bool
	timeout       time.Duration
	shared        *sharedState
}

// sharedState is the state that the Storers of one driver share. Those of one process share the budget.
type sharedState struct {
	budget  *Budget
	backoff Backoff
}

// Option sets a property of a Storer.
type Option func(*Storer)

// WithMaxPause bounds the pause between probes of a service that is down, and so the time until its recovery is
// noticed.
func WithMaxPause(d time.Duration) Option {
	return func(s *Storer) { s.shared.backoff.maxPause = d }
}

// WithCallTimeout bounds the duration of one call.
func WithCallTimeout(d time.Duration) Option { return func(s *Storer) { s.timeout = d } }

// NewStorer returns a Storer that calls the service through driver with the purpose PurposeUsage.
func NewStorer(driver Driver, clock timer.Service, opts ...Option) *Storer {
	s := &Storer{driver: driver, clock: clock, purpose: PurposeUsage, timeout: callTimeout, shared: &sharedState{budget: &Budget{}}}
	for _, o := range opts {
		o(s)
	}
	return s
}

// WithPurpose returns a copy of s with the given purpose.
func (s *Storer) WithPurpose(p Purpose) *Storer {
	c := *s
	c.purpose = p
	return &c
}

// WithoutBackoff returns a copy of s whose calls are not held back while the service counts as down. It is for calls
// that a person waits for: they are few, and each one probes whether the service has recovered.
func (s *Storer) WithoutBackoff() *Storer {
	c := *s
	c.bypassBackoff = true
	return &c
}

// Get returns the entry of key; an entry with Changed zero does not exist.
func (s *Storer) Get(ctx context.Context, key string) (Entry, Outcome) {
	return read(ctx, s, func(ctx context.Context) (Entry, Outcome) { return s.driver.Get(ctx, key) })
}

// GetStale returns the entry of key as it was up to some seconds ago, at a lower cost than Get if the service offers that.
func (s *Storer) GetStale(ctx context.Context, key string) (Entry, Outcome) {
	reader, ok := s.driver.(StaleReader)
	if !ok {
		return s.Get(ctx, key)
	}
	return read(ctx, s, func(ctx context.Context) (Entry, Outcome) { return reader.GetStale(ctx, key) })
}

// GetIfChanged returns the entry of key if it was changed after the given revision, else an entry with Changed zero.
func (s *Storer) GetIfChanged(ctx context.Context, key string, after int64) (Entry, Outcome) {
	return read(ctx, s, func(ctx context.Context) (Entry, Outcome) { return s.driver.GetIfChanged(ctx, key, after) })
}

// List returns the entries whose keys begin with prefix, in key order.
func (s *Storer) List(ctx context.Context, prefix string) ([]Entry, Outcome) {
	return read(ctx, s, func(ctx context.Context) ([]Entry, Outcome) { return s.driver.List(ctx, prefix) })
}

// CompareAndSwap writes value to key if the revision of the key's last change is changed; zero means that the key does
// not exist. The value must differ from every other value written to the key, because a lost answer is resolved by
// comparing values.
func (s *Storer) CompareAndSwap(ctx context.Context, key string, changed int64, value []byte, lease Lease) Outcome {
	return s.Commit(ctx, Transaction{}.WithGuard(key, changed).WithPut(key, value, lease))
}

// Commit applies a transaction whose first guard and first write concern the same key. The value of that write must
// differ from every other value of the key: a lost answer is resolved by reading the key back. The outcome is Unknown
// only if that fails too.
func (s *Storer) Commit(ctx context.Context, t Transaction) Outcome { return s.commit(ctx, t, nil) }

// commit applies a transaction. If resend is not nil, it is called to send the transaction again while a lost answer
// is being resolved.
func (s *Storer) commit(ctx context.Context, t Transaction, resend func(context.Context) Outcome) Outcome {
	if len(t.Guards) == 0 || len(t.Puts) == 0 || t.Guards[0].Key != t.Puts[0].Key {
		panic(fmt.Sprintf("invariant write-identity: want the first guard and the first put on the same key, got guards %v and %d puts",
			t.Guards, len(t.Puts)))
	}
	out := s.call(ctx, func(ctx context.Context) Outcome { return s.driver.Commit(ctx, t) })
	if out != Unknown {
		return out
	}
	return s.resolveLostAnswer(ctx, t, resend)
}

// CommitWithRetry applies a transaction as Commit does, and sends it again if the key still has its old value after a
// lost answer. The guard lets only one of the sends take effect. It is for writes that may also take effect late.
func (s *Storer) CommitWithRetry(ctx context.Context, t Transaction) Outcome {
	return s.commit(ctx, t, func(ctx context.Context) Outcome { return s.driver.Commit(ctx, t) })
}

// Overwrite applies writes without guards. A write whose answer was lost may take effect later, after newer ones of the same
// keys, so the caller must not write keys again whose outcome is not Applied.
func (s *Storer) Overwrite(ctx context.Context, t Transaction) Outcome {
	return s.call(ctx, func(ctx context.Context) Outcome { return s.driver.Commit(ctx, t) })
}

// Delete applies a transaction that only deletes keys. Deletes can be repeated safely, so a lost answer is not
// resolved: the outcome is Unknown.
func (s *Storer) Delete(ctx context.Context, t Transaction) Outcome {
	return s.call(ctx, func(ctx context.Context) Outcome { return s.driver.Commit(ctx, t) })
}

// Grant creates a lease that expires ttl after its last renewal.
func (s *Storer) Grant(ctx context.Context, ttl time.Duration) (Lease, Outcome) {
	return read(ctx, s, func(ctx context.Context) (Lease, Outcome) { return s.driver.Grant(ctx, ttl) })
}

// KeepAlive renews a lease. Conflict means that it has expired.
func (s *Storer) KeepAlive(ctx context.Context, l Lease) Outcome {
	return s.call(ctx, func(ctx context.Context) Outcome { return s.driver.KeepAlive(ctx, l) })
}

// Revoke ends a lease and deletes its keys.
func (s *Storer) Revoke(ctx context.Context, l Lease) Outcome {
	return s.call(ctx, func(ctx context.Context) Outcome { return s.driver.Revoke(ctx, l) })
}

// Watch calls changed for each change of key after the given revision, until ctx ends or the connection fails. A
// change between the read that returned the revision and the start of the watch is not missed.
func (s *Storer) Watch(ctx context.Context, key string, after int64, changed func(Entry)) Outcome {
	if !s.admit(ctx) {
		return Unavailable
	}
	return s.driver.Watch(ctx, key, after, changed)
}

// read makes a call that returns a value besides its outcome.
func read[T any](ctx context.Context, s *Storer, f func(context.Context) (T, Outcome)) (T, Outcome) {
	var v T
	out := s.call(ctx, func(ctx context.Context) Outcome {
		var out Outcome
		v, out = f(ctx)
		return out
	})
	return v, out
}

// call makes one call within the budget, unless the service counts as down.
func (s *Storer) call(ctx context.Context, f func(context.Context) Outcome) Outcome {
	if !s.admit(ctx) {
		return Unavailable
	}
	return s.attempt(ctx, f)
}

// attempt makes one call with a deadline and records its outcome.
func (s *Storer) attempt(ctx context.Context, f func(context.Context) Outcome) Outcome {
	callCtx, cancel := timer.WithTimeout(ctx, s.clock, s.timeout)
	defer cancel()
	out := f(callCtx)
	// A call that its caller cancelled does not show whether the service is down.
	if ctx.Err() == nil {
		s.shared.backoff.Record(out, s.clock.Monotonic())
	}
	return out
}

// admit waits for the budget, at most callTimeout, and reports whether the back-off lets the call through.
func (s *Storer) admit(ctx context.Context) bool {
	deadline := s.clock.Monotonic() + callTimeout
	for {
		now := s.clock.Monotonic()
		wait := s.shared.budget.Take(s.purpose, now)
		if wait == 0 {
			return s.shared.backoff.Admit(s.purpose, now) || s.bypassBackoff
		}
		if now+wait > deadline || !timer.Wait(ctx, s.clock, wait) {
			return false
		}
	}
}

// resolveLostAnswer reads the key of a transaction's first write back until it is known whether the write took effect.
// It pauses between its calls itself, so they are not subject to the back-off.
func (s *Storer) resolveLostAnswer(ctx context.Context, t Transaction, resend func(context.Context) Outcome) Outcome {
	key, changed, value := t.Puts[0].Key, t.Guards[0].Changed, t.Puts[0].Value
	limit := maxResolvePause
	if resend != nil {
		limit = min(limit, s.shared.backoff.pauseLimit())
	}
	for attempt := range maxResolveReads {
		if !timer.Wait(ctx, s.clock, jitteredPause(attempt+1, limit)) {
			return Unknown
		}
		var e Entry
		out := s.attempt(ctx, func(ctx context.Context) Outcome {
			var out Outcome
			e, out = s.driver.Get(ctx, key)
			return out
		})
		switch {
		case out != Applied:
			continue
		case bytes.Equal(e.Value, value):
			return Applied
		case e.Changed != changed:
			return Conflict
		}
		// The key is unchanged, but the lost write may still be in transit. It fails its guard once the key changes.
		if resend != nil && s.attempt(ctx, resend) == Applied {
			return Applied
		}
	}
	return Unknown
}
