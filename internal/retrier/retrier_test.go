package retrier_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/retrier"
)

// Guards against a second run of a request that may not be repeated, and against "not run" for a request that may have
// run.
func TestDecideTable(t *testing.T) {
	var out strings.Builder
	for event := retrier.Unsent; event <= retrier.Abandoned; event++ {
		if step, _ := retrier.DecideOpen(0, event); step != 0 {
			_, ended := retrier.DecideOpen(retrier.DefaultSettles, event)
			fmt.Fprintf(&out, "%-9v %v, in the end %v\n", event, step, ended)
			continue
		}
		for _, once := range []bool{false, true} {
			for _, ran := range []bool{false, true} {
				for _, attempts := range []int{1, retrier.DefaultAttempts} {
					s := retrier.RequestState{Once: once, Ran: ran, Attempts: attempts}
					step := retrier.Decide(s, event, &retrier.Budget{})
					s.Suspect = true
					last := retrier.Decide(s, event, &retrier.Budget{})
					fmt.Fprintf(&out, "%-9v once %-5v ran %-5v attempts %d: %-14v suspect: %v\n", event, once, ran, attempts, step, last)
				}
			}
		}
	}
	goldie.New(t).Assert(t, "decide", []byte(out.String()))
}

// Guards against a hedge after too few observations, and against one so early that healthy targets get double work.
func TestHedgeDelayFollowsLatency(t *testing.T) {
	c := qt.New(t)
	var tracker retrier.LatencyTracker
	for i := range 19 {
		tracker.Observe("sortmind", time.Duration(i)*time.Millisecond)
		_, ok := tracker.HedgeDelay("sortmind")
		c.Assert(ok, qt.IsFalse)
	}
	tracker.Observe("sortmind", 100*time.Millisecond)
	after, ok := tracker.HedgeDelay("sortmind")
	c.Assert(ok, qt.IsTrue)
	c.Assert(after, qt.Equals, 200*time.Millisecond)
	for range 64 {
		tracker.Observe("sortmind", time.Millisecond)
	}
	after, _ = tracker.HedgeDelay("sortmind")
	c.Assert(after, qt.Equals, 50*time.Millisecond)
}

// Guards against retries that multiply the load during an outage.
func TestBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	var b retrier.Budget
	retries := 0
	const firstAttempts = 1000
	for range firstAttempts {
		b.Earn()
		for b.Spend() {
			retries++
		}
	}
	c.Assert(float64(retries) <= firstAttempts*retrier.DefaultRatio+retrier.DefaultReserve, qt.IsTrue, qt.Commentf("%d retries", retries))
}
