package hoster

import (
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Guards against restrictions that no target satisfies and that nobody is told of, against reports of others, of shares without weight or
// before the listings were read, and against the same report again.
func TestUnservedRegionsAreReported(t *testing.T) {
	var out strings.Builder
	nav, rt, synced := &navigator.Navigator{}, router.NewRouter(), false
	rt.Adopt(router.NewView([]router.Target{{ID: "t1", Service: "s", Zone: "za", Region: "a"}, {ID: "t2", Service: "s", Zone: "zb", Region: "b"}}))
	r := residencyReport{navigator: nav, router: rt, log: logger.NewLogger("e", "info", &out), synced: func() bool { return synced }}
	route := func(name string, regions ...identifier.Region) navigator.Route {
		return navigator.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Regions: confiner.NewRegions(regions...),
			Shares: []navigator.Share{{Service: "s", Weight: 1}, {Service: "none", Weight: 0}},
		}
	}
	nav.Adopt(navigator.NewPlan(1).WithRoutes(route("any"), route("b", "b"), route("c", "c")).WithTeams(
		navigator.Team{Name: "free", Keys: []string{"1"}},
		navigator.Team{Name: "confined", Keys: []string{"2"}, Regions: confiner.NewRegions("a")},
	))
	r.check()
	out.WriteString("listings read\n")
	synced = true
	r.check()
	r.check()
	out.WriteString("corrected\n")
	nav.Adopt(navigator.NewPlan(2).WithRoutes(route("any"), route("b", "b")))
	r.check()
	goldie.New(t).Assert(t, "residency", regexp.MustCompile(`"@timestamp":"[^"]*",?`).ReplaceAll([]byte(out.String()), nil))
}
