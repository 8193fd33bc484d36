// Package broadcaster sends what a process observed to its peers until each of them has received it.
package broadcaster

import (
	"context"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// gatherDelay is the time between an observation and its message, so that what follows at once goes with it, and what
	// is refuted at once is not sent.
	gatherDelay = 100 * time.Millisecond
	// retryPeriod is the time after which a peer that did not receive a message gets it again, and a peer that came since
	// gets its first.
	retryPeriod = 500 * time.Millisecond
	// sendTimeout bounds one call to a peer.
	sendTimeout = 500 * time.Millisecond
	// maxConcurrent is the number of peers that are called at a time.
	maxConcurrent = 16
)

// Message is what is sent to a peer.
type Message interface {
	// IsEmpty reports whether there is nothing to send.
	IsEmpty() bool
}

// Source holds the observations of a process.
type Source[M Message] interface {
	// Observed returns what was observed after a revision, and the present revision.
	Observed(after int) (M, int)
	// Changed returns a channel that is closed at the next observation, and perhaps at other changes.
	Changed() <-chan struct{}
	// IsEmpty reports whether nothing is known that a new peer would have to be told.
	IsEmpty() bool
}

// Send sends a message to the process at an address and reports whether that process received it.
type Send[M Message] func(ctx context.Context, address string, m M) bool

// Broadcaster sends the observations of one process to all others. A peer is told again what it did not acknowledge, and
// everything if it is a new start of its process. Messages may arrive twice and in any order.
type Broadcaster[M Message] struct {
	source Source[M]
	peers  func() []recorder.Registration
	send   Send[M]
	clock  timer.Service
	// acknowledged is the revision that each peer has received. Only Run uses it.
	acknowledged map[recorder.Owner]int
}

// NewBroadcaster returns a Broadcaster. peers returns the other processes that are registered now.
func NewBroadcaster[M Message](source Source[M], peers func() []recorder.Registration, send Send[M], clock timer.Service) *Broadcaster[M] {
	return &Broadcaster[M]{source: source, peers: peers, send: send, clock: clock, acknowledged: make(map[recorder.Owner]int)}
}

// Run broadcasts until ctx ends. While nothing is known it only waits.
func (b *Broadcaster[M]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := b.source.Changed()
		b.round(ctx)
		if !b.await(ctx, changed) {
			return
		}
		timer.Wait(ctx, b.clock, gatherDelay)
	}
}

// await waits for an observation, or for the next round for peers that have missed one. It returns false if ctx ends.
func (b *Broadcaster[M]) await(ctx context.Context, changed <-chan struct{}) bool {
	var retry <-chan time.Time
	if !b.source.IsEmpty() {
		t := b.clock.After(retryPeriod)
		defer t.Stop()
		retry = t.C()
	}
	select {
	case <-changed:
	case <-retry:
	case <-ctx.Done():
		return false
	}
	return true
}

// delivery is the outcome of a message to a peer.
type delivery struct {
	peer     recorder.Owner
	revision int
	received bool
}

// round sends to each peer what it has not acknowledged.
func (b *Broadcaster[M]) round(ctx context.Context) {
	peers := b.peers()
	b.forget(peers)
	results := make(chan delivery, len(peers))
	slots := make(chan struct{}, maxConcurrent)
	var sending sync.WaitGroup
	for _, p := range peers {
		message, revision := b.source.Observed(b.acknowledged[p.Owner])
		if message.IsEmpty() {
			b.acknowledged[p.Owner] = revision
			continue
		}
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := timer.WithTimeout(ctx, b.clock, sendTimeout)
			defer cancel()
			results <- delivery{peer: p.Owner, revision: revision, received: b.send(ctx, p.Address, message)}
		})
	}
	sending.Wait()
	close(results)
	for r := range results {
		if r.received {
			b.acknowledged[r.peer] = r.revision
		}
	}
}

// forget drops what is known of processes that are gone.
func (b *Broadcaster[M]) forget(peers []recorder.Registration) {
	present := make(map[recorder.Owner]int, len(peers))
	for _, p := range peers {
		if revision, ok := b.acknowledged[p.Owner]; ok {
			present[p.Owner] = revision
		}
	}
	b.acknowledged = present
}
