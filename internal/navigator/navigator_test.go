package navigator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/navigator"
)

// Guards against a request that gets a route with a shorter prefix although a longer one matches, a route of another
// host, or a route whose prefix ends within a path segment.
func TestRoutes(t *testing.T) {
	plan := navigator.NewPlan(3).WithRoutes(
		navigator.Route{Name: "root", Host: "a.example", Prefix: "/"},
		navigator.Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		navigator.Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		navigator.Route{Name: "other", Host: "b.example", Prefix: "/x/"},
	)
	var out strings.Builder
	for _, target := range []string{
		"a.example /x/y/z", "a.example /x/y", "a.example /x/yy/z", "a.example /q", "b.example /x/1", "b.example /q", "c.example /x/", "a.example x",
	} {
		host, path, _ := strings.Cut(target, " ")
		r, ok := plan.Route(host, path)
		fmt.Fprintf(&out, "%s -> %q %v\n", target, r.Name, ok)
	}
	goldie.New(t).Assert(t, "routes", []byte(out.String()))
}

// Guards against a plan that is replaced by an older revision, and against watchers that miss a change or are woken
// without one.
func TestRevisionNeverDecreases(t *testing.T) {
	c := qt.New(t)
	var n navigator.Navigator
	c.Assert(n.Current().Revision(), qt.Equals, navigator.Plan{}.Revision())
	c.Assert(n.Adopt(navigator.NewPlan(5)), qt.IsTrue)
	_, changed := n.Watch()
	for _, old := range []navigator.Plan{navigator.NewPlan(5), navigator.NewPlan(4), {}} {
		c.Assert(n.Adopt(old), qt.IsFalse)
	}
	select {
	case <-changed:
		t.Fatal("a plan with an old revision woke a watcher")
	default:
	}
	c.Assert(n.Adopt(navigator.NewPlan(9)), qt.IsTrue)
	<-changed
	c.Assert(int(n.Current().Revision()), qt.Equals, 9)
}

// Guards against a plan that changes when another plan is derived from it, because they share a map.
func TestPlanIsImmutable(t *testing.T) {
	c := qt.New(t)
	team := navigator.Team{Name: "t", Keys: []string{"k"}}
	first := navigator.NewPlan(1).WithTeams(team)
	second := first.WithTeams(navigator.Team{Name: "u", Keys: []string{"k"}}).WithRoutes(navigator.Route{Host: "h", Prefix: "/"})
	got, _ := first.TeamByKey("k")
	c.Assert(string(got.Name), qt.Equals, "t")
	_, ok := first.Route("h", "/")
	c.Assert(ok, qt.IsFalse)
	got, _ = second.TeamByKey("k")
	c.Assert(string(got.Name), qt.Equals, "u")
}

// Guards against requests that are not distributed by the weights of the shares, including services of weight zero.
func TestPickServiceFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := navigator.Route{Shares: []navigator.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "never", Weight: 0}}}
	counts := make(map[string]int)
	const picks = 20000
	for range picks {
		s, ok := r.PickService()
		c.Assert(ok, qt.IsTrue)
		counts[string(s)]++
	}
	// Five standard deviations of a share of 0.1 in 20,000 picks are 212.
	c.Assert(counts["b"] > 1788 && counts["b"] < 2212, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(counts["never"], qt.Equals, 0)
	_, ok := navigator.Route{}.PickService()
	c.Assert(ok, qt.IsFalse)
}

// Measures a lookup with few and with many routes; the time must not grow with their number.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 10000} {
		routes := make([]navigator.Route, 0, n)
		for i := range n {
			routes = append(routes, navigator.Route{Host: "a.example", Prefix: fmt.Sprintf("/r%d/", i), Timeout: time.Second})
		}
		plan := navigator.NewPlan(1).WithRoutes(routes...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				plan.Route("a.example", "/r7/some/path")
			}
		})
	}
}
