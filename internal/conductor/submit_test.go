package conductor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// leaders returns how many jobs each process of a world leads or keeps.
func leaders(w *world) map[identifier.Node]int {
	all := make(map[identifier.Node]int)
	for _, p := range w.processes {
		if n := p.JobCount(); n > 0 {
			all[p.node] = n
		}
	}
	return all
}

// fleet starts n processes that know each other.
func fleet(w *world, n int) {
	for i := range n {
		w.start(identifier.Node(fmt.Sprint("n", i)))
	}
	for _, p := range w.processes {
		for p.Processes() < n {
			<-w.clock.After(5 * time.Millisecond).C()
		}
	}
}

// Guards against jobs of one model that are led all over, so that each opens connections to all targets anew, and against
// a model whose jobs nobody takes because the process that leads them is not reached.
func TestJobsOfAModelStayTogether(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 21, 0)
	fleet(w, 4)
	for i := range 8 {
		s := job(fmt.Sprint("job", i), 8)
		c.Assert(w.processes[i%4].Submit(t.Context(), s), qt.Equals, conductor.Accepted)
		r := &reader{world: w, spec: s}
		for len(r.seen) < len(s.Items) {
			r.next(c, w.processes[(i+1)%4])
		}
		r.check(c)
	}
	led := leaders(w)
	c.Assert(led, qt.HasLen, 1)
	for _, p := range w.processes {
		if led[p.node] > 0 {
			p.link.cut.Store(true)
		}
	}
	for _, p := range w.processes {
		if led[p.node] == 0 {
			c.Assert(p.Submit(t.Context(), job("after-"+string(p.node), 4)), qt.Equals, conductor.Accepted)
		}
	}
}

// Guards against one process that takes the jobs of all models although it has as much to do as it can.
func TestBusyProcessDeclines(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 22, 0)
	w.engine.takes = 300 * time.Millisecond
	fleet(w, 2)
	large := func(model identifier.Model) batcher.Spec {
		s := job("large-"+string(model), 250)
		s.Model = model
		return s
	}
	one, other := w.processes[0], w.processes[1]
	c.Assert(one.AcceptForwarded(t.Context(), large("a")), qt.Equals, conductor.Accepted)
	c.Assert(one.AcceptForwarded(t.Context(), large("b")), qt.Equals, conductor.Declined)
	c.Assert(other.AcceptForwarded(t.Context(), large("b")), qt.Equals, conductor.Accepted)
	// Its own callers are not sent away.
	c.Assert(one.Accept(t.Context(), large("c")), qt.Equals, conductor.Accepted)
}
