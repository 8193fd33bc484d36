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
func TestLateStepGoesBehind(t *testing.T) {
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
	const young = 140
	for _, s := range []struct {
		id    string
		items int
	}{{"old", 400}, {"young", young}} {
		spec := newSpec(s.id, s.items)
		spec.Path = "/jobs/" + s.id + "/1"
		c.Assert(p.Submit(t.Context(), spec), qt.Equals, conductor.Accepted)
		if s.id == "old" {
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
		if counts["old"]+counts["young"] == young {
			close(enough)
		}
	}
	cl.engine.observe.Store(&observe)
	<-enough
	lock.Lock()
	defer lock.Unlock()
	// Slots that were given up before the second step came may still go to the first one.
	c.Assert(counts["young"] > young*9/10, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(urgencies["young"], qt.Equals, 1)
}
