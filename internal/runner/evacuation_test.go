package runner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/tracker"
)

// Guards against a call to an agent that goes by the view from which its target was chosen in place of the orders in force.
func TestCallsAskForTheOrdersInForce(t *testing.T) {
	m := &membership{tracker: &tracker.Tracker{}}
	for _, evacuated := range []bool{false, true, false} {
		zones := evacuator.NewZones("other")
		if evacuated {
			zones = zones.With("za")
		}
		m.tracker.AdoptEvacuated(zones)
		qt.Assert(t, m.maySend(router.Target{Zone: "za"}), qt.Equals, !evacuated)
	}
}
