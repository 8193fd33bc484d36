package forwarder_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"regexp"
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

// reply is how a target answers one call.
type reply struct {
	status int
	notRun bool
	fault  forwarder.Fault
	body   string
	// cut ends the body without its end.
	cut bool
	// hang keeps the call without an answer until it is cancelled.
	hang bool
}

// caller gives the replies in order, whichever target is called.
type caller struct {
	mutex   sync.Mutex
	replies []reply
	calls   []forwarder.Call
}

var errCut = errors.New("cut")

type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, errCut }

func (f *caller) Call(ctx context.Context, c forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	f.mutex.Lock()
	f.calls = append(f.calls, c)
	r := reply{status: 200, body: "whole"}
	if len(f.replies) > 0 {
		r, f.replies = f.replies[0], f.replies[1:]
	}
	f.mutex.Unlock()
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
	return forwarder.Answer{
		Status: r.status, NotRun: r.notRun, Stamp: "stamp", Length: -1, Body: io.NopCloser(body), Header: map[string][]string{},
	}, forwarder.NoFault
}

// Open reads lines of the form NUMBER:DATA as events.
func (f *caller) Open(body io.Reader) forwarder.Events { return &lines{body: body} }

type lines struct {
	body io.Reader
}

func (l *lines) Next() (forwarder.Event, error) {
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

// sink records what a caller gets.
type sink struct {
	status int
	body   bytes.Buffer
}

func (s *sink) Begin(status int, _ map[string][]string, _ int64) { s.status = status }

func (s *sink) Write(p []byte) error {
	s.body.Write(p)
	return nil
}

// tally counts the requests of each team.
type tally struct {
	mutex  sync.Mutex
	counts map[identifier.Team]int
}

func (t *tally) Count(team identifier.Team, _ time.Time) {
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

// bench is a forwarder before targets that answer as told.
type bench struct {
	*forwarder.Forwarder
	caller *caller
	tally  *tally
}

func newBench(p navigator.Plan, targets int, replies ...reply) bench {
	return newTimedBench(timer.NewSystem(), p, targets, replies...)
}

func newTimedBench(clock timer.Service, p navigator.Plan, targets int, replies ...reply) bench {
	nav, reg, route := &navigator.Navigator{}, registrar.NewRegistrar(nil), router.NewRouter(router.WithSeed(1))
	nav.Adopt(p)
	for i := range targets {
		reg.Put(registrar.Listing{ID: identifier.Target(fmt.Sprintf("t%d", i)), Service: "s", Zone: "z", Slots: 4})
	}
	view, _ := reg.Watch()
	route.Adopt(view)
	b := bench{caller: &caller{replies: replies}, tally: &tally{}}
	b.Forwarder = forwarder.NewForwarder(forwarder.Parts{
		Navigator: nav, Registrar: reg, Router: route, Caller: b.caller, Opener: b.caller, Counter: b.tally, Clock: clock, Zone: "z",
	})
	return b
}

// names hides which target was drawn and how long a try took.
var names = regexp.MustCompile(`t\d:([a-z0-9-]+):\d+`)

// Guards against requests that run twice, against refusals that are not true, against broken answers that look whole,
// and against answers of targets that are lost while another attempt is allowed.
func TestOutcomes(t *testing.T) {
	full, broke := reply{status: 503, notRun: true}, reply{fault: forwarder.Broken}
	away, failed := reply{fault: forwarder.Unsent}, reply{status: 500, body: "sorry"}
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
		{"refused, then answered", "/again/x", "key", plan(), 3, []reply{full, full}},
		{"refused by all", "/again/x", "key", plan(), 3, []reply{full, full, full}},
		{"not reached", "/again/x", "key", plan(), 3, []reply{away, away, away}},
		{"broke off, then answered", "/again/x", "key", plan(), 3, []reply{broke}},
		{"cut body, then answered", "/again/x", "key", plan(), 3, []reply{{status: 200, body: "wh", cut: true}}},
		{"broke off each time", "/again/x", "key", plan(), 3, []reply{broke, broke, broke}},
		{"failed, then answered", "/again/x", "key", plan(), 3, []reply{failed}},
		{"failed each time", "/again/x", "key", plan(), 3, []reply{failed, failed, failed}},
		{"refused after it broke off", "/again/x", "key", plan(), 3, []reply{broke, full, full}},
		{"more targets than attempts", "/again/x", "key", plan(), 9, []reply{broke, broke, broke, broke}},
		{"silent, then answered by a second target", "/again/x", "key", plan(), 3, []reply{{hang: true}}},
		{"silent each time", "/again/x", "key", plan(), 3, []reply{{hang: true}, {hang: true}, {hang: true}}},
		{"once: refused, then answered", "/once/x", "key", plan(), 3, []reply{full, away}},
		{"once: broke off", "/once/x", "key", plan(), 3, []reply{broke}},
		{"once: cut body", "/once/x", "key", plan(), 3, []reply{{status: 200, body: "wh", cut: true}}},
		{"once: failed", "/once/x", "key", plan(), 3, []reply{failed}},
		{"once: silent", "/once/x", "key", plan(), 3, []reply{{hang: true}}},
		{"stream: whole", "/stream/x", "key", plan(), 3, []reply{{status: 200, body: "1:a\n2:b\n"}}},
		{"stream: cut after two events", "/stream/x", "key", plan(), 3, []reply{{status: 200, body: "1:a\n2:b\n3:", cut: true}}},
		{"stream: refused, then whole", "/stream/x", "key", plan(), 3, []reply{full, {status: 200, body: "1:a\n"}}},
		{"stream: broke off", "/stream/x", "key", plan(), 3, []reply{broke}},
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
		b := newBench(tc.plan, tc.targets, tc.replies...)
		var s sink
		r := b.Forward(t.Context(), forwarder.Request{ID: "r", Method: "POST", URI: tc.path, Path: tc.path, Host: "h", Key: tc.key}, &s)
		fmt.Fprintf(&out, "%-42s %-9s %q counted=%d to the caller: %d %q tries: %s\n", tc.name, r.Outcome, r.Reason, b.tally.counts["team"],
			s.status, s.body.String(), names.ReplaceAllString(r.FormatAttempts(), "$1"))
	}
	goldie.New(t).Assert(t, "outcomes", []byte(out.String()))
}

// Guards against a resumed stream that asks from the wrong event.
func TestResumeAsksAfterTheLastEvent(t *testing.T) {
	c := qt.New(t)
	b := newBench(plan(), 3, reply{status: 200, body: "1:a\n2:b\n", cut: true}, reply{status: 200, body: "3:c\n"})
	b.Forward(t.Context(), forwarder.Request{ID: "r", Path: "/resume/x", Host: "h", Key: "key"}, &sink{})
	c.Assert(b.caller.calls, qt.HasLen, 2)
	c.Assert(b.caller.calls[0].Resume, qt.IsFalse)
	c.Assert(b.caller.calls[1].Resume, qt.IsTrue)
	c.Assert(b.caller.calls[1].ResumeAfter, qt.Equals, 2)
}

// Guards against work that goes on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	b := newBench(plan(), 3, reply{hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := b.Forward(ctx, forwarder.Request{ID: "r", Path: "/once/x", Host: "h", Key: "key"}, &sink{})
	c.Assert(r.Outcome, qt.Equals, forwarder.CallerLeft)
}

// Guards against a request that crashes one target after the other each time that its caller sends it again.
func TestHarmfulRequestIsHeld(t *testing.T) {
	c := qt.New(t)
	broke := reply{fault: forwarder.Broken}
	b := newBench(plan(), 9, broke, broke, broke, broke, broke, broke)
	q := forwarder.Request{ID: "r", Path: "/again/x", Host: "h", Key: "key", Body: []byte("harmful")}
	c.Assert(b.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Unknown)
	r := b.Forward(t.Context(), q, &sink{})
	c.Assert(r.Reason, qt.Equals, forwarder.Suspect)
	c.Assert(b.caller.calls, qt.HasLen, 3)
	q.Body = []byte("another")
	b.caller.replies = nil
	c.Assert(b.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Answered)
}

// Guards against a harmless request that is held back for good because its targets once broke off for a reason of their
// own: nothing else would ever clear it.
func TestHeldRequestIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	clock := &timer.Manual{}
	broke := reply{fault: forwarder.Broken}
	b := newTimedBench(clock, plan(), 9, broke, broke, broke)
	q := forwarder.Request{ID: "r", Path: "/again/x", Host: "h", Key: "key"}
	c.Assert(b.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Unknown)
	clock.Advance(14 * time.Second)
	c.Assert(b.Forward(t.Context(), q, &sink{}).Reason, qt.Equals, forwarder.Suspect)
	clock.Advance(2 * time.Second)
	c.Assert(b.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Answered)
	c.Assert(b.Forward(t.Context(), q, &sink{}).Outcome, qt.Equals, forwarder.Answered)
}
