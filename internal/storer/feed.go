package storer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// Change is one change of a key below a prefix.
type Change struct {
	Entry
	// Removed is set if the key was deleted.
	Removed bool
}

// Feed is the part of a key-value service that reports changes below a prefix.
type Feed interface {
	// Snapshot returns the entries below prefix and the revision from which Changes continues without a gap.
	Snapshot(ctx context.Context, prefix string) (entries []Entry, revision int64, out Outcome)
	// Changes waits up to wait for changes after a revision, and returns them with the revision to continue from.
	// Conflict means that the service no longer has this history and that a snapshot is needed.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, revision int64, out Outcome)
}

// View holds a local copy of the entries that a Follower reads. One goroutine calls its methods.
type View interface {
	// Reset replaces the contents of the view by all entries below the prefix.
	Reset(entries []Entry)
	// Apply applies one change.
	Apply(c Change)
	// Interrupted reports that reads fail, so that the view may be out of date from now on.
	Interrupted()
	// Resumed reports that reads of changes work again after an interruption, whether or not there are changes.
	Resumed()
}

// Follower keeps a view of the keys below a prefix up to date.
type Follower struct {
	feed       Feed
	store      *Storer
	prefix     string
	batchDelay func() time.Duration
	maxWait    time.Duration
}

const (
	// snapshotTimeout bounds the read of all entries.
	snapshotTimeout = 3 * time.Second
	// followPause is the first pause after a failed call. The pause doubles up to maxFollowPause, so that a view is
	// up to date again within that time after the service has recovered.
	followPause    = 100 * time.Millisecond
	maxFollowPause = 800 * time.Millisecond
)

// NewFollower returns a Follower of a prefix. After a change it waits for batchDelay before it reads further changes,
// so that changes in quick succession cost one call. A call waits for changes no longer than maxWait: a watch may
// report nothing although changes were made, and the next call reads them.
func NewFollower(feed Feed, store *Storer, prefix string, batchDelay func() time.Duration, maxWait time.Duration) *Follower {
	return &Follower{feed: feed, store: store, prefix: prefix, batchDelay: batchDelay, maxWait: maxWait}
}

// Follow keeps v up to date until ctx ends: it applies a snapshot and then the changes after it, and takes a new
// snapshot when the service no longer has the history.
func (f *Follower) Follow(ctx context.Context, v View) {
	failures := 0
	for ctx.Err() == nil {
		snapshotCtx, cancel := timer.WithTimeout(ctx, f.store.clock, snapshotTimeout)
		entries, revision, out := f.feed.Snapshot(snapshotCtx, f.prefix)
		cancel()
		switch {
		case out == Applied:
			failures = 0
			v.Reset(entries)
			f.applyChanges(ctx, v, revision, &failures)
			// The service has dropped the history. It is not away, so the view is not interrupted.
			timer.Wait(ctx, f.store.clock, jitteredPause(1, maxFollowPause))
			continue
		case ctx.Err() == nil && failures == 0:
			v.Interrupted()
		}
		failures++
		timer.Wait(ctx, f.store.clock, jitteredPause(failures, maxFollowPause))
	}
}

// applyChanges applies changes until the service no longer has the history after the revision. Failed calls are
// repeated from the same revision.
func (f *Follower) applyChanges(ctx context.Context, v View, revision int64, failures *int) {
	for ctx.Err() == nil {
		callCtx, cancel := timer.WithTimeout(ctx, f.store.clock, f.maxWait+callTimeout)
		changes, next, out := f.feed.Changes(callCtx, f.prefix, revision, f.maxWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		switch out {
		case Applied:
			if *failures > 0 {
				v.Resumed()
			}
			*failures = 0
			for _, c := range changes {
				v.Apply(c)
			}
			revision = next
			if len(changes) > 0 {
				timer.Wait(ctx, f.store.clock, f.batchDelay())
			}
		case Conflict:
			return
		default:
			if *failures == 0 {
				v.Interrupted()
			}
			*failures++
			timer.Wait(ctx, f.store.clock, jitteredPause(*failures, maxFollowPause))
		}
	}
}
