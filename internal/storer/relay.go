package storer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// relayMost and relayBytes bound the changes that a Relay keeps for others.
const (
	relayMost  = 256
	relayBytes = 512 << 10
)

// ChangeBuffer keeps the last changes that this process has read at the key-value service, so that other processes read them
// here and not there.
//
// Invariants: no change between floor and revision is missing; it answers only while its last read is not older than the
// limit. Lock rank: container.RankStorer.
type ChangeBuffer struct {
	lock  container.Lock[container.Storer]
	clock timer.Service
	limit time.Duration
	// changes are those after floor, up to revision; size is their size in bytes.
	changes         []Change
	floor, revision int64
	size            int
	// read is the boot clock time of the last read; zero before the first.
	read time.Duration
	wake chan struct{}
}

// NewChangeBuffer returns a Relay whose last read may be as old as limit.
func NewChangeBuffer(clock timer.Service, limit time.Duration) *ChangeBuffer {
	return &ChangeBuffer{clock: clock, limit: limit}
}

// Reset takes over that all entries were read as of a revision.
func (r *ChangeBuffer) Reset(revision int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.restart(revision)
	r.read = r.clock.Boot()
	r.signal()
}

// restart forgets the changes up to a revision. The caller holds the lock.
func (r *ChangeBuffer) restart(revision int64) {
	r.changes, r.size = nil, 0
	r.floor, r.revision = revision, revision
}

// Add takes over the changes that were read after a revision up to another one.
func (r *ChangeBuffer) Add(after int64, changes []Change, revision int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if after != r.revision {
		// Those before were read elsewhere and are not kept here.
		r.restart(after)
	}
	r.read, r.revision = r.clock.Boot(), revision
	for _, c := range changes {
		r.changes = append(r.changes, c)
		r.size += len(c.Key) + len(c.Value)
	}
	for len(r.changes) > relayMost || r.size > relayBytes && len(r.changes) > 0 {
		first := r.changes[0]
		r.floor = first.Changed
		r.size -= len(first.Key) + len(first.Value)
		r.changes = r.changes[1:]
	}
	if len(changes) > 0 {
		r.signal()
	}
}

// Fail takes over that a read failed: from now on others read elsewhere, until the next read succeeds.
func (r *ChangeBuffer) Fail() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.read = 0
	r.signal()
}

// signal wakes those who wait for changes. The caller holds the lock.
func (r *ChangeBuffer) signal() {
	if r.wake != nil {
		close(r.wake)
		r.wake = nil
	}
}

// Changes waits for changes after a revision as Feed.Changes does. It is Unavailable when the last read is too old.
func (r *ChangeBuffer) Changes(ctx context.Context, after int64, wait time.Duration) ([]Change, int64, Outcome) {
	over := r.clock.After(min(wait, r.left()))
	defer over.Stop()
	for {
		found, revision, out, wake := r.since(after)
		if out != Applied || len(found) > 0 || wait <= 0 {
			return found, revision, out
		}
		select {
		case <-wake:
		case <-over.C():
			found, revision, out, _ = r.since(after)
			return found, revision, out
		case <-ctx.Done():
			return nil, 0, Unavailable
		}
	}
}

// left returns the time until the last read is too old.
func (r *ChangeBuffer) left() time.Duration {
	r.lock.Lock()
	defer r.lock.Unlock()
	return max(0, r.read+r.limit-r.clock.Boot())
}

// since returns the changes after a revision, the revision to go on from and a channel that is closed at the next change.
func (r *ChangeBuffer) since(after int64) ([]Change, int64, Outcome, <-chan struct{}) {
	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case r.read == 0 || r.clock.Boot()-r.read > r.limit:
		return nil, 0, Unavailable, nil
	case after < r.floor:
		return nil, 0, Conflict, nil
	}
	var found []Change
	for _, c := range r.changes {
		if c.Changed > after {
			found = append(found, c)
		}
	}
	if r.wake == nil {
		r.wake = make(chan struct{})
	}
	// A reader that is ahead of this process goes on from where it is.
	return found, max(after, r.revision), Applied, r.wake
}

// Source says where a SharedFeed reads changes: at another process, by Ask, or at the key-value service if ok is false.
type Source interface {
	// Address returns the process that reads for others at present.
	Address() (address string, ok bool)
	// ReadChanges reads the changes below a prefix at a process.
	ReadChanges(ctx context.Context, address, prefix string, after int64, wait time.Duration) ([]Change, int64, Outcome)
}

// SharedFeed is a Feed whose changes are read at another process while that one is up to date, and at the key-value
// service otherwise, so that the calls to the service do not grow with the processes of a region.
type SharedFeed struct {
	Feed
	source Source
	clock  timer.Service
	relay  *ChangeBuffer
	// alone is the boot clock time until which the service is asked, because the other process failed.
	alone time.Duration
	// shared is set while the last changes came from another process. One goroutine uses a SharedFeed.
	shared bool
}

const (
	// shareWait bounds one call to another process, so that a frozen one is noticed in time.
	shareWait = time.Second
	// aloneTime is how long the service is asked after another process failed.
	aloneTime = 5 * time.Second
)

// NewSharedFeed returns a Feed over a service that reads at a source where it can. What it reads at the service itself is
// passed on to the relay, from which others read.
func NewSharedFeed(f Feed, s Source, r *ChangeBuffer, clock timer.Service) *SharedFeed {
	return &SharedFeed{Feed: f, source: s, relay: r, clock: clock}
}

// Snapshot returns the entries below prefix.
func (f *SharedFeed) Snapshot(ctx context.Context, prefix string) ([]Entry, int64, Outcome) {
	entries, revision, out := f.Feed.Snapshot(ctx, prefix)
	if out == Applied {
		f.relay.Reset(revision)
	} else {
		f.relay.Fail()
	}
	return entries, revision, out
}

// Shared reports whether the last changes came from another process.
func (f *SharedFeed) Shared() bool { return f.shared }

// Changes waits for changes below prefix after a revision.
func (f *SharedFeed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, Outcome) {
	if address, ok := f.source.Address(); ok && f.clock.Boot() >= f.alone {
		changes, revision, out := f.source.ReadChanges(ctx, address, prefix, after, min(wait, shareWait))
		if out == Applied || out == Conflict {
			f.shared = true
			return changes, revision, out
		}
		if ctx.Err() != nil {
			return nil, 0, Unavailable
		}
		f.alone = f.clock.Boot() + aloneTime
	}
	f.shared = false
	changes, revision, out := f.Feed.Changes(ctx, prefix, after, wait)
	if out == Applied {
		f.relay.Add(after, changes, revision)
	} else {
		f.relay.Fail()
	}
	return changes, revision, out
}
