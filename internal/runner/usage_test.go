//go:build !lockcheck

package runner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against an allocation per ended request in the code between the dispatcher and the counts. The lock order check
// allocates, so this test is built without it.
func TestEndedDoesNotAllocate(t *testing.T) {
	u := &usage{clock: &timer.Manual{}, meter: meter.NewMeter("entry.1", meter.Calendar{})}
	e := dispatcher.EndedRequest{
		Request: dispatcher.Request{ID: "r", Identity: authenticator.Identity{Team: "routing"}},
		Result:  dispatcher.Result{RunState: dispatcher.HasRun, Final: streamer.Final{Tokens: 5}.WithEnd(streamer.Complete, "length")},
		Targets: []router.Target{{ID: "t", Address: "agent"}},
	}
	qt.Assert(t, testing.AllocsPerRun(10000, func() { u.countEnded(e) }), qt.Equals, 0.0)
	values := u.meter.Values()
	qt.Assert(t, values, qt.HasLen, 1)
	qt.Assert(t, values[0].Lines[0].Figures, qt.Equals, meter.Figures{Requests: 10001, Output: 5 * 10001})
}
