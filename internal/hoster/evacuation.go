package hoster

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// evacuationReserve is the part of Settings.Evacuate that is reserved for a watch that ends without an answer and for the longest pause
// after it. The call after that still reads the order within the time limit.
const evacuationReserve = 1500 * time.Millisecond

// newEvacuator returns the Evacuator of a process, or nil if evacuation is switched off.
func newEvacuator(s Settings) *evacuator.Evacuator {
	if s.Evacuate <= 0 {
		return nil
	}
	known := []identifier.Zone{s.Zone}
	for zone := range s.Regions {
		known = append(known, zone)
	}
	return evacuator.NewEvacuator(known...)
}

// evacuationDelay returns the time within which a watch has to report an order.
func (s Settings) evacuationDelay() time.Duration { return max(0, s.Evacuate-evacuationReserve) }

// zoneView is a storer.View of the operators' orders to evacuate availability zones. While the store is away, the last known orders
// stay in force.
type zoneView struct {
	decoder   Decoder
	evacuator *evacuator.Evacuator
	log       *logger.Logger
	// onChange is called after each read of all orders, and after each change of one.
	onChange func()
	// onReturn is called with a zone before it is taken back; it may be nil.
	onReturn func(identifier.Zone)
}

// Reset replaces all orders.
func (v *zoneView) Reset(entries []storer.Entry) {
	orders := make([]evacuator.Order, 0, len(entries))
	returning := v.evacuator.Zones()
	for _, e := range entries {
		zone := v.decoder.EvacuatedZone(e.Key)
		orders = append(orders, evacuator.Order{Zone: zone, Revision: e.Changed})
		returning = returning.Without(zone)
	}
	v.returns(returning)
	v.report(v.evacuator.Replace(orders))
	v.onChange()
}

// Apply applies one order, or its removal.
func (v *zoneView) Apply(c storer.Change) {
	order := evacuator.Order{Zone: v.decoder.EvacuatedZone(c.Key), Removed: c.Removed, Revision: c.Changed}
	if order.Removed {
		v.returns(evacuator.NewZones(order.Zone))
	}
	if changes := v.evacuator.Apply(order); len(changes) > 0 {
		v.report(changes)
		v.onChange()
	}
}

// returns calls onReturn with the given zones.
func (v *zoneView) returns(zones evacuator.Zones) {
	if v.onReturn == nil {
		return
	}
	for _, z := range zones.Names() {
		v.onReturn(z)
	}
}

// Interrupted has no effect: the last known orders stay in force.
func (v *zoneView) Interrupted() {}

// Resumed has no effect either.
func (v *zoneView) Resumed() {}

// report logs the effects of orders.
func (v *zoneView) report(changes []evacuator.Change) {
	for _, c := range changes {
		event := logger.ZoneEvacuated
		switch c.Effect {
		case evacuator.TakenBack:
			event = logger.ZoneTakenBack
		case evacuator.UnknownZone:
			event = logger.ZoneUnknown
		case evacuator.Evacuated:
		}
		v.log.Emit(event, "zone", c.Zone, "changed", c.Revision)
	}
}

// strandedServices are the services all of whose targets are in evacuated zones, as of the last check.
type strandedServices struct {
	registrar *registrar.Registrar
	log       *logger.Logger
	mutex     sync.Mutex
	services  evacuator.Stranded
}

// check logs which services have no target left outside the evacuated zones, and which have one again.
func (s *strandedServices) check() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	began, ended, now := s.services.Update(s.registrar.Stranded())
	s.services = now
	for _, service := range began {
		s.log.Emit(logger.ServiceStranded, "service", service)
	}
	for _, service := range ended {
		s.log.Emit(logger.ServiceRegained, "service", service)
	}
}

// count returns the number of such services.
func (s *strandedServices) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.services.Len()
}

// contains reports whether all targets of a service are in evacuated zones.
func (s *strandedServices) contains(service identifier.Service) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.services.Contains(service)
}

// operatorViews is a storer.View of all keys that operators write, for a process that reads them with one watch. It passes the orders to
// evacuate zones to one view and everything else to the other.
type operatorViews struct {
	*operatorView
	zones  *zoneView
	prefix string
}

// Reset passes all entries on.
func (v operatorViews) Reset(entries []storer.Entry) {
	var orders, others []storer.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, v.prefix) {
			orders = append(orders, e)
		} else {
			others = append(others, e)
		}
	}
	v.zones.Reset(orders)
	v.operatorView.Reset(others)
}

// Apply passes one change on.
func (v operatorViews) Apply(c storer.Change) {
	if strings.HasPrefix(c.Key, v.prefix) {
		v.zones.Apply(c)
		return
	}
	v.operatorView.Apply(c)
}

// startGate is a forwarder.StartReader that asks no target of an evacuated zone.
type startGate struct {
	forwarder.StartReader
	evacuator *evacuator.Evacuator
}

// Start returns the incarnation of a target, and false for one in an evacuated zone.
func (g startGate) Start(ctx context.Context, t router.Target) (identifier.Incarnation, time.Time, bool) {
	if g.evacuator.Evacuated(t.Zone) {
		return 0, time.Time{}, false
	}
	return g.StartReader.Start(ctx, t)
}

// zoneView returns the view of the orders of this entry.
func (e *Entry) zoneView(d Decoder) *zoneView {
	return &zoneView{
		decoder: d, evacuator: e.evacuator, log: e.log,
		onReturn: func(z identifier.Zone) { e.cold.returning(e.targets.registrar.TargetsIn(z)) },
		onChange: func() {
			e.targets.update(nil)
			e.cold.askSuspects()
		},
	}
}

// evacuationState returns the function that reads the gauges of evacuation, or nil if it is switched off.
func (e *Entry) evacuationState() func() exporter.EvacuationState {
	if e.evacuator == nil {
		return nil
	}
	return func() exporter.EvacuationState {
		return exporter.EvacuationState{
			Zones: e.evacuator.Zones().Len(), Unknown: len(e.evacuator.Unknown()), Stranded: e.stranded.count(),
		}
	}
}
