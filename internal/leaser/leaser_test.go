package leaser_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/standin/store"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against a term that is valid at or after its end, or that is valid without a fencing number.
func TestTermValidity(t *testing.T) {
	var out strings.Builder
	term := leaser.Term{Fence: 3, ValidUntil: 5 * time.Second, SettledFrom: 2 * time.Second}
	for _, now := range []time.Duration{0, 2 * time.Second, 5*time.Second - 1, 5 * time.Second} {
		fmt.Fprintf(&out, "at %v: valid %v, settled %v, without fence %v\n",
			now, term.Valid(now), term.Settled(now), leaser.Term{ValidUntil: term.ValidUntil}.Valid(now))
	}
	goldie.New(t).Assert(t, "term", []byte(out.String()))
}

// Guards against two holders of one duty: when a holder can't reach the key-value service, its term must end before the
// next term begins, and the next term must have a larger fencing number.
func TestOneHolderAtATime(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	defer clock.Close()
	kv := store.NewStore(clock)
	healthy := httptest.NewServer(kv.Handler())
	defer healthy.Close()
	cut := httptest.NewServer(kv.Handler())
	defer cut.Close()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var campaigns sync.WaitGroup
	defer campaigns.Wait()
	defer cancel()
	terms := make(chan leaser.Term, 4)
	ended := make(chan time.Time, 4)
	campaign := func(node, address string) *leaser.Leaser {
		l := leaser.NewLeaser(identifier.Node(node), storer.NewStorer(kvclient.NewDriver(address), clock), clock, leaser.WithTTL(time.Second))
		campaigns.Go(func() {
			l.Campaign(ctx, "publish", func(ctx context.Context, t leaser.Term) {
				terms <- t
				<-ctx.Done()
				ended <- time.Now()
			})
		})
		return l
	}
	first := campaign("a", cut.URL)
	before := <-terms
	_, held := first.Term("publish")
	c.Assert(held, qt.IsTrue)
	campaign("b", healthy.URL)
	cut.CloseClientConnections()
	cut.Listener.Close()
	after := <-terms
	began := time.Now()
	end := <-ended
	c.Assert(after.Holder, qt.Equals, identifier.Node("b"))
	c.Assert(after.Fence > before.Fence, qt.IsTrue)
	c.Assert(end.Before(began), qt.IsTrue, qt.Commentf("the first term ended %v after the second began", end.Sub(began)))
}
