package claimer

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/container"
)

const (
	// batchSize bounds the claims of one transaction, which is the limit of the key-value service.
	batchSize = 128
	// queueSize bounds the claims that wait: two seconds of the peak rate of one entry at a tenth of its calls.
	queueSize = 4096
)

// ask is a claim that waits for its batch.
type ask struct {
	claim Claim
	// reply has room for the one result, so that a worker never waits for an asker that is gone.
	reply chan Result
}

// batches is a worker.Source that hands out what has gathered since a worker was last free.
//
// Invariant: no batch holds two claims of one key. Lock rank: container.RankClaimer.
type batches struct {
	lock    container.Lock[container.Claimer]
	waiting container.Queue[ask]
	wake    chan struct{}
}

// offer queues an ask. It reports false when the queue is full.
func (b *batches) offer(a ask) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.waiting.Len() >= queueSize {
		return false
	}
	b.waiting.Push(a)
	if b.wake != nil {
		close(b.wake)
		b.wake = nil
	}
	return true
}

// Next waits for at least one ask until ctx ends.
func (b *batches) Next(ctx context.Context) ([]ask, bool) {
	for {
		batch, wake := b.take()
		if len(batch) > 0 {
			return batch, true
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (b *batches) take() ([]ask, <-chan struct{}) {
	b.lock.Lock()
	defer b.lock.Unlock()
	var batch, later []ask
	seen := make(map[Key]bool)
	for len(batch) < batchSize {
		a, ok := b.waiting.Pop()
		if !ok {
			break
		}
		if seen[a.claim.Key] {
			later = append(later, a)
			continue
		}
		seen[a.claim.Key] = true
		batch = append(batch, a)
	}
	for _, a := range later {
		b.waiting.Push(a)
	}
	if len(batch) == 0 && b.wake == nil {
		b.wake = make(chan struct{})
	}
	return batch, b.wake
}
