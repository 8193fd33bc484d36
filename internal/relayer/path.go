package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Path knows whether this process reaches the key-value service itself.
//
// Invariants: the path is lost from a call without an answer until one has an answer; a call that began before the path was
// restored does not lose it again; calls are relayed only while it is lost. Lock rank: container.RankStorer.
type Path struct {
	lock  container.Lock[container.Storer]
	clock timer.Service
	lost  bool
	// relayed is set while the path is lost and another process has answered a call.
	relayed  bool
	restored time.Duration
	// losing is closed when the path is lost; nil if nobody waits for it.
	losing chan struct{}
}

// NewPath returns a Path that is not lost.
func NewPath(clock timer.Service) *Path { return &Path{clock: clock} }

// Lost reports whether calls have to go through another process.
func (p *Path) Lost() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.lost
}

// Relayed reports whether the path is lost and another process answers calls.
func (p *Path) Relayed() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.relayed
}

// relay records that another process has answered a call, and reports whether it is the first one since the path was lost.
func (p *Path) relay() (first bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	first = p.lost && !p.relayed
	p.relayed = p.lost
	return first
}

// losingChannel returns a channel that is closed when the path is lost.
func (p *Path) losingChannel() <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.losing == nil {
		p.losing = make(chan struct{})
		if p.lost {
			close(p.losing)
		}
	}
	return p.losing
}

// lose records that a call that began at a time got no answer in time.
func (p *Path) lose(began time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.lost || began < p.restored {
		return
	}
	p.lost = true
	if p.losing != nil {
		close(p.losing)
	}
}

// restore records an answer and reports whether calls were relayed before.
func (p *Path) restore() (wasRelayed bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.lost {
		return false
	}
	wasRelayed = p.relayed
	p.lost, p.relayed, p.losing, p.restored = false, false, nil, p.clock.Monotonic()
	return wasRelayed
}

// record records the answer to a call of this process that began at a time, and reports whether it ended a time of
// relayed calls. A call that its caller cancelled shows nothing.
func (p *Path) record(ctx context.Context, began time.Duration, a Answer) (wasRelayed bool) {
	switch {
	case a.answered():
		return p.restore()
	case cancelled(ctx):
	default:
		p.lose(began)
	}
	return false
}

// cancelled reports whether ctx ended before its deadline.
func cancelled(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// recordForPeer records the answer to a call that was made for another process. An unknown outcome shows nothing: it may be the
// other process that waits no longer.
func (p *Path) recordForPeer(began time.Duration, a Answer) {
	if a.Outcome == storer.Unavailable {
		p.lose(began)
	}
}
