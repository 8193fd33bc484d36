package attributor

import (
	"context"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// saveInterval is the shortest time between two saves. An entry that is lost loses at most the origins of that time.
	saveInterval = 50 * time.Millisecond
	// saveRetryPause is the time after which a failed save is repeated.
	saveRetryPause = 200 * time.Millisecond
	// acceptTimeout bounds the wait for a save.
	acceptTimeout = 500 * time.Millisecond
	// maxQueued is the number of origins that wait to be stored; the oldest are given up then.
	maxQueued = 1 << 16
)

// batch holds origins that wait to be stored. The zero value is empty.
type batch struct {
	all []Attribution
	// stored is closed once all of them are durable.
	stored chan struct{}
}

// add adds origins and returns the channel that is closed once they are stored.
func (b *batch) add(all []Attribution) <-chan struct{} {
	if b.stored == nil {
		b.stored = make(chan struct{})
	}
	b.all = append(b.all, all...)
	if excess := len(b.all) - maxQueued; excess > 0 {
		b.all = b.all[excess:]
	}
	return b.stored
}

// Run stores origins until ctx ends.
func (a *Attributor) Run(ctx context.Context) {
	ticks := a.clock.Every(forgetPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-a.wake:
			pause := saveInterval
			if !a.save(ctx) {
				pause = saveRetryPause
			}
			timer.Wait(ctx, a.clock, pause)
		case <-ticks.C():
			a.forget()
		case <-ctx.Done():
			return
		}
	}
}

// save empties the queues: the origins of this process go to the peer if there is one, all others to the archive. Origins that
// could not be stored are queued again.
func (a *Attributor) save(ctx context.Context) bool {
	own, accepted := a.take()
	if len(own.all) > 0 && a.peer.Save(ctx, own.all) {
		close(own.stored)
		own = batch{}
	}
	rest := slices.Concat(own.all, accepted.all)
	if len(rest) == 0 {
		return true
	}
	if !a.archive.Save(ctx, rest) {
		a.putBack(own, accepted)
		return false
	}
	for _, b := range []batch{own, accepted} {
		if b.stored != nil {
			close(b.stored)
		}
	}
	return true
}

// take empties the queues.
func (a *Attributor) take() (own, accepted batch) {
	a.lock.Lock()
	defer a.lock.Unlock()
	own, accepted = a.own, a.accepted
	a.own, a.accepted = batch{}, batch{}
	return own, accepted
}

// putBack queues batches again that could not be stored.
func (a *Attributor) putBack(own, accepted batch) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.own, a.accepted = a.own.after(own), a.accepted.after(accepted)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// after returns b with the origins of an earlier batch before its own. Callers that wait for the earlier batch time out.
func (b batch) after(earlier batch) batch {
	if len(earlier.all) == 0 {
		return b
	}
	later := b.all
	if b.stored == nil {
		b.stored = earlier.stored
	}
	b.all = nil
	b.add(append(earlier.all, later...))
	return b
}
