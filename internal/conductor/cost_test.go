package conductor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// settleTime is the time within which the last scoring calls are released after their job is complete.
const settleTime = 10 * time.Second

// Guards against work that stays counted at a target after its attempt ended, whichever way, or is subtracted twice: targets would seem
// busy, or idle, for as long as anything runs there. An attempt at each target that does not end keeps the count from starting anew.
func TestOutstandingWorkIsSettled(t *testing.T) {
	c := qt.New(t)
	const size, never = 600, time.Hour
	cl := newCluster(t, 5, 0.2)
	p := cl.start("n0")
	kept := make([]identifier.Target, 0, 6)
	for range cap(kept) {
		target, ok := p.Router.Choose(router.Requirements{Service: "s", Zone: "z", Spread: true, Avoid: kept, Work: never})
		c.Assert(ok, qt.IsTrue)
		kept = append(kept, target.ID)
	}
	r := &reader{cluster: cl, spec: newSpec("job", size)}
	c.Assert(p.Submit(t.Context(), r.spec), qt.Equals, conductor.Accepted)
	counted := false
	for len(r.seen) < size {
		r.readPage(c, p)
		for _, l := range p.Router.OwnLoads() {
			counted = counted || l.Work != never
		}
	}
	c.Assert(counted, qt.IsTrue, qt.Commentf("no attempt had work"))
	c.Assert(p.Estimator.Count() > 0, qt.IsTrue)
	for deadline := time.Now().Add(settleTime); p.Router.InFlight("s") > len(kept) && time.Now().Before(deadline); {
		<-cl.clock.After(5 * time.Millisecond).C()
	}
	for _, l := range p.Router.OwnLoads() {
		c.Check(l, qt.Equals, router.Load{Target: l.Target, Count: 1, Work: never})
	}
}
