package storer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// Change is one change of a key below a prefix.
type Change struct {
	Entry
	// Removed is set when the key went.
	Removed bool
}

// Feed is the part of a key-value service that tells of changes below a prefix.
type Feed interface {
	// Snapshot returns the entries below prefix and a revision after which Changes misses none.
	Snapshot(ctx context.Context, prefix string) (entries []Entry, revision int64, out Outcome)
	// Changes waits for changes after a revision, at most for wait, and returns them with the revision to go on from.
	// Conflict means that this history is gone and that a snapshot is needed.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, revision int64, out Outcome)
}

// View takes over what a Follower reads. One goroutine calls it.
type View interface {
	// Reset takes over all entries below the prefix.
	Reset(entries []Entry)
	// Apply takes over one change.
	Apply(c Change)
	// Interrupted tells that the view may be out of date from now on.
	Interrupted()
}

// Follower keeps a view of the keys below a prefix up to date.
type Follower struct {
	feed   Feed
	store  *Storer
	prefix string
	settle func() time.Duration
	wait   time.Duration
}

const (
	// snapshotTimeout bounds the reading of all entries.
	snapshotTimeout = 3 * time.Second
	// followPause is the first pause after a failed call; it doubles up to followMost, so that a view is up to date
	// again within that time of the service's return.
	followPause = 100 * time.Millisecond
	followMost  = 800 * time.Millisecond
)

// NewFollower returns a Follower of a prefix. After a change it waits for as long as settle says before it asks for
// further ones, so that changes that come in a row cost one call. A call waits for changes no longer than wait: a watch may stay silent while
// changes are made, and the next call finds out.
func NewFollower(feed Feed, store *Storer, prefix string, settle func() time.Duration, wait time.Duration) *Follower {
	return &Follower{feed: feed, store: store, prefix: prefix, settle: settle, wait: wait}
}

// Follow keeps v up to date until ctx ends.
func (f *Follower) Follow(ctx context.Context, v View) {
	failures := 0
	for ctx.Err() == nil {
		snapshotCtx, cancel := timer.WithTimeout(ctx, f.store.clock, snapshotTimeout)
		entries, revision, out := f.feed.Snapshot(snapshotCtx, f.prefix)
		cancel()
		if out == Applied {
			failures = 0
			v.Reset(entries)
			f.changes(ctx, v, revision, &failures)
			if ctx.Err() == nil {
				v.Interrupted()
			}
		}
		failures++
		timer.Wait(ctx, f.store.clock, pause(failures, followMost))
	}
}

// changes applies changes until the history is gone. Failed calls are repeated from the same revision.
func (f *Follower) changes(ctx context.Context, v View, revision int64, failures *int) {
	for ctx.Err() == nil {
		callCtx, cancel := timer.WithTimeout(ctx, f.store.clock, f.wait+callTimeout)
		changes, next, out := f.feed.Changes(callCtx, f.prefix, revision, f.wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		switch out {
		case Applied:
			*failures = 0
			for _, c := range changes {
				v.Apply(c)
			}
			revision = next
			if len(changes) > 0 {
				timer.Wait(ctx, f.store.clock, f.settle())
			}
		case Conflict:
			return
		default:
			if *failures == 0 {
				v.Interrupted()
			}
			*failures++
			timer.Wait(ctx, f.store.clock, pause(*failures, followMost))
		}
	}
}
