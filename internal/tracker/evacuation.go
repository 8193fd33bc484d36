package tracker

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// AdoptEvacuated makes the given zones the evacuated ones.
func (t *Tracker) AdoptEvacuated(z evacuator.Zones) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.evacuated = z
}

// Evacuated returns the evacuated zones.
func (t *Tracker) Evacuated() evacuator.Zones {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.evacuated
}

// RoutedView returns the targets that accept new work, without those in evacuated zones.
func (t *Tracker) RoutedView() router.View {
	evacuated := t.Evacuated()
	if evacuated.Len() == 0 {
		return t.View()
	}
	targets := slices.DeleteFunc(t.View().Targets(), func(target router.Target) bool { return evacuated.Contains(target.Zone) })
	return router.NewView(targets)
}

// Stranded returns the services, sorted, all of whose targets that accept new work are in the given zones.
func (t *Tracker) Stranded(evacuated evacuator.Zones) []identifier.Service {
	if evacuated.Len() == 0 {
		return nil
	}
	zonesOf := make(map[identifier.Service]evacuator.Zones)
	for _, target := range t.View().Targets() {
		zonesOf[target.Service] = zonesOf[target.Service].With(target.Zone)
	}
	return evacuated.Stranded(zonesOf)
}
