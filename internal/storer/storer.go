// Package storer calls the platform's key-value service. A write whose answer was lost is not simply sent
// again: its key is read back first, and the value there shows whether the write took effect.
package storer

import (
	"context"
	"time"
)

// Outcome is the result of a call to the key-value service.
type Outcome int

const (
	// Applied means that the call took effect.
	Applied Outcome = iota + 1
	// Conflict means that a guard did not hold; nothing was written.
	Conflict
	// Unknown means that the answer was lost; the call may have taken effect.
	Unknown
	// Unavailable means that the call did not take effect.
	Unavailable
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"none", "applied", "conflict", "unknown", "unavailable"}
	if o < 0 || int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// Entry is a key with its value and the revision of its last change.
type Entry struct {
	Key     string
	Value   []byte
	Changed int64
}

// Lease identifies a lease of the key-value service. Zero means no lease.
type Lease int64

// Guard is a condition of a transaction: the revision of the key's last change is Changed; zero means that the key
// does not exist.
type Guard struct {
	Key     string
	Changed int64
}

// Put is a write of a transaction. A nonzero Lease deletes the key when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// Transaction is a set of writes that take effect together if every guard holds. It is immutable.
type Transaction struct {
	Guards  []Guard
	Puts    []Put
	Deletes []string
}

// WithGuard returns a copy of t with one more guard.
func (t Transaction) WithGuard(key string, changed int64) Transaction {
	t.Guards = append(t.Guards[:len(t.Guards):len(t.Guards)], Guard{Key: key, Changed: changed})
	return t
}

// WithPut returns a copy of t with one more write.
func (t Transaction) WithPut(key string, value []byte, lease Lease) Transaction {
	t.Puts = append(t.Puts[:len(t.Puts):len(t.Puts)], Put{Key: key, Value: value, Lease: lease})
	return t
}

// WithDelete returns a copy of t that also deletes key.
func (t Transaction) WithDelete(key string) Transaction {
	t.Deletes = append(t.Deletes[:len(t.Deletes):len(t.Deletes)], key)
	return t
}

// Driver implements the protocol of the key-value service. Reads return Applied, Unknown or Unavailable.
type Driver interface {
	// Get returns the entry of key; an entry with Changed zero does not exist.
	Get(ctx context.Context, key string) (Entry, Outcome)
	// GetIfChanged returns the entry of key if it was changed after the given revision, else an entry with Changed
	// zero.
	GetIfChanged(ctx context.Context, key string, after int64) (Entry, Outcome)
	// List returns the entries whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, Outcome)
	// Commit applies a transaction.
	Commit(ctx context.Context, t Transaction) Outcome
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (Lease, Outcome)
	// KeepAlive renews a lease. Conflict means that it has expired.
	KeepAlive(ctx context.Context, l Lease) Outcome
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, l Lease) Outcome
	// Watch calls changed for each change of key after the given revision until ctx ends or the connection fails.
	Watch(ctx context.Context, key string, after int64, changed func(Entry)) Outcome
}

// StaleReader is implemented by drivers whose service answers reads that may be seconds old at a lower cost.
type StaleReader interface {
	// GetStale returns the entry of key as it was up to some seconds ago.
	GetStale(ctx context.Context, key string) (Entry, Outcome)
}
