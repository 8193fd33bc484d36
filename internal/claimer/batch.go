package claimer

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/container"
)

const (
	// maxBatch bounds the claims of one transaction. It is the limit of the key-value service.
	maxBatch = 128
	// maxPending bounds the waiting claims. It covers two seconds at the peak rate of one entry if a tenth of the calls
	// need a claim.
	maxPending = 4096
)

// pendingClaim is a claim that waits for its batch.
type pendingClaim struct {
	claim Claim
	// reply is buffered for the one result, so that a worker never waits for a caller that gave up.
	reply chan Result
}

// batchQueue is a worker.Source that returns the waiting claims in batches.
//
// Invariant: no batch holds two claims of one key. Lock rank: container.RankClaimer.
type batchQueue struct {
	lock    container.Lock[container.Claimer]
	waiting container.Queue[pendingClaim]
	wake    chan struct{}
}

// push queues a claim. It reports false if the queue is full.
func (b *batchQueue) push(p pendingClaim) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.waiting.Len() >= maxPending {
		return false
	}
	b.waiting.Push(p)
	if b.wake != nil {
		close(b.wake)
		b.wake = nil
	}
	return true
}

// Next waits until at least one claim is queued or ctx ends, and returns a batch.
func (b *batchQueue) Next(ctx context.Context) ([]pendingClaim, bool) {
	for {
		batch, wake := b.tryNext()
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

func (b *batchQueue) tryNext() ([]pendingClaim, <-chan struct{}) {
	b.lock.Lock()
	defer b.lock.Unlock()
	var batch, duplicates []pendingClaim
	seen := make(map[Key]bool)
	for len(batch) < maxBatch {
		p, ok := b.waiting.Pop()
		if !ok {
			break
		}
		if seen[p.claim.Key] {
			duplicates = append(duplicates, p)
			continue
		}
		seen[p.claim.Key] = true
		batch = append(batch, p)
	}
	for _, p := range duplicates {
		b.waiting.Push(p)
	}
	if len(batch) == 0 && b.wake == nil {
		b.wake = make(chan struct{})
	}
	return batch, b.wake
}
