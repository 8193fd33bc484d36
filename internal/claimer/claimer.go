package claimer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

const (
	// DefaultRetention is the minimum time for which a claim is stored.
	DefaultRetention = 24 * time.Hour
	// leaseRotation is how long a lease is used for new claims. With one lease per hour, grants add almost nothing to
	// the write rate.
	leaseRotation = time.Hour
	// maxTransactions bounds the transactions in flight. Claims that arrive meanwhile are gathered into the next
	// batches.
	maxTransactions = 4
	// maxReads bounds the reads of one claim.
	maxReads = 3
)

// Store is the part of the key-value service that a Claimer uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	CompareAndSwap(ctx context.Context, key string, changed int64, value []byte, lease storer.Lease) storer.Outcome
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
	Grant(ctx context.Context, ttl time.Duration) (storer.Lease, storer.Outcome)
}

// Codec encodes and decodes claims.
type Codec interface {
	Encode(c Claim) []byte
	Decode(data []byte) (Claim, error)
}

// Claimer stores claims. Its workers combine concurrent claims into transactions.
//
// Lock rank: container.RankClaimer.
type Claimer struct {
	store Store
	codec Codec
	clock timer.Service
	queue *batchQueue
	pool  *worker.Pool[[]pendingClaim]

	lock           container.Lock[container.Claimer]
	lease          storer.Lease
	leaseGrantedAt time.Duration
}

// NewClaimer returns a Claimer with running workers. Close ends them.
func NewClaimer(store Store, codec Codec, clock timer.Service) *Claimer {
	c := &Claimer{store: store, codec: codec, clock: clock, queue: &batchQueue{}}
	c.pool = worker.NewPool(maxTransactions, c.queue, c.commit)
	return c
}

// Close ends the workers. Waiting claims get no result.
func (c *Claimer) Close() { c.pool.Close() }

// Claim stores a claim unless one with the same key is stored.
func (c *Claimer) Claim(ctx context.Context, claim Claim) Result {
	p := pendingClaim{claim: claim, reply: make(chan Result, 1)}
	if !c.queue.push(p) {
		return Result{Status: Unavailable}
	}
	select {
	case r := <-p.reply:
		return r
	case <-ctx.Done():
		return Result{Status: Unavailable}
	}
}

// Replace stores the claim to in place of the claim from. It is for calls whose attempt in from is known never to run.
func (c *Claimer) Replace(ctx context.Context, from, to Claim) Result {
	lease, out := c.currentLease(ctx)
	if out != storer.Applied {
		return Result{Status: Unknown}
	}
	stored, changed, ok := c.read(ctx, from.Key)
	switch {
	case !ok:
		return Result{Status: Unknown}
	case changed != 0 && stored.Attempt != from.Attempt:
		return Result{Status: Taken, Claim: stored}
	}
	switch c.store.CompareAndSwap(ctx, to.Key.path(), changed, c.codec.Encode(to), lease) {
	case storer.Applied:
		return Result{Status: Held, Claim: to}
	case storer.Conflict:
		return c.readConflicting(ctx, to)
	default:
		return Result{Status: Unknown}
	}
}

// commit stores a batch. One claim whose key is taken fails the whole transaction, so the batch is then halved until
// that claim is alone in its transaction.
func (c *Claimer) commit(ctx context.Context, batch []pendingClaim) {
	lease, out := c.currentLease(ctx)
	if out != storer.Applied {
		replyAll(batch, Result{Status: statusOfFailure(out)})
		return
	}
	var t storer.Transaction
	for _, p := range batch {
		t = t.WithGuard(p.claim.Key.path(), 0).WithPut(p.claim.Key.path(), c.codec.Encode(p.claim), lease)
	}
	switch out = c.store.Commit(ctx, t); {
	case out == storer.Applied:
		replyAll(batch, Result{Status: Held})
	case out == storer.Conflict && len(batch) == 1:
		replyAll(batch, c.readConflicting(ctx, batch[0].claim))
	case out == storer.Conflict:
		c.commit(ctx, batch[:len(batch)/2])
		c.commit(ctx, batch[len(batch)/2:])
	default:
		replyAll(batch, Result{Status: statusOfFailure(out)})
	}
}

// statusOfFailure returns the status of a claim after a write that is not known to be applied.
func statusOfFailure(out storer.Outcome) Status {
	if out == storer.Unavailable {
		return Unavailable
	}
	return Unknown
}

// readConflicting returns the status of claim after its write conflicted, from the stored claim with the same key. If
// there is none, the conflict was due to the lease.
func (c *Claimer) readConflicting(ctx context.Context, claim Claim) Result {
	stored, changed, ok := c.read(ctx, claim.Key)
	switch {
	case !ok:
		return Result{Status: Unknown}
	case changed == 0:
		c.dropLease()
		return Result{Status: Unavailable}
	case stored.Attempt == claim.Attempt:
		return Result{Status: Held, Claim: stored}
	default:
		return Result{Status: Taken, Claim: stored}
	}
}

// read returns the stored claim of a key and its change revision, which is zero if there is none. A read whose answer
// was lost is repeated, because reads change nothing.
func (c *Claimer) read(ctx context.Context, k Key) (Claim, int64, bool) {
	for range maxReads {
		entry, out := c.store.Get(ctx, k.path())
		switch {
		case out == storer.Applied && entry.Changed == 0:
			return Claim{}, 0, true
		case out == storer.Applied:
			stored, err := c.codec.Decode(entry.Value)
			return stored, entry.Changed, err == nil
		case out == storer.Unavailable:
			return Claim{}, 0, false
		}
	}
	return Claim{}, 0, false
}

// currentLease returns the lease for new claims. A lease outlasts its last claim by DefaultRetention.
func (c *Claimer) currentLease(ctx context.Context) (storer.Lease, storer.Outcome) {
	c.lock.Lock()
	lease, age := c.lease, c.clock.Monotonic()-c.leaseGrantedAt
	c.lock.Unlock()
	if lease != 0 && age < leaseRotation {
		return lease, storer.Applied
	}
	now := c.clock.Monotonic()
	lease, out := c.store.Grant(ctx, DefaultRetention+leaseRotation)
	if out != storer.Applied {
		return 0, out
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lease, c.leaseGrantedAt = lease, now
	return lease, out
}

func (c *Claimer) dropLease() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lease = 0
}

func replyAll(batch []pendingClaim, r Result) {
	for _, p := range batch {
		p.reply <- r
	}
}
