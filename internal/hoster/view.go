package hoster

import (
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/upgrader"
)

// operatorView takes over what operators and trainers write.
type operatorView struct {
	decoder   Decoder
	navigator *navigator.Navigator
	log       *logger.Logger
	// wanted and retire are called with what is said beside the plan; either may be nil.
	wanted func(upgrader.DesiredVersion)
	retire func(n identifier.Node, status storer.Put)
	lost   bool
}

// Reset takes over all entries.
func (v *operatorView) Reset(entries []storer.Entry) {
	for _, e := range entries {
		v.Apply(storer.Change{Entry: e})
	}
}

// Interrupted tells that the plan may be out of date; it stays in force.
func (v *operatorView) Interrupted() {
	if !v.lost {
		v.log.Emit(logger.StoreLost, "config", v.navigator.Current().Revision())
	}
	v.lost = true
}

// Apply takes over one change.
func (v *operatorView) Apply(c storer.Change) {
	if v.lost {
		v.log.Emit(logger.StoreRegained)
		v.lost = false
	}
	if c.Removed {
		return
	}
	o, err := v.decoder.Operator(c.Entry)
	switch {
	case err != nil:
		v.log.Emit(logger.ConfigUnreadable, "key", c.Key, "error", err)
	case o.Plan != nil:
		if v.navigator.Adopt(*o.Plan) {
			v.log.Emit(logger.ConfigAdopted, "revision", o.Plan.Revision(), "changed", c.Changed)
		}
	case o.Desired != nil && v.wanted != nil:
		v.log.Emit(logger.WantedVersionReceived, "model", o.Desired.Model, "version", o.Desired.Version)
		v.wanted(*o.Desired)
	case o.Retire != "" && v.retire != nil:
		v.retire(o.Retire, o.Status)
	}
}

// lapseWindow is the time after an interruption in which a listing that goes may have lapsed while the store was away.
const lapseWindow = 3 * time.Second

// targetView takes over the listings of targets.
type targetView struct {
	decoder   Decoder
	registrar *registrar.Registrar
	router    *router.Router
	clock     timer.Service
	log       *logger.Logger
	// interrupted is the boot clock time of the last interruption; zero before the first.
	interrupted time.Duration
	changed     func()
	// known is set once all listings have been read.
	known atomic.Bool
}

// Reset takes over all entries.
func (v *targetView) Reset(entries []storer.Entry) {
	all := make([]registrar.Listing, 0, len(entries))
	for _, e := range entries {
		if l, ok := v.decode(e); ok {
			all = append(all, l)
		}
	}
	v.registrar.Replace(all, v.clock.Boot())
	v.adopt()
	v.known.Store(true)
}

// Interrupted tells that listings may be missed.
func (v *targetView) Interrupted() { v.interrupted = v.clock.Boot() }

// Apply takes over one change.
func (v *targetView) Apply(c storer.Change) {
	id := v.decoder.Target(c.Key)
	if !c.Removed {
		if l, ok := v.decode(c.Entry); ok {
			v.registrar.Put(l)
			v.log.Emit(logger.TargetListed, "target", l.ID, "service", l.Service, "draining", l.Draining, "versions", l.Versions, "changed", c.Changed)
			v.adopt()
			return
		}
	}
	now := v.clock.Boot()
	lapsed := v.interrupted > 0 && now-v.interrupted < lapseWindow
	v.log.Emit(logger.TargetGone, "target", id, "lapsed", lapsed, "changed", c.Changed)
	if lapsed {
		v.registrar.MarkLapsed(id, now)
	} else {
		v.registrar.Remove(id)
	}
	v.adopt()
}

func (v *targetView) decode(e storer.Entry) (registrar.Listing, bool) {
	l, err := v.decoder.Listing(e)
	if err != nil {
		v.log.Emit(logger.ListingUnreadable, "key", e.Key, "error", err)
	}
	return l, err == nil
}

// adopt gives the targets that take work to the router.
func (v *targetView) adopt() {
	view, _ := v.registrar.Watch()
	v.router.Adopt(view)
	if v.changed != nil {
		v.changed()
	}
}
