package demonstrator_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
)

// setServiceSwitches sets the failure switches of every plain service.
func (b *testbed) setServiceSwitches(sw switcher.Switches) {
	for _, s := range b.Standin.Services {
		s.Switches.Set(sw)
	}
}

// Guards against a second run when a call with an idempotency key is repeated, concurrently or later, at the same entry or
// another.
func TestCallWithIdempotencyKeyRunsOnce(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	b.setServiceSwitches(switcher.Switches{Delay: 300 * time.Millisecond})
	replies := make([]reply, 8)
	var calls sync.WaitGroup
	for i := range 6 {
		calls.Go(func() { replies[i] = b.callWithKey(i%2, "k1", "quote 1") })
	}
	calls.Wait()
	replies[6], replies[7] = b.callWithKey(0, "k1", "quote 1"), b.callWithKey(1, "k1", "quote 1")
	for _, r := range replies {
		b.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		b.Assert(r.body, qt.Equals, replies[0].body)
	}
	b.Assert(b.runsOfBody("quote 1"), qt.Equals, 1)
	b.Assert(replies[7].header.Get("Idempotent-Replayed"), qt.Equals, "true")

	other := b.callWithKey(1, "k1", "another quote")
	b.Assert(other.status, qt.Equals, http.StatusUnprocessableEntity, qt.Commentf("%s", other.body))
	b.Assert(b.runsOfBody("another quote"), qt.Equals, 0)
}

// Guards against a call that runs although its claim could not be stored, and against "not run" for a key whose call may
// have run through another entry, while the key-value service is down.
func TestClaimIsUnknownWhileStoreIsDown(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	b.Standin.Store.Switches.Set(switcher.Switches{Down: true})
	r := b.callWithKey(0, "k2", "quote 2")
	kind, reason := r.problem()
	b.Assert(kind+" "+reason, qt.Equals, "unknown store-unavailable")
	b.Assert(r.status, qt.Equals, http.StatusGatewayTimeout)
	b.Assert(r.header.Get("Retry-After"), qt.Equals, "5")
	b.Assert(b.callService(0, "/v1/services/manifest/check", nil, "no key").status, qt.Equals, http.StatusOK)
	b.Standin.Store.Switches.Set(switcher.Switches{})
	b.Assert(b.runsOfBody("quote 2"), qt.Equals, 0)
	// An entry whose own calls failed meanwhile does not call the store again before the pause of its back-off is over, 10 s at most.
	b.await(10*time.Second, func() bool {
		r = b.callWithKey(1, "k2", "quote 2")
		if r.status != http.StatusOK {
			kind, reason = r.problem()
			b.Assert(kind+" "+reason, qt.Equals, "unknown store-unavailable")
			b.Assert(b.runsOfBody("quote 2"), qt.Equals, 0)
		}
		return r.status == http.StatusOK
	})
	b.Assert(b.runsOfBody("quote 2"), qt.Equals, 1)
}

// Guards against a claim that is lost, or blocks its call permanently, when the response of the key-value service to the
// write of the claim is lost.
func TestClaimSurvivesLostStoreAnswer(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	b.Assert(b.callWithKey(0, "warm", "warm").status, qt.Equals, http.StatusOK)
	b.Standin.Store.Switches.Set(switcher.Switches{Lose: 1})
	r := b.callWithKey(0, "k3", "quote 3")
	b.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
	b.Assert(b.callWithKey(1, "k3", "quote 3").body, qt.Equals, r.body)
	b.Assert(b.runsOfBody("quote 3"), qt.Equals, 1)
}

// Guards against a second run, and against a lost outcome, when the entry crashes between dispatch and response.
func TestEntryCrashBetweenDispatchAndAnswer(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	b.setServiceSwitches(switcher.Switches{Delay: 400 * time.Millisecond})
	first := make(chan reply, 1)
	go func() { first <- b.callWithKey(0, "k4", "quote 4") }()
	b.await(2*time.Second, func() bool { return b.runningServiceAttempts() > 0 })
	b.Assert(b.StopEntry(cancelledContext(), 0), qt.Not(qt.IsNil))
	b.Assert((<-first).status, qt.Not(qt.Equals), http.StatusOK)
	second := b.callWithKey(0, "k4", "quote 4")
	b.Assert(second.status, qt.Equals, http.StatusOK, qt.Commentf("%s", second.body))
	b.Assert(b.runsOfBody("quote 4"), qt.Equals, 1)
}

// Guards against a second run when the agent crashes or the target drops the connection during a call, and against any
// response but "unknown".
func TestCallIsUnknownAfterCrash(t *testing.T) {
	for name, kill := range map[string]func(b *testbed){
		"agent crashes": func(b *testbed) {
			b.setServiceSwitches(switcher.Switches{Delay: 400 * time.Millisecond})
			go func() {
				b.await(2*time.Second, func() bool { return b.runningServiceAttempts() > 0 })
				for target, a := range b.Agents {
					if running, _ := a.Load(); running > 0 && target[0] == 'm' {
						_ = b.StopAgent(cancelledContext(), target)
						b.Check(b.RestartAgent(target), qt.IsNil)
						return
					}
				}
			}()
		},
		"target drops the connection after the run": func(b *testbed) { b.setServiceSwitches(switcher.Switches{Lose: 1}) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, linkedPlan())
			kill(b)
			for i := range 2 {
				r := b.callWithKey(i, "k5", "quote 5")
				kind, _ := r.problem()
				b.Assert(kind, qt.Equals, "unknown", qt.Commentf("%s", r.body))
			}
			b.Assert(b.runsOfBody("quote 5") <= 1, qt.IsTrue)
		})
	}
}

// Guards against "may have run" for a call that no target accepted, and against failed calls while another target works.
func TestUnreachableTargetsAreNotRun(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	for name := range b.Agents {
		if name[0] == 'm' {
			b.Assert(b.Standin.Refuse(name), qt.IsNil)
		}
		if b.Standin.Refused() == 2 {
			break
		}
	}
	// Each call may need two retries, and the retry budget allows ten.
	for range 4 {
		r := b.callService(0, "/v1/services/manifest/check", nil, "one target left")
		b.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
	}
	for name := range b.Agents {
		if name[0] == 'm' {
			b.Assert(b.Standin.Refuse(name), qt.IsNil)
		}
	}
	r := b.callService(0, "/v1/services/manifest/check", nil, "no target left")
	kind, _ := r.problem()
	b.Assert(kind, qt.Equals, "not-run", qt.Commentf("%s", r.body))
	b.Assert(b.runsOfBody("no target left"), qt.Equals, 0)
}

// runningServiceAttempts returns the number of running attempts at the agents of the plain services.
func (b *testbed) runningServiceAttempts() int {
	n := 0
	for name, a := range b.Agents {
		if running, _ := a.Load(); name[0] == 'm' {
			n += running
		}
	}
	return n
}

// Guards against a call that runs a second time, gets "not run" or never ends when its caller disconnects during the run
// and then repeats it at another entry.
func TestAbandonedCallRunsOnce(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	b.setServiceSwitches(switcher.Switches{Delay: 300 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = b.post(ctx, b.Entries[0].Callers, "/v1/services/manifest/check", "clerk", map[string]string{"Idempotency-Key": "k6"}, "quote 6")
	}()
	b.await(2*time.Second, func() bool { return b.runningServiceAttempts() > 0 })
	cancel()
	<-gone
	r := b.callWithKey(1, "k6", "quote 6")
	b.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
	b.Assert(b.runsOfBody("quote 6"), qt.Equals, 1)
}
