package keyvalue

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/storer"
)

// Way is how the calls of one process reach the service.
type Way int32

const (
	// Open passes calls on.
	Open Way = iota
	// Refused refuses calls.
	Refused
	// Silent answers nothing and executes nothing.
	Silent
	// AnswerLost executes transactions and loses their answers.
	AnswerLost
)

// Link is a service as one process reaches it.
type Link struct {
	storer.Service
	way   atomic.Int32
	calls atomic.Int64
}

// NewLink returns an open Link to a service.
func NewLink(s storer.Service) *Link { return &Link{Service: s} }

// Set sets how further calls reach the service.
func (l *Link) Set(w Way) { l.way.Store(int32(w)) }

// Calls returns the number of calls that were made, whether or not they reached the service.
func (l *Link) Calls() int64 { return l.calls.Load() }

// pass returns Applied if a call reaches the service, and its outcome otherwise.
func (l *Link) pass(ctx context.Context) storer.Outcome {
	l.calls.Add(1)
	switch Way(l.way.Load()) {
	case Refused:
		return storer.Unavailable
	case Silent:
		<-ctx.Done()
		return storer.Unknown
	default:
		return storer.Applied
	}
}

// Get reads an entry.
func (l *Link) Get(ctx context.Context, key string) (e storer.Entry, out storer.Outcome) {
	if out = l.pass(ctx); out == storer.Applied {
		e, out = l.Service.Get(ctx, key)
	}
	return e, out
}

// List reads the entries below a prefix.
func (l *Link) List(ctx context.Context, prefix string) (all []storer.Entry, out storer.Outcome) {
	if out = l.pass(ctx); out == storer.Applied {
		all, out = l.Service.List(ctx, prefix)
	}
	return all, out
}

// Snapshot reads the entries below a prefix.
func (l *Link) Snapshot(ctx context.Context, prefix string) (all []storer.Entry, revision int64, out storer.Outcome) {
	if out = l.pass(ctx); out == storer.Applied {
		all, revision, out = l.Service.Snapshot(ctx, prefix)
	}
	return all, revision, out
}

// Changes waits for changes.
func (l *Link) Changes(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) (all []storer.Change, revision int64, out storer.Outcome) {
	if out = l.pass(ctx); out == storer.Applied {
		all, revision, out = l.Service.Changes(ctx, prefix, after, wait)
	}
	return all, revision, out
}

// Grant creates a lease.
func (l *Link) Grant(ctx context.Context, ttl time.Duration) (lease storer.Lease, out storer.Outcome) {
	if out = l.pass(ctx); out == storer.Applied {
		lease, out = l.Service.Grant(ctx, ttl)
	}
	return lease, out
}

// KeepAlive renews a lease.
func (l *Link) KeepAlive(ctx context.Context, lease storer.Lease) storer.Outcome {
	if out := l.pass(ctx); out != storer.Applied {
		return out
	}
	return l.Service.KeepAlive(ctx, lease)
}

// Commit applies a transaction.
func (l *Link) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	if out := l.pass(ctx); out != storer.Applied {
		return out
	}
	out := l.Service.Commit(ctx, t)
	if Way(l.way.Load()) == AnswerLost {
		return storer.Unknown
	}
	return out
}
