package leaser_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/standin/memory"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// immediateStore is a store that answers calls about leases without delay.
type immediateStore struct{ memory.Store }

func (*immediateStore) Grant(context.Context, time.Duration) (storer.Lease, storer.Outcome) {
	return 1, storer.Applied
}

func (*immediateStore) KeepAlive(context.Context, storer.Lease) storer.Outcome { return storer.Applied }

func (p *immediateStore) Revoke(ctx context.Context, _ storer.Lease) storer.Outcome {
	held, _ := p.Get(ctx, "/duty/publish")
	return p.Commit(ctx, storer.Transaction{}.
		WithGuard(held.Key, held.Changed).WithPut("/revoked", nil, 0).WithDelete(held.Key))
}

// Guards against a data race between lead, which reads its term, and a renewal that replaces the term. The race
// detector finds it.
func TestLeadGetsItsOwnTerm(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	defer clock.Close()
	l := leaser.NewLeaser("a", &immediateStore{}, clock, leaser.WithTTL(3*time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	terms := 0
	l.Campaign(ctx, "publish", func(_ context.Context, term leaser.Term) {
		terms++
		c.Check(int(term.Fence), qt.Equals, terms)
		if terms == 50 {
			cancel()
		}
	})
	c.Assert(terms, qt.Equals, 50)
}
