package hoster

import (
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/router"
)

// residencyReport logs the restrictions of each adopted plan that no listed target satisfies. One goroutine uses it.
type residencyReport struct {
	navigator *navigator.Navigator
	router    *router.Router
	log       *logger.Logger
	// synced reports whether the listings of targets have been read.
	synced  func() bool
	checked identifier.Revision
}

// check checks a plan once, as soon as the listings have been read.
func (r *residencyReport) check() {
	plan := r.navigator.Current()
	if plan.Revision() == r.checked || !r.synced() {
		return
	}
	r.checked = plan.Revision()
	for _, u := range plan.Unserved(r.router.View().ServesIn) {
		r.log.Emit(logger.RegionsUnserved, "revision", r.checked, "route", u.Route, "team", u.Team, "service", u.Service,
			"regions", u.Regions.String())
	}
}
