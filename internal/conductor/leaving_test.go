package conductor_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// countingCaller is a forwarder.TargetClient that counts calls and sends none.
type countingCaller struct{ calls int }

func (c *countingCaller) Call(context.Context, forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	c.calls++
	return forwarder.Answer{}, forwarder.Unsent
}

// Guards against an item that is sent to a target which left, or started again, while its assignment waited for a worker.
func TestQueuedAssignmentsAreChecked(t *testing.T) {
	c := qt.New(t)
	present := router.Target{ID: "t", Service: "s", Incarnation: 1}
	for what, view := range map[string][]router.Target{"left": nil, "started again": {{ID: "t", Service: "s", Incarnation: 2}}} {
		caller, route := &countingCaller{}, router.NewRouter()
		conduct := conductor.NewConductor(conductor.Dependencies{Router: route, Registrar: &registrar.Registrar{}, Caller: caller, Clock: &timer.Manual{}})
		route.Adopt(router.NewView([]router.Target{present}))
		target, ok := route.Choose(router.Requirements{Service: "s"})
		c.Assert(ok, qt.IsTrue)
		route.Adopt(router.NewView(view))
		job := batcher.NewJob(batcher.Spec{ID: "j", Items: []batcher.Item{{ID: identifier.Item("i")}}})
		conduct.RunFirst(t.Context(), job, target)
		c.Check(caller.calls, qt.Equals, 0, qt.Commentf(what))
		due, _ := job.Due(0)
		c.Check(due, qt.DeepEquals, []batcher.Demand{{Items: 1}}, qt.Commentf(what))
	}
}
