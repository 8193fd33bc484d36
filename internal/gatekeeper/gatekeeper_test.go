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
	"github.com/mimosalb/mimosalb/internal/streamer"
)

var start = time.Unix(1000, 0)

func offer(request string, number int, incarnation identifier.Incarnation) gatekeeper.Offer {
	return gatekeeper.Offer{
		Attempt: identifier.Attempt{Request: identifier.Request(request), Number: number}, Incarnation: incarnation, Issued: start,
	}
}

// Guards against admitting an attempt twice, or after it was ruled out.
func TestGatekeeperTranscript(t *testing.T) {
	g := gatekeeper.NewGatekeeper(7, gatekeeper.WithConcurrency(2))
	var out strings.Builder
	admit := func(o gatekeeper.Offer, now time.Time) {
		v, _ := g.Admit(o, now)
		fmt.Fprintf(&out, "admit %v for %d: verdict %v\n", o.Attempt, o.Incarnation, v)
	}
	settle := func(o gatekeeper.Offer) {
		s := g.Settle(o, start)
		fmt.Fprintf(&out, "settle %v for %d: settlement %v\n", o.Attempt, o.Incarnation, s)
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

// Guards against dropping the record of an attempt that was ruled out while an offer of it can still arrive.
func TestBarredAttemptOutlivesItsOffers(t *testing.T) {
	c := qt.New(t)
	g := gatekeeper.NewGatekeeper(1, gatekeeper.WithCapacity(1), gatekeeper.WithRetention(time.Minute))
	o := offer("a", 0, 1)
	s := g.Settle(o, start)
	c.Assert(s, qt.Equals, gatekeeper.NeverRuns)
	for _, after := range []time.Duration{0, 30 * time.Second, 61 * time.Second, time.Hour} {
		fill := offer(after.String(), 0, 1)
		fill.Issued = start.Add(after)
		_, _ = g.Admit(fill, start.Add(after))
		v, _ := g.Admit(o, start.Add(after))
		c.Assert(v, qt.Not(qt.Equals), gatekeeper.Admitted, qt.Commentf("after %v", after))
	}
}

// Guards against reporting NeverRuns for an attempt that ran and whose record has been dropped. The claim of its call
// would then be replaced and the call would run a second time.
func TestSettleAfterRetentionIsUnknown(t *testing.T) {
	c := qt.New(t)
	g := gatekeeper.NewGatekeeper(1, gatekeeper.WithCapacity(1), gatekeeper.WithRetention(time.Minute))
	for _, ahead := range []time.Duration{0, 30 * time.Second, time.Hour} {
		o := offer("clock "+ahead.String(), 0, 1)
		o.Issued = start.Add(ahead)
		v, _ := g.Admit(o, start)
		if v != gatekeeper.Admitted {
			c.Assert(v, qt.Equals, gatekeeper.Expired)
			continue
		}
		g.End(o.Attempt, start)
		later := start.Add(61 * time.Second)
		fill := offer("fill "+ahead.String(), 0, 1)
		fill.Issued = later
		v, _ = g.Admit(fill, later)
		c.Assert(v, qt.Equals, gatekeeper.Admitted)
		g.End(fill.Attempt, start.Add(-time.Hour))
		c.Assert(g.Settle(o, later), qt.Equals, gatekeeper.Unknown, qt.Commentf("entry's clock %v ahead", ahead))
	}
}

// Guards against a drain that completes while an attempt is running.
func TestDrainWaitsForRunningAttempts(t *testing.T) {
	c := qt.New(t)
	g := gatekeeper.NewGatekeeper(1)
	o := offer("a", 0, 1)
	v, _ := g.Admit(o, start)
	c.Assert(v, qt.Equals, gatekeeper.Admitted)
	idle := g.Drain()
	select {
	case <-idle:
		c.Fatal("drain completed while an attempt is running")
	default:
	}
	g.End(o.Attempt, start)
	<-idle
}

// Guards against keeping every answer for the whole retention, and against dropping the answer of a call that may not
// be repeated, which another entry may still ask for.
func TestReadAnswersAreReleased(t *testing.T) {
	c := qt.New(t)
	g := gatekeeper.NewGatekeeper(1)
	for once, left := range map[bool]int{false: 0, true: 1} {
		o := offer(fmt.Sprint(once), 0, 1)
		o.Once = once
		_, stream := g.Admit(o, start)
		stream.Append(streamer.Piece{Data: []byte("a")})
		stream.Finish(streamer.Final{}.WithEnd(streamer.Complete, "answered"))
		g.End(o.Attempt, start)
		g.MarkRead(o.Attempt)
		c.Assert(g.Settle(o, start), qt.Equals, gatekeeper.Ran)
		chunk, _ := stream.Read(0)
		c.Assert(chunk.Pieces, qt.HasLen, left)
		c.Assert(chunk.Final.Pieces, qt.Equals, 1)
		select {
		case <-g.AllRead():
		default:
			c.Fatal("AllRead waits for an attempt that was marked as read")
		}
	}
}
