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

// Guards against a request that is led by a route with a shorter prefix, by one of another host, or by a prefix that ends
// within a segment.
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

// Guards against a plan that goes back to an older revision, and against a waiting part that misses a change.
func TestPlanOnlyRises(t *testing.T) {
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
		t.Fatal("a refused plan woke a waiting part")
	default:
	}
	c.Assert(n.Adopt(navigator.NewPlan(9)), qt.IsTrue)
	<-changed
	c.Assert(int(n.Current().Revision()), qt.Equals, 9)
}

// Guards against a plan that a later one changes.
func TestPlanIsImmutable(t *testing.T) {
	c := qt.New(t)
	team := navigator.Team{Name: "t", Keys: []string{"k"}}
	first := navigator.NewPlan(1).WithTeams(team)
	second := first.WithTeams(navigator.Team{Name: "u", Keys: []string{"k"}}).WithRoutes(navigator.Route{Host: "h", Prefix: "/"})
	holder, _ := first.TeamByKey("k")
	c.Assert(string(holder.Name), qt.Equals, "t")
	_, ok := first.Route("h", "/")
	c.Assert(ok, qt.IsFalse)
	holder, _ = second.TeamByKey("k")
	c.Assert(string(holder.Name), qt.Equals, "u")
}

// Guards against shares that a route does not keep to.
func TestPickKeepsShares(t *testing.T) {
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

// Shows that the time of a lookup does not grow with the number of routes.
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
