package hoster

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/checker"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/upgrader"
)

// operatorView is a storer.View of the keys that operators and trainers write. It adopts plans and passes the other
// entries to its callbacks.
type operatorView struct {
	decoder   Decoder
	navigator *navigator.Navigator
	log       *logger.Logger
	// onPlan is called with a plan before it is adopted; it may be nil.
	onPlan func(navigator.Plan)
	// onDesired is called with desired versions and onRetire with VMs to retire; either may be nil.
	onDesired func(upgrader.DesiredVersion)
	onRetire  func(n identifier.Node, status storer.Put)
	// findings are those of the adopted plan.
	findings []checker.Finding
	// interrupted is set from an interruption of the watch until reads work again.
	interrupted bool
}

// Reset applies all entries.
func (v *operatorView) Reset(entries []storer.Entry) {
	v.Resumed()
	for _, e := range entries {
		v.Apply(storer.Change{Entry: e})
	}
}

// Interrupted logs that the plan may be out of date; it stays in effect.
func (v *operatorView) Interrupted() {
	if !v.interrupted {
		v.log.Emit(logger.StoreLost, "config", v.navigator.Current().Revision())
	}
	v.interrupted = true
}

// Resumed logs that the plan is up to date again.
func (v *operatorView) Resumed() {
	if v.interrupted {
		v.log.Emit(logger.StoreRegained)
	}
	v.interrupted = false
}

// Apply decodes one changed entry and adopts it. Removed entries are ignored.
func (v *operatorView) Apply(c storer.Change) {
	if c.Removed {
		return
	}
	o, err := v.decoder.Operator(c.Entry)
	switch {
	case err != nil:
		v.log.Emit(logger.ConfigUnreadable, "key", c.Key, "error", err)
	case o.Plan != nil:
		if v.onPlan != nil && o.Plan.Revision() > v.navigator.Current().Revision() {
			v.onPlan(*o.Plan)
		}
		if v.navigator.Adopt(*o.Plan) {
			v.log.Emit(logger.ConfigAdopted, "revision", o.Plan.Revision(), "changed", c.Changed)
			v.report(o)
		}
	case o.Desired != nil && v.onDesired != nil:
		v.log.Emit(logger.WantedVersionReceived, "model", o.Desired.Model, "version", o.Desired.Version)
		v.onDesired(*o.Desired)
	case o.Retire != "" && v.onRetire != nil:
		v.onRetire(o.Retire, o.Status)
	}
}

// report logs the findings of an adopted plan if they differ from those of the one before.
func (v *operatorView) report(o OperatorEntry) {
	if len(o.Findings) > 0 && !slices.Equal(o.Findings, v.findings) {
		v.log.Emit(logger.ConfigDoubtful, "revision", o.Plan.Revision(), "count", len(o.Findings), "findings", checker.Texts(o.Findings))
	}
	v.findings = o.Findings
}

// errContradiction is the reason why a target is not used whose listings name several releases for one start.
var errContradiction = errors.New("listings of one start name several software versions")

// lapseGrace is the time after the end of an outage within which listings return whose leases expired while the store was away.
// A target that is not listed then has left, whenever this process came to know of the removal.
const lapseGrace = 2 * time.Second

// targetView is a storer.View of the listings of targets. It updates the registrar and the router.
type targetView struct {
	decoder   Decoder
	registrar *registrar.Registrar
	router    *router.Router
	clock     timer.Service
	log       *logger.Logger
	// availability knows whether leases may have expired in an outage; it may be nil.
	availability *storer.Availability
	// departures holds the targets that said that they leave; it may be nil.
	departures *registrar.Departures
	// adopting is held from the making of a view to its adoption, so that no earlier view replaces a later one.
	adopting sync.Mutex
	// cold takes in listings before a view with them is adopted; it may be nil. onAdopt is called with each view that was adopted, in
	// their order; it may be nil.
	cold    *coldTargets
	onAdopt func(router.View)
	// onChange is called after the targets of the router have changed, and onEnd for each incarnation of a target that has
	// ended without having announced it. Both may be nil.
	onChange func()
	onEnd    func(registrar.Listing)
	// synced is set once all listings have been read.
	synced atomic.Bool
	// unusable holds the revisions of the entries that list no target, by key, so that each is logged once. unusableCount is
	// their number, for other goroutines.
	unusable      map[string]int64
	unusableCount atomic.Int64
}

// Reset replaces all listings.
func (v *targetView) Reset(entries []storer.Entry) {
	all := make([]registrar.Listing, 0, len(entries))
	before := v.unusable
	v.unusable = make(map[string]int64)
	for _, e := range entries {
		if l, ok := v.decode(e, before[e.Key]); ok {
			all = append(all, l)
		}
	}
	v.unusableCount.Store(int64(len(v.unusable)))
	if end, ok := v.availability.ReturnEnd(lapseGrace); ok {
		v.update(v.put(all, func() []registrar.Listing { return v.registrar.ReplaceAfterOutage(all, end) }))
	} else {
		var removed []identifier.Target
		ended := v.put(all, func() (ended []registrar.Listing) {
			ended, removed = v.registrar.Replace(all)
			return ended
		})
		for _, id := range removed {
			v.log.Emit(logger.TargetUnlisted, "target", id, "lapsed", false)
		}
		v.update(ended)
	}
	v.synced.Store(true)
}

// Interrupted has no effect: reads that fail do not show that the leases of listings have expired.
func (v *targetView) Interrupted() {}

// Resumed has no effect either.
func (v *targetView) Resumed() {}

// Apply applies the change of one listing. A listing that can't be decoded counts as removed.
func (v *targetView) Apply(c storer.Change) {
	id := v.decoder.Target(c.Key)
	logged := v.unusable[c.Key]
	delete(v.unusable, c.Key)
	defer func() { v.unusableCount.Store(int64(len(v.unusable))) }()
	if !c.Removed {
		if l, ok := v.decode(c.Entry, logged); ok {
			replaced := v.put([]registrar.Listing{l}, func() []registrar.Listing { return v.registrar.Put(l) })
			v.log.Emit(logger.TargetListed, "target", l.ID, "service", l.Service, "release", l.Release, "draining", l.Draining,
				"incarnation", l.Incarnation, "versions", l.Versions, "changed", c.Changed)
			if v.registrar.Contradictory(l.ID) {
				v.log.Emit(logger.ListingUnreadable, "key", c.Key, "error", errContradiction)
			}
			v.update(replaced)
			return
		}
	}
	returnEnd, lapsed := v.availability.ReturnEnd(lapseGrace)
	v.log.Emit(logger.TargetUnlisted, "target", id, "lapsed", lapsed, "changed", c.Changed)
	var removed []registrar.Listing
	if lapsed {
		v.registrar.MarkLapsed(id, returnEnd)
	} else {
		removed = v.registrar.Remove(id)
	}
	v.update(removed)
}

// put puts listings into the registrar and takes in which of their targets are cold, before a view with them can be adopted. It
// returns the listings that have ended.
func (v *targetView) put(all []registrar.Listing, put func() []registrar.Listing) []registrar.Listing {
	v.adopting.Lock()
	defer v.adopting.Unlock()
	ended := put()
	for _, l := range all {
		v.cold.listed(l, ended)
	}
	return ended
}

// replan takes in a plan before it is adopted: which targets are cold depends on it. Those of evacuated zones, and all of them until the
// orders have been read, are cold as well when they are used later.
func (v *targetView) replan(p navigator.Plan) {
	v.adopting.Lock()
	defer v.adopting.Unlock()
	if v.cold.planned(p) {
		for _, l := range v.registrar.Listed() {
			v.cold.listed(l, nil)
		}
	}
}

// expire drops the targets whose listings were lost and did not return in time.
func (v *targetView) expire() {
	if dropped := v.registrar.Expire(v.clock.Monotonic()); len(dropped) > 0 {
		v.update(dropped)
	}
}

// decode decodes a listing. An entry that lists no target is logged unless it was at the given revision.
func (v *targetView) decode(e storer.Entry, logged int64) (registrar.Listing, bool) {
	l, err := v.decoder.Listing(e)
	if err == nil {
		return l, true
	}
	if e.Changed != logged {
		v.log.Emit(logger.ListingUnreadable, "key", e.Key, "error", err)
	}
	if v.unusable == nil {
		v.unusable = make(map[string]int64)
	}
	v.unusable[e.Key] = e.Changed
	return registrar.Listing{}, false
}

// update passes the targets that accept work to the router, and the incarnations that ended to onEnd. A draining or leaving
// target ends as announced.
func (v *targetView) update(ended []registrar.Listing) {
	v.adopting.Lock()
	view, _ := v.registrar.Watch()
	v.router.Adopt(view)
	if v.onAdopt != nil {
		v.onAdopt(view)
	}
	v.adopting.Unlock()
	if v.onChange != nil {
		v.onChange()
	}
	for _, l := range ended {
		if v.onEnd != nil && !l.Draining && !v.departures.Left(l.ID, l.Incarnation) {
			v.onEnd(l)
		}
	}
}
