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
	// DefaultRetention is how long a claim is kept at least.
	DefaultRetention = 24 * time.Hour
	// rotation is how long one lease takes new claims. A lease per hour keeps leases out of the write rate.
	rotation = time.Hour
	// writers bounds the transactions in flight; while they are, the next batches gather.
	writers = 4
	// readTries bounds the reads of one claim.
	readTries = 3
)

// Store is the part of the key-value service that claims use.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	CompareAndSwap(ctx context.Context, key string, changed int64, value []byte, lease storer.Lease) storer.Outcome
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
	Grant(ctx context.Context, ttl time.Duration) (storer.Lease, storer.Outcome)
}

// Form encodes and decodes claims.
type Form interface {
	Encode(c Claim) []byte
	Decode(data []byte) (Claim, error)
}

// Claimer writes claims. Its workers gather concurrent claims into transactions.
//
// Lock rank: container.RankClaimer.
type Claimer struct {
	store Store
	form  Form
	clock timer.Service
	queue *batches
	pool  *worker.Pool[[]ask]

	lock    container.Lock[container.Claimer]
	lease   storer.Lease
	granted time.Duration
}

// NewClaimer starts the workers of a Claimer. Close ends them.
func NewClaimer(store Store, form Form, clock timer.Service) *Claimer {
	c := &Claimer{store: store, form: form, clock: clock, queue: &batches{}}
	c.pool = worker.NewPool(writers, c.queue, c.commit)
	return c
}

// Close ends the workers. Claims that still wait get no result.
func (c *Claimer) Close() { c.pool.Close() }

// Claim stores a claim unless there is one of its key.
func (c *Claimer) Claim(ctx context.Context, claim Claim) Result {
	a := ask{claim: claim, reply: make(chan Result, 1)}
	if !c.queue.offer(a) {
		return Result{Status: Unavailable}
	}
	select {
	case r := <-a.reply:
		return r
	case <-ctx.Done():
		return Result{Status: Unavailable}
	}
}

// Move replaces the stored claim from by to, for a call whose attempt under from never runs.
func (c *Claimer) Move(ctx context.Context, from, to Claim) Result {
	lease, out := c.leaseFor(ctx)
	if out != storer.Applied {
		return Result{Status: Hidden}
	}
	stored, changed, ok := c.read(ctx, from.Key)
	switch {
	case !ok:
		return Result{Status: Hidden}
	case changed != 0 && stored.Attempt != from.Attempt:
		return Result{Status: Taken, Claim: stored}
	}
	switch c.store.CompareAndSwap(ctx, to.Key.path(), changed, c.form.Encode(to), lease) {
	case storer.Applied:
		return Result{Status: Held, Claim: to}
	case storer.Conflict:
		return c.other(ctx, to)
	default:
		return Result{Status: Hidden}
	}
}

// commit stores a batch. One claim whose key is taken fails the whole transaction, so the batch is then halved until
// that claim stands alone.
func (c *Claimer) commit(ctx context.Context, batch []ask) {
	lease, out := c.leaseFor(ctx)
	if out != storer.Applied {
		answer(batch, Result{Status: refused(out)})
		return
	}
	var t storer.Transaction
	for _, a := range batch {
		t = t.WithGuard(a.claim.Key.path(), 0).WithPut(a.claim.Key.path(), c.form.Encode(a.claim), lease)
	}
	switch out = c.store.Commit(ctx, t); {
	case out == storer.Applied:
		answer(batch, Result{Status: Held})
	case out == storer.Conflict && len(batch) == 1:
		answer(batch, c.other(ctx, batch[0].claim))
	case out == storer.Conflict:
		c.commit(ctx, batch[:len(batch)/2])
		c.commit(ctx, batch[len(batch)/2:])
	default:
		answer(batch, Result{Status: refused(out)})
	}
}

// refused is how a claim stands after a write that is not known to be applied.
func refused(out storer.Outcome) Status {
	if out == storer.Unavailable {
		return Unavailable
	}
	return Hidden
}

// other returns the claim that stands in the way of claim. If there is none, it was the lease that was refused.
func (c *Claimer) other(ctx context.Context, claim Claim) Result {
	stored, changed, ok := c.read(ctx, claim.Key)
	switch {
	case !ok:
		return Result{Status: Hidden}
	case changed == 0:
		c.dropLease()
		return Result{Status: Unavailable}
	case stored.Attempt == claim.Attempt:
		return Result{Status: Held, Claim: stored}
	default:
		return Result{Status: Taken, Claim: stored}
	}
}

// read returns the stored claim of a key and when it was changed; zero means that there is none. A read whose answer was
// lost is repeated, since reads change nothing.
func (c *Claimer) read(ctx context.Context, k Key) (Claim, int64, bool) {
	for range readTries {
		entry, out := c.store.Get(ctx, k.path())
		switch {
		case out == storer.Applied && entry.Changed == 0:
			return Claim{}, 0, true
		case out == storer.Applied:
			stored, err := c.form.Decode(entry.Value)
			return stored, entry.Changed, err == nil
		case out == storer.Unavailable:
			return Claim{}, 0, false
		}
	}
	return Claim{}, 0, false
}

// leaseFor returns the lease for new claims. It outlives them by the retention.
func (c *Claimer) leaseFor(ctx context.Context) (storer.Lease, storer.Outcome) {
	c.lock.Lock()
	lease, age := c.lease, c.clock.Boot()-c.granted
	c.lock.Unlock()
	if lease != 0 && age < rotation {
		return lease, storer.Applied
	}
	now := c.clock.Boot()
	lease, out := c.store.Grant(ctx, DefaultRetention+rotation)
	if out != storer.Applied {
		return 0, out
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lease, c.granted = lease, now
	return lease, out
}

func (c *Claimer) dropLease() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lease = 0
}

func answer(batch []ask, r Result) {
	for _, a := range batch {
		a.reply <- r
	}
}
