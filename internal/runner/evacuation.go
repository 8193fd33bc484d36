package runner

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/router"
)

// adoptEvacuated leaves the targets of the zones that a configuration evacuates out of the router's view from now on.
func (m *membership) adoptEvacuated(doc configurator.Document) {
	before, after := m.tracker.Evacuated(), doc.Evacuated()
	m.tracker.AdoptEvacuated(after)
	m.adoptView()
	for _, z := range after.Names() {
		if !before.Contains(z) {
			m.log.Emit(logger.ZoneEvacuated, "zone", z, "revision", doc.Revision())
		}
	}
	for _, z := range before.Names() {
		if !after.Contains(z) {
			m.log.Emit(logger.ZoneTakenBack, "zone", z, "revision", doc.Revision())
		}
	}
}

// adoptView passes the targets that accept new work to the router. Views are made and adopted one after the other, so that an earlier
// one does not bring back the targets of a zone that was evacuated in the meantime.
func (m *membership) adoptView() {
	m.adopting.Lock()
	defer m.adopting.Unlock()
	m.router.Adopt(m.tracker.RoutedView())
}

// maySend reports whether a call may still be sent to a target. An order to evacuate its zone may have been adopted since it was chosen.
func (m *membership) maySend(t router.Target) bool {
	return !m.tracker.Evacuated().Contains(t.Zone)
}

// logStranded logs which services have no target left outside the evacuated zones, and which have one again. Only the goroutine that
// refreshes the view calls it.
func (m *membership) logStranded() {
	began, ended, now := m.stranded.Update(m.tracker.Stranded(m.tracker.Evacuated()))
	m.stranded = now
	for _, s := range began {
		m.log.Emit(logger.ServiceStranded, "service", s)
	}
	for _, s := range ended {
		m.log.Emit(logger.ServiceRegained, "service", s)
	}
}

// zoneStates gives the operators' routes access to the state of the zones.
type zoneStates struct{ *membership }

// ListedZones returns the zones that the VM list names.
func (s zoneStates) ListedZones() []identifier.Zone {
	var names []identifier.Zone
	for _, m := range s.tracker.Members() {
		if !slices.Contains(names, m.Zone) {
			names = append(names, m.Zone)
		}
	}
	return names
}

// ZoneState returns the state of a zone with a document in force.
func (s zoneStates) ZoneState(d configurator.Document, z identifier.Zone) httpserver.ZoneState {
	state := httpserver.ZoneState{
		Zone: z, Region: d.Region(z), Evacuated: d.Evacuated().Contains(z), Revision: d.Revision(), Stranded: []identifier.Service{},
	}
	stranded := s.tracker.Stranded(d.Evacuated())
	for _, m := range s.tracker.Members() {
		if m.Zone != z {
			continue
		}
		state.Region = m.Region
		state.Targets++
		if slices.Contains(stranded, m.Service) && !slices.Contains(state.Stranded, m.Service) {
			state.Stranded = append(state.Stranded, m.Service)
		}
	}
	slices.Sort(state.Stranded)
	for _, t := range s.tracker.View().Targets() {
		if t.Zone == z {
			state.Running += t.Running
			if !state.Evacuated {
				state.Serving++
			}
		}
	}
	return state
}

// RecordUnknown logs an order for a zone that does not exist.
func (s zoneStates) RecordUnknown(z identifier.Zone) { s.log.Emit(logger.ZoneUnknown, "zone", z) }
