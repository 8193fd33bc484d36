package demonstrator_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
)

// Guards against a stream that loses or repeats tokens, or ends early, when its target crashes.
func TestStreamResumesAfterCrash(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	for _, at := range []int{1, 7, 40, 59, 60} {
		s := b.stream("driver", "crash at", 60, func(n int) {
			if n == at {
				b.Standin.Engines[b.busyEngineOr("sortmind-1")].Crash()
			}
		})
		b.assertComplete(s, "crash at", 60)
	}
}

// Guards against a stream that hangs or fails when the connection to its agent stays open but carries no more data.
func TestStreamSurvivesSilentLink(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	var silent time.Time
	s := b.stream("driver", "silent link", 200, func(n int) {
		if n == 20 {
			silent = time.Now()
			b.Assert(b.Links[b.busyEngine()].Silence() > 0, qt.IsTrue)
		}
	})
	b.assertComplete(s, "silent link", 200)
	// The bound covers two missed probes, the period before the first and the time to settle the attempt.
	b.Assert(time.Since(silent) < 5*time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(silent)))
}

// Guards against a stream that fails when its target crashes while the connection to its agent carries no more data.
func TestStreamSurvivesCrashBehindSilentLink(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	s := b.stream("driver", "both at once", 200, func(n int) {
		if n == 20 {
			name := b.busyEngine()
			b.Links[name].Silence()
			b.Standin.Engines[name].Crash()
		}
	})
	b.assertComplete(s, "both at once", 200)
}

// Guards against a stream that is cut when its agent crashes, and against one that fails because a planned stop of the
// agent does not wait for the readers of its attempts.
func TestStreamSurvivesAgentStop(t *testing.T) {
	longDrain, cancelLong := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancelLong()
	shortDrain, cancelShort := context.WithTimeout(context.Background(), time.Second)
	defer cancelShort()
	for name, ctx := range map[string]context.Context{"dies": cancelledContext(), "finishes": longDrain, "moves": shortDrain} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, linkedPlan())
			stopped := make(chan error, 1)
			tokens := map[string]int{"dies": 100, "finishes": 100, "moves": 800}[name]
			stopping := ""
			s := b.stream("driver", "agent "+name, tokens, func(n int) {
				if n == 20 {
					stopping = b.busyEngine()
					go func() { stopped <- b.StopAgent(ctx, stopping) }()
				}
			})
			b.assertComplete(s, "agent "+name, tokens)
			b.Assert(<-stopped, qt.IsNil)
			elsewhere := int64(0)
			for engine, e := range b.Standin.Engines {
				if engine != stopping {
					elsewhere += e.RunsOfPrompt("agent " + name)
				}
			}
			b.Assert(elsewhere > 0, qt.Equals, name != "finishes", qt.Commentf("%d runs elsewhere", elsewhere))
		})
	}
}

// Guards against a stopping entry that refuses requests before /readyz reports that it is not ready, or that cuts requests
// which it accepted.
func TestEntryStopFinishesAcceptedCalls(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	entry := b.Entries[0].Callers
	var unready, served bool
	done := make(chan error, 1)
	s := b.stream("driver", "entry stops", 400, func(n int) {
		if n == 10 {
			go func() { done <- b.StopEntry(context.Background(), 0) }()
			b.await(time.Second, func() bool {
				r := readReply(b.http.Get("http://" + entry + "/readyz"))
				unready = r.status == http.StatusServiceUnavailable
				return unready
			})
			served = readReply(b.post(context.Background(), entry, "/v1/completions", "driver", nil, completionJSON("late", 1, false))).status == http.StatusOK
		}
	})
	b.assertComplete(s, "entry stops", 400)
	b.Assert(<-done, qt.IsNil)
	b.Assert(unready, qt.IsTrue)
	b.Assert(served, qt.IsTrue, qt.Commentf("a request after /readyz failed and before the stop was refused"))
}

// Guards against a stream whose key is withdrawn while it moves to another target, and which continues there.
func TestKeyWithdrawnWhileStreamMoves(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	client := demonstrator.NewClient(b.Deployment)
	var withdrawn time.Time
	s := b.stream("guest", "withdrawn", 5000, func(n int) {
		if n == 20 {
			name := b.busyEngine()
			withdrawn = time.Now()
			r, err := client.SendAsOperator(context.Background(), http.MethodDelete, "/v1/keys/guest", nil, codec.Document{})
			b.Check(err, qt.IsNil)
			b.Check(r.Status, qt.Equals, http.StatusOK)
			b.Standin.Engines[name].Crash()
		}
	})
	b.Assert(s.done, qt.IsFalse)
	b.Assert(s.error, qt.Equals, "key-withdrawn")
	b.Assert(time.Since(withdrawn) < 3*time.Second, qt.IsTrue)
	b.await(3*time.Second, func() bool {
		for _, e := range b.Standin.Engines {
			if e.Running() > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against a request that waits for a target which never starts to generate, and against hedged attempts while all
// targets are healthy.
func TestHedgeOvertakesSlowTarget(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	runs := func() (n int64) {
		for _, e := range b.Standin.Engines {
			n += e.RunsOfPrompt("hedge")
		}
		return n
	}
	const warm, slow = 40, 12
	for i := range warm {
		b.Assert(b.complete(0, fmt.Sprintf("hedge%d", i), 2).status, qt.Equals, http.StatusOK)
	}
	b.Assert(runs() <= warm+warm/10+10, qt.IsTrue, qt.Commentf("%d runs of %d requests", runs(), warm))
	b.Standin.Engines["sortmind-1"].Switches.Set(switcher.Switches{Delay: time.Minute})
	start := time.Now()
	for i := range slow {
		r := b.complete(0, fmt.Sprintf("hedge%d", warm+i), 2)
		b.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
	}
	b.Assert(time.Since(start) < time.Minute, qt.IsTrue)
	b.await(5*time.Second, func() bool {
		running, _ := b.Agents["sortmind-1"].Load()
		return running == 0
	})
}
