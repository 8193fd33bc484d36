package forwarder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/rationer"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against a request that waits at a full service until its time is up, against a refusal of one that was sent, and against scoring
// calls that are refused: the load is a queue ten times as long as the slots.
func TestFullServiceRefusesOnArrival(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	f := newFixtureWithClock(clock, plan(), 1, reply{status: 200, before: func() { <-clock.After(40 * time.Millisecond).C() }})
	f.Rationer = rationer.NewRationer(clock)
	q := forwarder.Request{ID: "1", Method: "GET", URI: "/again/x", Path: "/again/x", Host: "h", Key: "key"}
	c.Assert(f.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Answered)
	for range 40 {
		_, ok := f.Router.Choose(router.Requirements{Service: "s"})
		c.Assert(ok, qt.IsTrue)
	}
	sent := len(f.caller.calls)
	r := f.Forward(t.Context(), q, &sink{})
	c.Assert(r.Outcome, qt.Equals, forwarder.NotRun)
	c.Assert(r.Reason, qt.Equals, forwarder.NoRoom)
	c.Assert(r.RetryAfter >= 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", r.RetryAfter))
	c.Assert(f.caller.calls, qt.HasLen, sent)
	q.Internal = true
	c.Assert(f.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Answered)
}
