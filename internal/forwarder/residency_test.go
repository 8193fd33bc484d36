package forwarder_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// confinedPlan returns plan with regions on all routes and on the team, at a revision.
func confinedPlan(revision identifier.Revision, routes, team confiner.Regions) navigator.Plan {
	p := navigator.NewPlan(revision).WithTeams(navigator.Team{Name: "team", Keys: []string{"key"}, Regions: team})
	for _, r := range plan().Routes() {
		r.Regions = routes
		p = p.WithRoutes(r)
	}
	return p
}

// confinedStarts confirms each start, and calls at before it answers a question, with its number.
type confinedStarts struct {
	questions int
	at        func(question int)
}

func (s *confinedStarts) Start(context.Context, router.Target) (identifier.Incarnation, time.Time, bool) {
	s.questions++
	s.at(s.questions)
	return 0, time.Now(), true
}

// confinedCase is a request that an entry in region a forwards to targets in the regions a, b and c. The later plan is adopted while the
// first target has the request, or during the given question for a start.
type confinedCase struct {
	name, path   string
	routes, team confiner.Regions
	request      forwarder.Request
	replies      []reply
	later        *navigator.Plan
	question     int
}

// play forwards the request of a case and returns its outcome and the regions that its body reached.
func (k confinedCase) play(ctx context.Context) string {
	nav, reg := &navigator.Navigator{}, registrar.NewRegistrar(map[identifier.Zone]identifier.Region{"za": "a", "zb": "b", "zc": "c"})
	nav.Adopt(confinedPlan(7, k.routes, k.team))
	for i, z := range []identifier.Zone{"za", "za", "za", "zb", "zb", "zc"} {
		reg.Put(registrar.Listing{ID: identifier.Target(fmt.Sprintf("t%d", i)), Service: "s", Zone: z, Slots: 4})
	}
	view, _ := reg.Watch()
	rt := router.NewRouter(router.WithSeed(1))
	rt.Adopt(view)
	change := func(question int) {
		if k.later != nil && question == k.question {
			nav.Adopt(*k.later)
		}
	}
	calls := &caller{replies: k.replies}
	if len(calls.replies) > 0 {
		calls.replies[0].before = func() { change(0) }
	}
	clock := timer.NewSystem()
	defer clock.Close()
	k.request.Host, k.request.Path, k.request.Body = "h", k.path, []byte("body")
	r := forwarder.NewForwarder(forwarder.Dependencies{
		Navigator: nav, Registrar: reg, Router: rt, TargetClient: calls, Opener: calls, Counter: &counter{}, Clock: clock,
		Zone: "za", Region: "a", Starts: &confinedStarts{at: change},
	}).Forward(ctx, k.request, &sink{})
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	reached := make([]string, 0, len(calls.calls))
	for _, call := range calls.calls {
		reached = append(reached, string(call.Target.Region))
	}
	slices.Sort(reached)
	return fmt.Sprintf("%s: %s %q reached [%s], retry after %v", k.name, r.Outcome, r.Reason, strings.Join(reached, " "), r.RetryAfter)
}

// Guards against bodies that reach targets outside of the regions of their route, their team or their job: first sends, retries, hedged
// requests, continuations, and sends after the configuration has changed. It counts them at the targets. Guards also against requests that
// wait for, or are sent elsewhere in place of, targets that their regions lack, and are then not reported as not run.
func TestBodiesKeepToTheirRegions(t *testing.T) {
	a, b, bc, none := confiner.NewRegions("a"), confiner.NewRegions("b"), confiner.NewRegions("b", "c"), confiner.NewRegions("nowhere")
	refused, hang, cut := reply{status: 503, notRun: true}, reply{hang: true}, reply{status: 200, body: "1:a\n", cut: true}
	withKey := forwarder.Request{Key: "key"}
	bLater, aLater, noneLater := confinedPlan(8, b, ""), confinedPlan(8, a, ""), confinedPlan(8, none, "")
	var out strings.Builder
	for _, k := range []confinedCase{
		{"no restriction", "/again/x", "", "", withKey, nil, nil, 0},
		{"route elsewhere", "/again/x", b, "", withKey, nil, nil, 0},
		{"team elsewhere", "/once/x", "", b, withKey, nil, nil, 0},
		{"both, one in common", "/again/x", bc, confiner.NewRegions("a", "c"), withKey, nil, nil, 0},
		{"both, none in common", "/again/x", b, a, withKey, nil, nil, 0},
		{"public route, key of a team", "/open/x", "", b, withKey, nil, nil, 0},
		{"call for a job, two in common", "/open/x", bc, "", forwarder.Request{Internal: true, Regions: b}, nil, nil, 0},
		{"call for a job, none in common", "/open/x", bc, "", forwarder.Request{Internal: true, Regions: a}, nil, nil, 0},
		{"retries", "/again/x", b, "", withKey, []reply{refused, refused, refused}, nil, 0},
		{"hedged", "/again/x", b, "", withKey, []reply{hang, {status: 200, body: "x"}}, nil, 0},
		{"hedged, one target", "/again/x", confiner.NewRegions("c"), "", withKey, []reply{hang}, nil, 0},
		{"stream continued", "/resume/x", b, "", withKey, []reply{cut, {status: 200, body: "2:b\n"}}, nil, 0},
		{"no target", "/again/x", none, "", withKey, nil, nil, 0},
		{"no target for a stream", "/resume/x", none, "", withKey, nil, nil, 0},
		{"retry after a change", "/again/x", "", "", withKey, []reply{refused}, &bLater, 0},
		{"retry after a change, nothing in common", "/again/x", b, "", withKey, []reply{refused}, &aLater, 0},
		{"hedged after a change to nowhere", "/again/x", "", "", withKey, []reply{hang}, &noneLater, 0},
		{"continued after a change", "/resume/x", "", "", withKey, []reply{cut, {status: 200, body: "2:b\n"}}, &bLater, 0},
		{"continued, a change during the question", "/resume/x", "", "", withKey, []reply{cut, {status: 200, body: "2:b\n"}}, &bLater, 2},
	} {
		fmt.Fprintln(&out, k.play(t.Context()))
	}
	goldie.New(t).Assert(t, "residency", []byte(out.String()))
}

// noPermits is a limiter.Source that is not reached.
type noPermits struct{}

func (noPermits) Allot(context.Context, limiter.Ask) (limiter.Grant, bool) {
	return limiter.Grant{}, false
}

func (noPermits) Processes() int { return 1 }

// Guards against a request that waits for the permits of targets outside of its regions before it is refused. The clock stands still.
func TestConfinedRequestsAwaitNoTargetElsewhere(t *testing.T) {
	c := qt.New(t)
	clock, nav, rt := &timer.Manual{}, &navigator.Navigator{}, router.NewRouter(router.WithSeed(1))
	nav.Adopt(confinedPlan(7, confiner.NewRegions("b"), ""))
	outside := router.Target{ID: "t", Service: "s", Zone: "za", Region: "a"}
	rt.Adopt(router.NewView([]router.Target{outside}))
	limits := limiter.NewLimiter(noPermits{}, clock, func() {})
	limits.Record(outside, limiter.Statement{Named: true, Rate: 1}, 0)
	f := forwarder.NewForwarder(forwarder.Dependencies{
		Navigator: nav, Registrar: registrar.NewRegistrar(nil), Router: rt, Limiter: limits, Clock: clock, Zone: "za", Region: "a",
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	r := f.Forward(ctx, forwarder.Request{Host: "h", Path: "/again/x", Key: "key"}, &sink{})
	c.Check(ctx.Err(), qt.IsNil)
	c.Check(r.Outcome, qt.Equals, forwarder.NotRun)
	c.Check(r.Reason, qt.Equals, forwarder.Confined)
}
