package storer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// maxBufferedChanges and maxBufferedBytes bound the changes that a ChangeBuffer keeps.
const (
	maxBufferedChanges = 256
	maxBufferedBytes   = 512 << 10
)

// ChangeBuffer keeps the latest changes that this process has read from the key-value service, so that other processes
// can read them from this process instead of the service.
//
// Invariants: no change between floor and revision is missing; readers are answered only while the last read is not
// older than maxAge. Lock rank: container.RankStorer.
type ChangeBuffer struct {
	lock   container.Lock[container.Storer]
	clock  timer.Service
	maxAge time.Duration
	// changes are those after floor, up to revision; size is their size in bytes.
	changes         []Change
	floor, revision int64
	size            int
	// lastRead is the monotonic time of the last successful read; zero before the first read and after a failed one.
	lastRead time.Duration
	// changed is closed at the next change; nil if no reader waits for it.
	changed chan struct{}
}

// NewChangeBuffer returns a ChangeBuffer that answers readers while its last read is not older than maxAge.
func NewChangeBuffer(clock timer.Service, maxAge time.Duration) *ChangeBuffer {
	return &ChangeBuffer{clock: clock, maxAge: maxAge}
}

// Reset records that all entries were read as of a revision, and discards the buffered changes.
func (b *ChangeBuffer) Reset(revision int64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.discard(revision)
	b.lastRead = b.clock.Monotonic()
	b.signal()
}

// discard drops all buffered changes and continues at a revision. The caller holds the lock.
func (b *ChangeBuffer) discard(revision int64) {
	b.changes, b.size = nil, 0
	b.floor, b.revision = revision, revision
}

// Add appends the changes that were read after one revision, up to another one.
func (b *ChangeBuffer) Add(after int64, changes []Change, revision int64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if after != b.revision {
		// This process has not read the changes in between, because it read them at another process.
		b.discard(after)
	}
	b.lastRead, b.revision = b.clock.Monotonic(), revision
	for _, c := range changes {
		b.changes = append(b.changes, c)
		b.size += len(c.Key) + len(c.Value)
	}
	for len(b.changes) > maxBufferedChanges || b.size > maxBufferedBytes && len(b.changes) > 0 {
		first := b.changes[0]
		b.floor = first.Changed
		b.size -= len(first.Key) + len(first.Value)
		b.changes = b.changes[1:]
	}
	if len(changes) > 0 {
		b.signal()
	}
}

// RecordFailure records that a read failed: readers get Unavailable until the next read succeeds.
func (b *ChangeBuffer) RecordFailure() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.lastRead = 0
	b.signal()
}

// signal wakes the readers that wait for changes. The caller holds the lock.
func (b *ChangeBuffer) signal() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Changes waits for changes after a revision as Feed.Changes does. The outcome is Unavailable if the last read is too
// old.
func (b *ChangeBuffer) Changes(ctx context.Context, after int64, wait time.Duration) ([]Change, int64, Outcome) {
	timeout := b.clock.After(min(wait, b.remaining()))
	defer timeout.Stop()
	for {
		found, revision, out, changed := b.changesAfter(after)
		if out != Applied || len(found) > 0 || wait <= 0 {
			return found, revision, out
		}
		select {
		case <-changed:
		case <-timeout.C():
			found, revision, out, _ = b.changesAfter(after)
			return found, revision, out
		case <-ctx.Done():
			return nil, 0, Unavailable
		}
	}
}

// remaining returns the time until the last read is too old.
func (b *ChangeBuffer) remaining() time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	return max(0, b.lastRead+b.maxAge-b.clock.Monotonic())
}

// changesAfter returns the changes after a revision, the revision to continue from and a channel that is closed at the
// next change.
func (b *ChangeBuffer) changesAfter(after int64) ([]Change, int64, Outcome, <-chan struct{}) {
	b.lock.Lock()
	defer b.lock.Unlock()
	switch {
	case b.lastRead == 0 || b.clock.Monotonic()-b.lastRead > b.maxAge:
		return nil, 0, Unavailable, nil
	case after < b.floor:
		return nil, 0, Conflict, nil
	}
	var found []Change
	for _, c := range b.changes {
		if c.Changed > after {
			found = append(found, c)
		}
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	// A reader that is ahead of this process continues from its own revision.
	return found, max(after, b.revision), Applied, b.changed
}

// Source selects the process at which a SharedFeed reads changes, and reads them there.
type Source interface {
	// Address returns the address of the process that currently reads for others; ok is false if there is none, and
	// the key-value service is read instead.
	Address() (address string, ok bool)
	// ReadChanges reads the changes below a prefix at the process with the given address.
	ReadChanges(ctx context.Context, address, prefix string, after int64, wait time.Duration) ([]Change, int64, Outcome)
}

// SharedFeed is a Feed that reads changes at another process while that process is up to date, and at the key-value
// service otherwise, so that the calls to the service do not grow with the number of processes in a region.
type SharedFeed struct {
	Feed
	source Source
	clock  timer.Service
	buffer *ChangeBuffer
	// directUntil is the monotonic time until which the service is read, because a read at the other process failed.
	directUntil time.Duration
	// fromPeer is set if the last changes came from another process. One goroutine uses a SharedFeed.
	fromPeer bool
}

const (
	// maxPeerWait bounds the wait of one call to another process, so that a process that hangs is noticed in time.
	maxPeerWait = time.Second
	// directPeriod is how long the service is read after a read at another process failed.
	directPeriod = 5 * time.Second
)

// NewSharedFeed returns a Feed that reads at the source if possible and at f otherwise. It adds the changes that it
// reads at f to the buffer, from which other processes read.
func NewSharedFeed(f Feed, s Source, b *ChangeBuffer, clock timer.Service) *SharedFeed {
	return &SharedFeed{Feed: f, source: s, buffer: b, clock: clock}
}

// Snapshot returns the entries below prefix.
func (f *SharedFeed) Snapshot(ctx context.Context, prefix string) ([]Entry, int64, Outcome) {
	entries, revision, out := f.Feed.Snapshot(ctx, prefix)
	if out == Applied {
		f.buffer.Reset(revision)
	} else {
		f.buffer.RecordFailure()
	}
	return entries, revision, out
}

// Shared reports whether the last changes came from another process.
func (f *SharedFeed) Shared() bool { return f.fromPeer }

// Changes waits for changes below prefix after a revision.
func (f *SharedFeed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, Outcome) {
	if address, ok := f.source.Address(); ok && f.clock.Monotonic() >= f.directUntil {
		changes, revision, out := f.source.ReadChanges(ctx, address, prefix, after, min(wait, maxPeerWait))
		switch {
		case out == Applied:
			f.fromPeer = true
			return changes, revision, out
		case ctx.Err() != nil:
			return nil, 0, Unavailable
		case out != Conflict:
			f.directUntil = f.clock.Monotonic() + directPeriod
		}
		// After a Conflict the history of the other process begins too late, because it has just started. The service still
		// has what this process lacks; the next read is made at the other process again.
	}
	f.fromPeer = false
	changes, revision, out := f.Feed.Changes(ctx, prefix, after, wait)
	if out == Applied {
		f.buffer.Add(after, changes, revision)
	} else {
		f.buffer.RecordFailure()
	}
	return changes, revision, out
}
