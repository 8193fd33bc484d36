package conductor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Guards against steps of several models that pile up at one process, or at a small one, while others lead nothing: the load is steps of 120
// items at processes with 0.8 and 0.5 cores.
func TestLeaderHasRoom(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct {
		name       string
		cores      []float64
		unfinished []int
		want       identifier.Node
	}{
		{"none leads anything", []float64{0.5, 0.8}, []int{0, 0}, "n0"},
		{"room", []float64{0.8, 0.8}, []int{200, 0}, "n0"},
		{"full", []float64{0.8, 0.8}, []int{201, 0}, "n1"},
		{"a small one is full sooner", []float64{0.5, 0.8}, []int{100, 0}, "n1"},
		{"the small one is the next", []float64{0.8, 0.5}, []int{300, 80}, "n1"},
		{"all full, the least loaded for its cores", []float64{0.5, 0.8}, []int{300, 400}, "n1"},
		{"cores unknown", []float64{0, 0}, []int{300, 10}, "n1"},
	} {
		c.Check(conductor.ChooseLeader(120, tc.cores, tc.unfinished), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// Guards against a process that is not told of the load of others, or tells nothing of its own.
func TestFullLeaderIsPassedOver(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 71, 0)
	cl.engine.callTime = 500 * time.Millisecond
	startProcesses(cl, 2)
	leader, other := cl.processes[0], cl.processes[1]
	c.Assert(leader.Submit(t.Context(), newSpec("first", 100)), qt.Equals, conductor.Accepted)
	if leader.Led("first") == nil {
		leader, other = other, leader
	}
	source := conductor.LoadSource{Conductor: leader.Conductor}
	c.Assert(cl.within(2*time.Second, func() bool { return !source.IsEmpty() }), qt.IsTrue)
	notice, revision := source.Observed(0)
	c.Assert(notice.Unfinished > 80, qt.IsTrue, qt.Commentf("%v", notice))
	again, _ := source.Observed(revision)
	c.Assert(again.IsEmpty(), qt.IsTrue)
	notice.Unfinished = 300
	other.ApplyLoad(notice)
	for i := range 3 {
		id := fmt.Sprint("next", i)
		c.Assert(other.Submit(t.Context(), newSpec(id, 40)), qt.Equals, conductor.Accepted)
		c.Assert(other.Led(identifier.Job(id)), qt.IsNotNil)
	}
}
