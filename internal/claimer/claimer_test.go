package claimer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/claimer"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// store is an in-memory claimer.Store that counts transactions. Each commit waits for gate.
type store struct {
	mu           sync.Mutex
	entries      map[string]storer.Entry
	commits      int
	largestBatch int
	unreadable   bool
	outcome      storer.Outcome
	gate         chan struct{}
}

func (s *store) Get(_ context.Context, key string) (storer.Entry, storer.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreadable {
		return storer.Entry{}, storer.Unavailable
	}
	return s.entries[key], storer.Applied
}

func (s *store) CompareAndSwap(ctx context.Context, key string, changed int64, value []byte, lease storer.Lease) storer.Outcome {
	return s.Commit(ctx, storer.Transaction{}.WithGuard(key, changed).WithPut(key, value, lease))
}

func (s *store) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcome != 0 {
		return s.outcome
	}
	s.commits++
	s.largestBatch = max(s.largestBatch, len(t.Puts))
	for _, g := range t.Guards {
		if s.entries[g.Key].Changed != g.Changed {
			return storer.Conflict
		}
	}
	for _, p := range t.Puts {
		s.entries[p.Key] = storer.Entry{Key: p.Key, Value: p.Value, Changed: int64(s.commits)}
	}
	return storer.Applied
}

func (*store) Grant(context.Context, time.Duration) (storer.Lease, storer.Outcome) {
	return 1, storer.Applied
}

func newClaimer(c *qt.C) (*store, *claimer.Claimer) {
	s := &store{entries: map[string]storer.Entry{}, gate: make(chan struct{})}
	cl := claimer.NewClaimer(s, codec.Claims{}, &timer.Manual{})
	c.Cleanup(cl.Close)
	return s, cl
}

func claim(key, request string, attempt int) claimer.Claim {
	return claimer.Claim{Key: claimer.NewKey("billing", key)}.
		WithAttempt(identifier.Attempt{Request: identifier.Request(request), Number: attempt}, time.Unix(1000, 0))
}

// queuedContext reports that a claim is queued: Claim asks for Done only when it waits for the result.
type queuedContext struct {
	context.Context //nolint:containedctx // the context is extended
	queued          *sync.WaitGroup
}

// Done counts the claim as queued.
func (q queuedContext) Done() <-chan struct{} {
	q.queued.Done()
	return q.Context.Done()
}

// Guards against a store write per claim, a transaction above the store's limit, and a claim that is refused because
// the key of another claim in its batch is taken.
func TestClaimsAreBatched(t *testing.T) {
	c := qt.New(t)
	s, cl := newClaimer(c)
	taken := claim("7", "earlier", 0)
	s.entries["/claim/"+string(taken.Key)] = storer.Entry{Value: codec.Claims{}.Encode(taken), Changed: 1}
	const claims = 1000
	results := make([]claimer.Result, claims)
	var done, queued sync.WaitGroup
	queued.Add(claims)
	for i := range claims {
		done.Go(func() {
			ctx := queuedContext{Context: context.Background(), queued: &queued}
			results[i] = cl.Claim(ctx, claim(fmt.Sprint(i), "r", i))
		})
	}
	// Nothing is committed before every claim is queued, so that the number of batches does not depend on scheduling.
	queued.Wait()
	// Each of the four workers commits one batch while the other claims wait.
	for range 4 {
		s.gate <- struct{}{}
	}
	close(s.gate)
	done.Wait()
	for i, r := range results {
		want := claimer.Held
		if i == 7 {
			want = claimer.Taken
			c.Assert(r.Claim.Attempt.Request, qt.Equals, identifier.Request("earlier"))
		}
		c.Assert(r.Status, qt.Equals, want, qt.Commentf("claim %d", i))
	}
	c.Assert(s.largestBatch <= 128, qt.IsTrue)
	c.Assert(s.commits < claims/10, qt.IsTrue, qt.Commentf("%d transactions", s.commits))
}

// Guards against two entries that both replace a claim, and against reporting "not run" if the claim can't be read or
// the store does not answer.
func TestReplaceRequiresTheStoredClaim(t *testing.T) {
	c := qt.New(t)
	s, cl := newClaimer(c)
	close(s.gate)
	ctx := context.Background()
	first := claim("k", "first", 0)
	c.Assert(cl.Claim(ctx, first).Status, qt.Equals, claimer.Held)
	c.Assert(cl.Replace(ctx, first, claim("k", "second", 0)).Status, qt.Equals, claimer.Held)
	lost := cl.Replace(ctx, first, claim("k", "third", 0))
	c.Assert(lost.Status, qt.Equals, claimer.Taken)
	c.Assert(lost.Claim.Attempt.Request, qt.Equals, identifier.Request("second"))
	s.outcome = storer.Unknown
	c.Assert(cl.Claim(ctx, claim("new", "silent", 0)).Status, qt.Equals, claimer.Unknown)
	s.outcome = storer.Unavailable
	c.Assert(cl.Claim(ctx, claim("new", "down", 0)).Status, qt.Equals, claimer.Unavailable)
	s.outcome = 0
	s.unreadable = true
	c.Assert(cl.Claim(ctx, claim("k", "fourth", 0)).Status, qt.Equals, claimer.Unknown)
	c.Assert(cl.Replace(ctx, first, claim("k", "fifth", 0)).Status, qt.Equals, claimer.Unknown)
}
