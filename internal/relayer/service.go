package relayer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/storer"
)

// Get returns the entry of key.
func (r *Relayer) Get(ctx context.Context, key string) (storer.Entry, storer.Outcome) {
	a := r.call(ctx, Question{Kind: Get, Key: key})
	return a.Entry, a.Outcome
}

// GetStale returns the entry of key as it was up to some seconds ago.
func (r *Relayer) GetStale(ctx context.Context, key string) (storer.Entry, storer.Outcome) {
	a := r.call(ctx, Question{Kind: GetStale, Key: key})
	return a.Entry, a.Outcome
}

// GetIfChanged returns the entry of key if it was changed after the given revision.
func (r *Relayer) GetIfChanged(ctx context.Context, key string, after int64) (storer.Entry, storer.Outcome) {
	a := r.call(ctx, Question{Kind: GetIfChanged, Key: key, After: after})
	return a.Entry, a.Outcome
}

// List returns the entries whose keys begin with prefix.
func (r *Relayer) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome) {
	a := r.call(ctx, Question{Kind: List, Key: prefix})
	return a.Entries, a.Outcome
}

// Commit applies a transaction. It is sent through another process only if it was certainly not executed before.
func (r *Relayer) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	return r.call(ctx, Question{Kind: Commit, Transaction: t}).Outcome
}

// Grant creates a lease.
func (r *Relayer) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, storer.Outcome) {
	a := r.call(ctx, Question{Kind: Grant, TTL: ttl})
	return a.Lease, a.Outcome
}

// KeepAlive renews a lease.
func (r *Relayer) KeepAlive(ctx context.Context, l storer.Lease) storer.Outcome {
	return r.call(ctx, Question{Kind: KeepAlive, Lease: l}).Outcome
}

// Revoke ends a lease.
func (r *Relayer) Revoke(ctx context.Context, l storer.Lease) storer.Outcome {
	return r.call(ctx, Question{Kind: Revoke, Lease: l}).Outcome
}

// Watch watches a key at the service itself. Processes that ask others watch prefixes only.
func (r *Relayer) Watch(ctx context.Context, key string, after int64, changed func(storer.Entry)) storer.Outcome {
	return r.Service.Watch(ctx, key, after, changed)
}

// Snapshot returns the entries below prefix.
func (r *Relayer) Snapshot(ctx context.Context, prefix string) ([]storer.Entry, int64, storer.Outcome) {
	a := r.call(ctx, Question{Kind: Snapshot, Key: prefix})
	return a.Entries, a.Revision, a.Outcome
}

// Changes waits for changes below prefix.
func (r *Relayer) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, storer.Outcome) {
	a := r.call(ctx, Question{Kind: Changes, Key: prefix, After: after, Wait: wait})
	return a.Changes, a.Revision, a.Outcome
}
