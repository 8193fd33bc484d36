package forwarder_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// reply is a target's reply to one call.
type reply struct {
	status int
	notRun bool
	fault  forwarder.Fault
	body   string
	// cut makes the body end with an error.
	cut bool
	// hang blocks the call until it is cancelled.
	hang bool
	// plain makes the answer no stream of events.
	plain bool
	// endless makes the body never end.
	endless bool
	// before is called before the reply is given.
	before func()
}

// caller returns the replies in order, whichever target is called.
type caller struct {
	mutex   sync.Mutex
	replies []reply
	calls   []forwarder.Call
}

var errCut = errors.New("cut")

type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, errCut }

func (c *caller) Call(ctx context.Context, call forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	c.mutex.Lock()
	c.calls = append(c.calls, call)
	r := reply{status: 200, body: "whole"}
	if len(c.replies) > 0 {
		r, c.replies = c.replies[0], c.replies[1:]
	}
	c.mutex.Unlock()
	if r.before != nil {
		r.before()
	}
	if r.hang {
		<-ctx.Done()
		return forwarder.Answer{}, forwarder.Broken
	}
	if r.fault != forwarder.NoFault {
		return forwarder.Answer{}, r.fault
	}
	var body io.Reader = strings.NewReader(r.body)
	if r.cut {
		body = io.MultiReader(body, cutReader{})
	}
	if r.endless {
		body = endlessReader{}
	}
	return forwarder.Answer{
		Status: r.status, NotRun: r.notRun, Stream: !r.plain, Stamp: "stamp", Length: -1, Body: io.NopCloser(body), Header: map[string][]string{},
	}, forwarder.NoFault
}

// Open reads lines of the form NUMBER:DATA as events.
func (c *caller) Open(body io.Reader) forwarder.Events { return &lineEvents{body: body} }

type lineEvents struct {
	body io.Reader
}

func (l *lineEvents) Next() (forwarder.Event, error) {
	var raw []byte
	for {
		one := make([]byte, 1)
		_, err := l.body.Read(one)
		if err != nil {
			return forwarder.Event{}, err
		}
		if raw = append(raw, one[0]); one[0] == '\n' {
			break
		}
	}
	e := forwarder.Event{Raw: raw}
	_, err := fmt.Sscanf(string(raw), "%d:", &e.Number)
	return e, err
}

// sink records the answer that is sent to the caller.
type sink struct {
	status int
	body   bytes.Buffer
}

func (s *sink) Begin(status int, _ map[string][]string, _ int64) { s.status = status }

func (s *sink) Write(p []byte) error {
	s.body.Write(p)
	return nil
}

// counter counts the requests of each team.
type counter struct {
	mutex  sync.Mutex
	counts map[identifier.Team]int
}

func (t *counter) Count(team identifier.Team, _ time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.counts == nil {
		t.counts = make(map[identifier.Team]int)
	}
	t.counts[team]++
}

func plan() navigator.Plan {
	shares := []navigator.Share{{Service: "s", Weight: 1}}
	route := func(prefix string, kind navigator.Kind, resumable bool) navigator.Route {
		return navigator.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Shares: shares, MaxAttempts: 3, Timeout: 300 * time.Millisecond,
			LatencyGoal: 100 * time.Millisecond, Resumable: resumable,
		}
	}
	open := route("/open/", navigator.Repeatable, false)
	open.Public = true
	return navigator.NewPlan(7).WithTeams(navigator.Team{Name: "team", Keys: []string{"key"}}).WithRoutes(
		route("/again/", navigator.Repeatable, false), route("/once/", navigator.Once, false),
		route("/stream/", navigator.Stream, false), route("/resume/", navigator.Stream, true), open,
	)
}

// fixture is a forwarder whose targets return the given replies.
type fixture struct {
	*forwarder.Forwarder
	caller  *caller
	counter *counter
}

func newFixture(p navigator.Plan, targets int, replies ...reply) fixture {
	return newFixtureWithClock(timer.NewSystem(), p, targets, replies...)
}

func newFixtureWithClock(clock timer.Service, p navigator.Plan, targets int, replies ...reply) fixture {
	nav, reg, rt := &navigator.Navigator{}, registrar.NewRegistrar(nil), router.NewRouter(router.WithSeed(1))
	nav.Adopt(p)
	for i := range targets {
		reg.Put(registrar.Listing{ID: identifier.Target(fmt.Sprintf("t%d", i)), Service: "s", Zone: "z", Slots: 4})
	}
	view, _ := reg.Watch()
	rt.Adopt(view)
	f := fixture{caller: &caller{replies: replies}, counter: &counter{}}
	f.Forwarder = forwarder.NewForwarder(forwarder.Dependencies{
		Navigator: nav, Registrar: reg, Router: rt, TargetClient: f.caller, Opener: f.caller, Counter: f.counter, Clock: clock, Zone: "z",
	})
	return f
}

// attemptPattern matches formatted attempts; only the status or fault is deterministic, not the chosen target and the
// time.
var attemptPattern = regexp.MustCompile(`t\d:([a-z0-9-]+):\d+`)

// Guards against wrong outcomes for each way in which attempts end: a non-repeatable request that is sent again after
// it may have run, a request reported as not run although it may have, a broken answer that is delivered as complete,
// and a request that fails although another attempt was allowed.
func TestOutcomes(t *testing.T) {
	refused, broken := reply{status: 503, notRun: true}, reply{fault: forwarder.Broken}
	unsent, failed := reply{fault: forwarder.Unsent}, reply{status: 500, body: "sorry"}
	stale := reply{fault: forwarder.Stale}
	cases := []struct {
		name, path, key string
		plan            navigator.Plan
		targets         int
		replies         []reply
	}{
		{"no configuration", "/again/x", "key", navigator.Plan{}, 3, nil},
		{"no route", "/none/x", "key", plan(), 3, nil},
		{"unknown key", "/again/x", "other", plan(), 3, nil},
		{"open route without a key", "/open/x", "", plan(), 3, nil},
		{"no target", "/again/x", "key", plan(), 0, nil},
		{"answered", "/again/x", "key", plan(), 3, nil},
		{"refused, then answered", "/again/x", "key", plan(), 3, []reply{refused, refused}},
		{"refused by all", "/again/x", "key", plan(), 3, []reply{refused, refused, refused}},
		{"not reached", "/again/x", "key", plan(), 3, []reply{unsent, unsent, unsent}},
		{"broke off, then answered", "/again/x", "key", plan(), 3, []reply{broken}},
		{"cut body, then answered", "/again/x", "key", plan(), 3, []reply{{status: 200, body: "wh", cut: true}}},
		{"broke off each time", "/again/x", "key", plan(), 3, []reply{broken, broken, broken}},
		{"failed, then answered", "/again/x", "key", plan(), 3, []reply{failed}},
		{"failed each time", "/again/x", "key", plan(), 3, []reply{failed, failed, failed}},
		{"refused after it broke off", "/again/x", "key", plan(), 3, []reply{broken, refused, refused}},
		{"more targets than attempts", "/again/x", "key", plan(), 9, []reply{broken, broken, broken, broken}},
		{"silent, then answered by a second target", "/again/x", "key", plan(), 3, []reply{{hang: true}}},
		{"silent each time", "/again/x", "key", plan(), 3, []reply{{hang: true}, {hang: true}, {hang: true}}},
		{"once: refused, then answered", "/once/x", "key", plan(), 3, []reply{refused, unsent}},
		{"once: broke off", "/once/x", "key", plan(), 3, []reply{broken}},
		{"once: cut body", "/once/x", "key", plan(), 3, []reply{{status: 200, body: "wh", cut: true}}},
		{"once: failed", "/once/x", "key", plan(), 3, []reply{failed}},
		{"once: silent", "/once/x", "key", plan(), 3, []reply{{hang: true}}},
		{"once: stale connection, then answered", "/once/x", "key", plan(), 1, []reply{stale}},
		{"once: stale connection, then broke off", "/once/x", "key", plan(), 3, []reply{stale, broken}},
		{"once: stale connections count as attempts", "/once/x", "key", plan(), 3, []reply{stale, unsent, stale, unsent}},
		{"stream: stale connection, then answered", "/stream/x", "key", plan(), 1, []reply{stale, {status: 200, body: "1:a\n"}}},
		{"stream: whole", "/stream/x", "key", plan(), 3, []reply{{status: 200, body: "1:a\n2:b\n"}}},
		{"stream: cut after two events", "/stream/x", "key", plan(), 3, []reply{{status: 200, body: "1:a\n2:b\n3:", cut: true}}},
		{"stream: refused, then whole", "/stream/x", "key", plan(), 3, []reply{refused, {status: 200, body: "1:a\n"}}},
		{"stream: broke off", "/stream/x", "key", plan(), 3, []reply{broken}},
		{"resumed after two events", "/resume/x", "key", plan(), 3, []reply{
			{status: 200, body: "1:a\n2:b\n3:", cut: true}, {status: 200, body: "3:c\n4:d\n"},
		}},
		{"resumed with an event again", "/resume/x", "key", plan(), 3, []reply{
			{status: 200, body: "1:a\n2:b\n", cut: true}, {status: 200, body: "2:b\n3:c\n"},
		}},
		{"stream: silent", "/stream/x", "key", plan(), 3, []reply{{hang: true}}},
	}
	var out strings.Builder
	for _, tc := range cases {
		f := newFixture(tc.plan, tc.targets, tc.replies...)
		var s sink
		r := f.Forward(t.Context(), forwarder.Request{ID: "r", Method: "POST", URI: tc.path, Path: tc.path, Host: "h", Key: tc.key}, &s)
		fmt.Fprintf(&out, "%-42s %-9s %q counted=%d to the caller: %d %q attempts: %s\n", tc.name, r.Outcome, r.Reason, f.counter.counts["team"],
			s.status, s.body.String(), attemptPattern.ReplaceAllString(r.FormatAttempts(), "$1"))
	}
	goldie.New(t).Assert(t, "outcomes", []byte(out.String()))
}

// Guards against a stream that broke off and in which the caller finds the error of the next target, or that ends as if it were
// complete because the next target's answer is no stream.
func TestResumedAtAnAnswerThatIsNoStream(t *testing.T) {
	var out strings.Builder
	begun := reply{status: 200, body: "1:a\n2:b\n3:", cut: true}
	rest := reply{status: 200, body: "3:c\n4:d\n"}
	for _, status := range []int{200, 204, 206, 301, 400, 404, 422, 429, 500, 503} {
		unusable := reply{status: status, body: "an error\n", plain: true}
		for what, replies := range map[string][]reply{"once": {begun, unusable, rest}, "each time": {begun, unusable, unusable}} {
			f := newFixture(plan(), 3, replies...)
			var s sink
			r := f.Forward(t.Context(), forwarder.Request{ID: "r", Path: "/resume/x", Host: "h", Key: "key"}, &s)
			fmt.Fprintf(&out, "%d %-9s %-9s to the caller: %d %q attempts: %s\n", status, what, r.Outcome, s.status, s.body.String(),
				attemptPattern.ReplaceAllString(r.FormatAttempts(), "$1"))
		}
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	slices.Sort(lines)
	goldie.New(t).Assert(t, "resumed", []byte(strings.Join(lines, "\n")+"\n"))
}

// Guards against a stream that is continued with events missing in between, and against one whose numbers never were
// consecutive and that is cut for it.
func TestContinuationLeavesNothingOut(t *testing.T) {
	c := qt.New(t)
	q := forwarder.Request{ID: "r", Path: "/resume/x", Host: "h", Key: "key"}
	ask := func(replies ...reply) (forwarder.Outcome, string) {
		var s sink
		r := newFixture(plan(), 3, replies...).Forward(t.Context(), q, &s)
		return r.Outcome, s.body.String()
	}
	begun := reply{status: 200, body: "1:a\n2:b\n", cut: true}
	outcome, body := ask(begun, reply{status: 200, body: "4:d\n"}, reply{status: 200, body: "3:c\n4:d\n"})
	c.Assert(outcome, qt.Equals, forwarder.Answered)
	c.Assert(body, qt.Equals, "1:a\n2:b\n3:c\n4:d\n")
	outcome, body = ask(reply{status: 200, body: "1:a\n5:b\n", cut: true}, reply{status: 200, body: "9:c\n"})
	c.Assert(outcome, qt.Equals, forwarder.Answered)
	c.Assert(body, qt.Equals, "1:a\n5:b\n9:c\n")
}

// Guards against a first answer that is no stream and reaches the caller in part, because it was read as events.
func TestFirstAnswerThatIsNoStream(t *testing.T) {
	c := qt.New(t)
	f := newFixture(plan(), 3, reply{status: 200, body: "not: an event", plain: true})
	var s sink
	r := f.Forward(t.Context(), forwarder.Request{ID: "r", Path: "/resume/x", Host: "h", Key: "key"}, &s)
	c.Assert(r.Outcome, qt.Equals, forwarder.Answered)
	c.Assert(s.body.String(), qt.Equals, "not: an event")
}

// Guards against a resumed stream that repeats or skips events because its attempt names the wrong last event.
func TestResumeRequestsEventsAfterLast(t *testing.T) {
	c := qt.New(t)
	f := newFixture(plan(), 3, reply{status: 200, body: "1:a\n2:b\n", cut: true}, reply{status: 200, body: "3:c\n"})
	f.Forward(t.Context(), forwarder.Request{ID: "r", Path: "/resume/x", Host: "h", Key: "key"}, &sink{})
	c.Assert(f.caller.calls, qt.HasLen, 2)
	c.Assert(f.caller.calls[0].Resume, qt.IsFalse)
	c.Assert(f.caller.calls[1].Resume, qt.IsTrue)
	c.Assert(f.caller.calls[1].ResumeAfter, qt.Equals, 2)
}

// Guards against a request that continues after its caller has closed the connection.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	f := newFixture(plan(), 3, reply{hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := f.Forward(ctx, forwarder.Request{ID: "r", Path: "/once/x", Host: "h", Key: "key"}, &sink{})
	c.Assert(r.Outcome, qt.Equals, forwarder.CallerLeft)
}

// Guards against a target that is suspended because a caller left: whether the end of the attempt or the end of the
// caller's context is seen first, the outcome is that the caller left and the target keeps getting requests.
func TestLeavingCallerDoesNotSuspendTheTarget(t *testing.T) {
	c := qt.New(t)
	for _, path := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x"} {
		for range 50 {
			ctx, cancel := context.WithCancel(t.Context())
			f := newFixtureWithClock(&timer.Manual{}, plan(), 1, reply{fault: forwarder.Broken, before: cancel})
			r := f.Forward(ctx, forwarder.Request{ID: "r", Path: path, Host: "h", Key: "key"}, &sink{})
			c.Assert(r.Outcome, qt.Equals, forwarder.CallerLeft, qt.Commentf(path))
			c.Assert(r.FormatAttempts(), qt.Matches, "t0:pending:0", qt.Commentf(path))
			c.Assert(f.Registrar.TargetsToAvoid("s", "", 0, 0), qt.HasLen, 0, qt.Commentf(path))
		}
	}
}

// Guards against a stream whose target is suspended because its caller left in the middle of it.
func TestCallerLeavesMidStream(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	f := newFixtureWithClock(&timer.Manual{}, plan(), 1, reply{status: 200, body: "1:a\n", cut: true, before: cancel})
	r := f.Forward(ctx, forwarder.Request{ID: "r", Path: "/resume/x", Host: "h", Key: "key"}, &sink{})
	c.Assert(r.Outcome, qt.Equals, forwarder.CallerLeft)
	c.Assert(f.Registrar.TargetsToAvoid("s", "", 0, 0), qt.HasLen, 0)
}

// endlessReader returns bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a body without length that never ends and is sent on for as long as its caller stays: the answer is broken
// off when the time of the route is up.
func TestEndlessBodyIsBrokenOff(t *testing.T) {
	c := qt.New(t)
	clock := &timer.Manual{}
	f := newFixtureWithClock(clock, plan(), 1, reply{status: 200, endless: true})
	sent := 0
	s := &countingSink{written: func() {
		if sent++; sent > 20 {
			clock.Advance(50 * time.Millisecond)
		}
	}}
	r := f.Forward(t.Context(), forwarder.Request{ID: "r", Path: "/again/x", Host: "h", Key: "key"}, s)
	c.Assert(r.Outcome, qt.Equals, forwarder.Interrupted)
	c.Assert(clock.Monotonic(), qt.Equals, 300*time.Millisecond)
}

// countingSink calls a function at each part of an answer, and fails after maxParts of them.
type countingSink struct {
	written func()
	parts   int
}

const maxParts = 1000

func (*countingSink) Begin(int, map[string][]string, int64) {}

func (s *countingSink) Write([]byte) error {
	s.written()
	if s.parts++; s.parts > maxParts {
		return errCut
	}
	return nil
}

// Guards against a request that is sent to a target although the caller's time was up before it had arrived.
func TestExpiredRequestIsNotSent(t *testing.T) {
	c := qt.New(t)
	f := newFixture(plan(), 3)
	q := forwarder.Request{ID: "r", Path: "/again/x", Host: "h", Key: "key", CallerTimeout: time.Second, Elapsed: time.Second}
	r := f.Forward(t.Context(), q, &sink{})
	c.Assert(r.Outcome, qt.Equals, forwarder.NotRun)
	c.Assert(r.Reason, qt.Equals, forwarder.Expired)
	c.Assert(f.caller.calls, qt.HasLen, 0)
}
