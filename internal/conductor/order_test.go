package conductor_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/navigator"
)

// Guards against a step whose time is over that takes the slots before a younger one which can still be in time, and against items that
// are sent with the urgency of a step that can wait: the load is two steps for which there are 192 slots, all taken when the second comes.
// The targets hold the first step's calls until then. Otherwise a slot may be given up before, and its next call counted after it. The
// second step has more items than there are slots, because the calls of one moment do not begin in the order of their assignment.
func TestLateStepGoesBehind(t *testing.T) {
	const items, starts = 400, 140
	c := qt.New(t)
	cl := newCluster(t, 51, 0)
	cl.engine.textEvents = 2
	cl.engine.pauseAfter.Store(1)
	p := cl.start("n")
	shares := []navigator.Share{{Service: "s", Weight: 1}}
	p.navigator.Adopt(testPlan(
		navigator.Route{
			Host: "h", Prefix: "/jobs/old/", Kind: navigator.Rollout, Shares: shares, MaxAttempts: 3,
			ResultDue: 100 * time.Millisecond, QueueTTL: time.Minute,
		},
		navigator.Route{Host: "h", Prefix: "/jobs/young/", Kind: navigator.Rollout, Shares: shares, MaxAttempts: 3, ResultDue: time.Minute},
		navigator.Route{Host: "h", Prefix: "/other/", Kind: navigator.Once, Shares: shares, Priority: 3},
	))
	released := make(chan struct{})
	hold := func(forwarder.Call) { <-released }
	cl.engine.observe.Store(&hold)
	for _, id := range []string{"old", "young"} {
		spec := newSpec(id, items)
		spec.Path = "/jobs/" + id + "/1"
		c.Assert(p.Submit(t.Context(), spec), qt.Equals, conductor.Accepted)
		if id == "old" {
			<-cl.clock.After(900 * time.Millisecond).C()
		}
	}
	var lock sync.Mutex
	counts := make(map[string]int)
	urgencies := make(map[string]int)
	enough := make(chan struct{})
	observe := func(call forwarder.Call) {
		lock.Lock()
		defer lock.Unlock()
		job, _, _ := strings.Cut(strings.TrimPrefix(string(call.ID), "impossible-"), ":")
		counts[job]++
		urgencies[job] = call.Priority
		if counts["old"]+counts["young"] == starts {
			close(enough)
		}
	}
	cl.engine.observe.Store(&observe)
	close(released)
	<-enough
	lock.Lock()
	defer lock.Unlock()
	c.Assert(counts["young"] > starts*9/10, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(urgencies["young"], qt.Equals, 1)
}
