package rationer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/rationer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const ms = time.Millisecond

// Guards against requests that are held until their deadline or refused while they could be served, and against a burst that takes the
// slots of other teams: the load is 48 slots at 25 ms a request, time limits of 50 ms to 2 s, and one large and several small teams.
func TestDecisions(t *testing.T) {
	var out strings.Builder
	teams := map[identifier.Team]int{"large": 400, "small": 3}
	for _, running := range []int{0, 23, 47, 48, 120, 200, 2000, 4000} {
		s := rationer.Situation{Slots: 48, Running: running, Work: 25 * ms, Teams: teams}
		fmt.Fprintf(&out, "%4d running, wait %7.1f ms:", running, float64(s.Wait())/float64(ms))
		for _, left := range []time.Duration{50 * ms, 200 * ms, 2000 * ms} {
			for _, team := range []identifier.Team{"large", "small"} {
				verdict, room := s.Decide(team, left, 200*ms)
				fmt.Fprintf(&out, " %s/%v %d %.1f,", team, left, verdict, float64(room)/float64(ms))
			}
		}
		out.WriteString("\n")
	}
	for _, demands := range []map[identifier.Team]int{
		{}, {"a": 100}, {"b": 100}, {"a": 5, "b": 100}, {"b": 100, "c": 100}, {"a": 100, "b": 2, "c": 10}, {"a": 1, "b": 1, "c": 1, "d": 1},
	} {
		s := rationer.Situation{Slots: 48, Teams: demands}
		fmt.Fprintf(&out, "share of a where %v have requests: %d\n", demands, s.Share("a"))
	}
	goldie.New(t).Assert(t, "decisions", []byte(out.String()))
}

// arrive lets n requests of a team arrive at a full service, and returns the delays that refused ones are told.
func arrive(r *rationer.Rationer, team identifier.Team, n, running int) (delays []time.Duration) {
	for range n {
		_, verdict, after := r.Admit(rationer.Arrival{Service: "s", Team: team, Slots: 6, Running: running, Left: 200 * ms})
		if verdict == rationer.Admit {
			running++
		} else {
			delays = append(delays, after)
		}
	}
	return delays
}

// measured returns a Rationer that measured 50 ms for a request.
func measured(clock *timer.Manual) *rationer.Rationer {
	r := rationer.NewRationer(clock)
	ticket, _, _ := r.Admit(rationer.Arrival{Service: "s", Slots: 6, Left: time.Second})
	clock.Advance(50 * ms)
	ticket.End(true)
	return r
}

// Guards against refused callers that come back together, and against a measured time that grows with the queue and then refuses what could
// be served: the load is 40 requests at once for 6 slots.
func TestRefusedCallersAreSpread(t *testing.T) {
	c := qt.New(t)
	clock := &timer.Manual{}
	r := measured(clock)
	delays := arrive(r, "a", 40, 0)
	c.Assert(len(delays) > 10 && len(delays) < 30, qt.IsTrue, qt.Commentf("%v", delays))
	for i := 1; i < len(delays); i++ {
		c.Assert(delays[i]-delays[i-1] >= 8*ms, qt.IsTrue, qt.Commentf("%v", delays))
	}
	queued, _, _ := r.Admit(rationer.Arrival{Service: "s", Team: "a", Slots: 6, Running: 6, Left: time.Hour})
	clock.Advance(time.Minute)
	queued.End(true)
	c.Assert(arrive(r, "a", 1, 7), qt.HasLen, 0)
}

// Guards against shares that hold at one entry only: the load is a team that fills the slots from another entry.
func TestSharesHoldAcrossEntries(t *testing.T) {
	c := qt.New(t)
	clock := &timer.Manual{}
	here, there := measured(clock), measured(clock)
	c.Assert(arrive(there, "large", 12, 0), qt.HasLen, 0)
	small, _, _ := here.Admit(rationer.Arrival{Service: "s", Team: "small", Slots: 6, Left: 200 * ms})
	defer small.End(true)
	// The other entry's requests are not known here yet.
	c.Assert(arrive(here, "large", 1, 6), qt.HasLen, 0)
	there.Publish("there", []rationer.Load{{Service: "s", Running: 12, Slots: 6}}, 1)
	report, revision := there.Observed(0)
	c.Assert(report.IsEmpty(), qt.IsFalse)
	here.Apply(report)
	c.Assert(arrive(here, "large", 1, 1), qt.HasLen, 1)
	c.Assert(arrive(here, "small", 2, 1), qt.HasLen, 0)
	again, _ := there.Observed(revision)
	c.Assert(again.IsEmpty(), qt.IsTrue)
	// The report of an entry that is gone is dropped.
	clock.Advance(5 * rationer.Period(1))
	c.Assert(arrive(here, "large", 1, 1), qt.HasLen, 0)
	there.Publish("there", []rationer.Load{{Service: "s", Running: 1, Slots: 6}}, 1)
	c.Assert(there.IsEmpty(), qt.IsTrue)
}
