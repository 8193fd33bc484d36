package forwarder_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/estimator"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against everyday requests whose work does not count at their target while they run, still counts once they have ended, or is
// learned from answers that say nothing about it: refusals, failures and what broke off.
func TestWorkOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		var clock timer.Manual
		f := newFixtureWithClock(&clock, plan(), 3)
		f.Estimator = estimator.NewEstimator()
		slow := func(r reply, took time.Duration) reply {
			r.before = func() {
				for _, l := range f.Router.OwnLoads() {
					fmt.Fprintf(&out, "  running: %d, work %v\n", l.Count, l.Work)
				}
				clock.Advance(took)
			}
			return r
		}
		send := func(title, path string, times int, r reply, took time.Duration) {
			fmt.Fprintf(&out, "%s\n", title)
			for range times {
				f.caller.replies = []reply{slow(r, took)}
				r := f.Forward(t.Context(), forwarder.Request{ID: "r", Method: "POST", URI: path, Path: path, Host: "h", Key: "key"}, &sink{})
				synctest.Wait()
				fmt.Fprintf(&out, "  %s, left %v\n", r.Outcome, f.Router.OwnLoads())
			}
		}
		ok := reply{status: 200, body: "whole"}
		send("8 answers after 20 ms", "/once/x", 8, ok, 20*time.Millisecond)
		send("refused, then answered at once", "/once/x", 1, reply{status: 503, notRun: true}, time.Millisecond)
		send("failed", "/once/x", 1, reply{status: 500, body: "sorry"}, time.Millisecond)
		send("broke off", "/once/x", 1, reply{fault: forwarder.Broken}, time.Millisecond)
		send("once more", "/once/x", 1, ok, 20*time.Millisecond)
		send("a stream", "/stream/x", 2, reply{status: 200, body: "1:a\n2:b\n"}, 60*time.Millisecond)
		goldie.New(t).Assert(t, "work", []byte(out.String()))
	})
}
