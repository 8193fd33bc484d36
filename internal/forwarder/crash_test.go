package forwarder_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against a request that crashes one target after another because its caller keeps retrying it.
func TestHarmfulRequestIsHeldBack(t *testing.T) {
	c := qt.New(t)
	broken := reply{fault: forwarder.Broken}
	f := newFixture(plan(), 9, broken, broken, broken, broken, broken, broken)
	q := forwarder.Request{ID: "r", Path: "/again/x", Host: "h", Key: "key", Body: []byte("harmful")}
	c.Assert(f.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Unknown)
	r := f.Forward(t.Context(), q, &sink{})
	c.Assert(r.Reason, qt.Equals, forwarder.Suspect)
	c.Assert(f.caller.calls, qt.HasLen, 3)
	q.Body = []byte("another")
	f.caller.replies = nil
	c.Assert(f.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Answered)
}

// Guards against a stream that crashes one target after another: it was never held back, whether it may be resumed or not.
func TestCrashingStreamIsHeldBack(t *testing.T) {
	c := qt.New(t)
	for _, path := range []string{"/stream/x", "/resume/x"} {
		f := newFixture(plan(), 9, slices.Repeat([]reply{{fault: forwarder.Broken}}, 30)...)
		for range 8 {
			f.Forward(t.Context(), forwarder.Request{ID: "r", Path: path, Host: "h", Key: "key", Body: []byte("harmful")}, &sink{})
		}
		c.Check(f.caller.calls, qt.HasLen, 3, qt.Commentf(path))
	}
}

// Guards against a harmless request that is held back although only connections broke: its targets answer other requests,
// and from then on it is sent again.
func TestHeldBackRequestIsRetried(t *testing.T) {
	c := qt.New(t)
	clock := &timer.Manual{}
	broken := reply{fault: forwarder.Broken}
	f := newFixtureWithClock(clock, plan(), 3, broken, broken, broken)
	q := forwarder.Request{ID: "r", Path: "/again/x", Host: "h", Key: "key"}
	c.Assert(f.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Unknown)
	clock.Advance(3 * time.Second)
	r := f.Forward(t.Context(), q, &sink{})
	c.Assert(r.Reason, qt.Equals, forwarder.Suspect)
	// No attempt was made, so the refusal says so and when to come back.
	c.Assert(r.Outcome, qt.Equals, forwarder.NotRun)
	c.Assert(r.RetryAfter, qt.Equals, isolator.DefaultRetention-3*time.Second)
	other := q
	other.Body = []byte("another")
	c.Assert(f.Forward(t.Context(), other, &sink{}).Outcome, qt.Equals, forwarder.Answered)
	c.Assert(f.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Answered)
	c.Assert(f.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Answered)
}

// Guards against a request that crashes targets and is sent again once some time has passed without it.
func TestCrashingRequestIsNotRetriedAfterAPause(t *testing.T) {
	c := qt.New(t)
	clock := &timer.Manual{}
	f := newFixtureWithClock(clock, plan(), 9, slices.Repeat([]reply{{fault: forwarder.Broken}}, 3)...)
	q := forwarder.Request{ID: "r", Path: "/again/x", Host: "h", Key: "key"}
	f.Forward(t.Context(), q, &sink{})
	for _, pause := range []time.Duration{time.Second, 15 * time.Second, isolator.DefaultRetention - 17*time.Second} {
		clock.Advance(pause)
		c.Assert(f.Forward(t.Context(), q, &sink{}).Reason, qt.Equals, forwarder.Suspect)
	}
	c.Assert(f.caller.calls, qt.HasLen, 3)
	clock.Advance(2 * time.Second)
	c.Assert(f.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Answered)
}

// Guards against a request that ends targets silently: its attempts end with its time or its caller and not with a broken
// connection, and only the listings show that the targets have ended.
func TestSilentlyEndedTargetsHoldRequestBack(t *testing.T) {
	c := qt.New(t)
	for _, path := range []string{"/once/x", "/stream/x", "/resume/x"} {
		f := newFixture(plan(), 9, slices.Repeat([]reply{{hang: true}}, 3)...)
		q := forwarder.Request{ID: "r", Path: path, Host: "h", Key: "key", CallerTimeout: 20 * time.Millisecond}
		for range 3 {
			r := f.Forward(t.Context(), q, &sink{})
			c.Assert(r.Outcome, qt.Equals, forwarder.TimedOut)
			f.Observer.TargetEnded(r.Attempts[0].Target, 0, f.Clock.Now())
		}
		c.Check(f.Forward(t.Context(), q, &sink{}).Reason, qt.Equals, forwarder.Suspect, qt.Commentf(path))
	}
}

// Guards against scoring calls that are held back: they belong to items, which are owed although targets ended under them.
func TestCallsOfItemsAreNeverHeldBack(t *testing.T) {
	c := qt.New(t)
	f := newFixture(plan(), 9, slices.Repeat([]reply{{fault: forwarder.Broken}}, 6)...)
	q := forwarder.Request{ID: "r", Path: "/again/x", Host: "h", Internal: true}
	for range 2 {
		c.Assert(f.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Unknown)
	}
	c.Assert(f.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Answered)
}
