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

// prompt is a store that answers leases at once.
type prompt struct{ memory.Store }

func (*prompt) Grant(context.Context, time.Duration) (storer.Lease, storer.Outcome) {
	return 1, storer.Applied
}

func (*prompt) KeepAlive(context.Context, storer.Lease) storer.Outcome { return storer.Applied }

func (p *prompt) Revoke(ctx context.Context, _ storer.Lease) storer.Outcome {
	held, _ := p.Get(ctx, "/duty/publish")
	return p.Commit(ctx, storer.Transaction{}.
		WithGuard(held.Key, held.Changed).WithPut("/revoked", nil, 0).WithDelete(held.Key))
}

// Guards against a leader that reads its term while a renewal replaces it. The race detector finds that.
func TestLeadGetsItsOwnTerm(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	defer clock.Close()
	l := leaser.NewLeaser("a", &prompt{}, clock, leaser.WithTTL(3*time.Millisecond))
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
