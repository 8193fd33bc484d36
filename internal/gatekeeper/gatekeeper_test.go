package gatekeeper_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

var start = time.Unix(1000, 0)

func offer(request string, number int, incarnation identifier.Incarnation) gatekeeper.Offer {
	return gatekeeper.Offer{
		Attempt: identifier.Attempt{Request: identifier.Request(request), Number: number}, Incarnation: incarnation, Issued: start,
	}
}

// Guards against an attempt that is admitted twice, or after it was ruled out.
func TestGatekeeperTranscript(t *testing.T) {
	g := gatekeeper.NewGatekeeper(7, gatekeeper.WithConcurrency(2))
	var out strings.Builder
	admit := func(o gatekeeper.Offer, now time.Time) {
		v, _ := g.Admit(o, now)
		fmt.Fprintf(&out, "admit %v for %d: verdict %d\n", o.Attempt, o.Incarnation, v)
	}
	settle := func(o gatekeeper.Offer) {
		s, _ := g.Settle(o.Attempt, o.Incarnation, start)
		fmt.Fprintf(&out, "settle %v for %d: settlement %d\n", o.Attempt, o.Incarnation, s)
	}
	a, b, c, d, old := offer("a", 0, 7), offer("b", 0, 7), offer("c", 0, 7), offer("d", 0, 7), offer("a", 0, 6)
	admit(a, start)
	admit(a, start)
	settle(a)
	settle(b)
	admit(b, start)
	admit(old, start)
	settle(old)
	g.End(a.Attempt, start)
	settle(a)
	admit(a, start)
	admit(c, start)
	admit(offer("c", 1, 7), start)
	admit(d, start)
	settle(d)
	admit(offer("e", 0, 7), start.Add(gatekeeper.DefaultRetention))
	g.Drain()
	admit(offer("f", 0, 7), start)
	goldie.New(t).Assert(t, "transcript", []byte(out.String()))
}

// Guards against a ledger that drops the record of a barred attempt while an offer of it can still come.
func TestBarredAttemptOutlivesItsOffers(t *testing.T) {
	c := qt.New(t)
	g := gatekeeper.NewGatekeeper(1, gatekeeper.WithCapacity(1), gatekeeper.WithRetention(time.Minute))
	o := offer("a", 0, 1)
	s, _ := g.Settle(o.Attempt, 1, start)
	c.Assert(s, qt.Equals, gatekeeper.NeverRuns)
	for _, after := range []time.Duration{0, 30 * time.Second, 61 * time.Second, time.Hour} {
		fill := offer(after.String(), 0, 1)
		fill.Issued = start.Add(after)
		_, _ = g.Admit(fill, start.Add(after))
		v, _ := g.Admit(o, start.Add(after))
		c.Assert(v, qt.Not(qt.Equals), gatekeeper.Admitted, qt.Commentf("after %v", after))
	}
}

// Guards against a drain that ends while an attempt is running.
func TestDrainWaitsForRunningAttempts(t *testing.T) {
	c := qt.New(t)
	g := gatekeeper.NewGatekeeper(1)
	o := offer("a", 0, 1)
	v, _ := g.Admit(o, start)
	c.Assert(v, qt.Equals, gatekeeper.Admitted)
	idle := g.Drain()
	select {
	case <-idle:
		c.Fatal("idle while an attempt runs")
	default:
	}
	g.End(o.Attempt, start)
	<-idle
}
