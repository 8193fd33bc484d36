package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// coldCase is what a cold target sustains, and the bound of its requests.
type coldCase struct {
	sustained float64
	bound     limiter.ColdBound
}

// allowed returns the number of requests that a cold target may get within any second.
func (c coldCase) allowed() int { return int(c.sustained*max(c.bound.Overage, 1) + c.bound.Slack) }

// coldCases are a production deployment, the same without settings, and the ends of the range.
var coldCases = []coldCase{
	{12, limiter.ColdBound{Overage: 1.5, Slack: 5}}, {12, limiter.ColdBound{}}, {1, limiter.ColdBound{}}, {100, limiter.ColdBound{Overage: 1.1}},
}

// mostPerSecond returns the largest number of arrivals, in order, in any second.
func mostPerSecond(times []time.Duration) int {
	n, first := 0, 0
	for last, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		n = max(n, last-first+1)
	}
	return n
}

// newColdSharing returns entries before cold targets that name no rate.
func newColdSharing(entries int, seed uint64, c coldCase) *sharing {
	s := newSharing(entries, 0, seed)
	for i := range s.entries {
		s.restartCold(i, c)
	}
	return s
}

// restartCold replaces an entry by a new start, to which every target is cold by its listing.
func (s *sharing) restartCold(i int, c coldCase) {
	s.entries[i] = limiter.NewLimiter(s.links[i], s.clock, nil)
	rate, fallback := c.bound.Rates(c.sustained)
	for n := range limitedTargets {
		t := target(n)
		s.entries[i].SetCold(limiter.Coldness{
			Target: t.ID, Incarnation: t.Incarnation, Service: t.Service, Left: time.Hour, Rate: rate, Fallback: fallback,
		})
	}
}

// checkCold checks the requests of every second.
func (s *sharing) checkCold(t *testing.T, what string, c coldCase) {
	for id, times := range s.sent {
		qt.Check(t, mostPerSecond(times) <= c.allowed(), qt.IsTrue, qt.Commentf("%s, %+v: %s got %d requests in a second, allowed are %d",
			what, c, id, mostPerSecond(times), c.allowed()))
	}
}

// Guards against cold targets that get more requests in a second than the bound, summed over all entries, because entries start
// again, are cut off from the one that allots the permits, all at once or one by one, or disagree for 2 s on which one it is.
func TestColdTargetsStayWithinTheirBound(t *testing.T) {
	for _, c := range coldCases {
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, 3))
			s := newColdSharing(1+random.IntN(20), seed, c)
			var changedAt time.Duration
			for range steps {
				since := s.clock.Monotonic() - changedAt
				if len(s.links[0].allotters) > 1 && since > 2*time.Second {
					s.setAllotters(s.links[0].allotters[1])
				}
				switch i := random.IntN(len(s.entries)); random.IntN(150) {
				case 0:
					s.restartCold(i, c)
				case 1:
					s.links[i].cut = !s.links[i].cut
				case 2:
					cut := !s.links[i].cut
					for _, link := range s.links {
						link.cut = cut
					}
				case 3:
					if since > 5*time.Second {
						s.setAllotters(s.links[0].allotters[0], &limiter.Allotter{})
						changedAt = s.clock.Monotonic()
					}
				}
				s.step(t.Context())
			}
			s.checkCold(t, fmt.Sprint("seed ", seed), c)
		}
	}
}

// Guards against a zone whose targets are all cold and get less than they sustain, although work waits and entries reach each other.
func TestColdZoneIsUsed(t *testing.T) {
	c := coldCases[0]
	s := newColdSharing(4, 1, c)
	for range steps {
		s.step(t.Context())
	}
	rate, _ := c.bound.Rates(c.sustained)
	for id, times := range s.sent {
		qt.Check(t, float64(len(times)) > 0.85*rate*28, qt.IsTrue, qt.Commentf("%s got %d requests in 30 s", id, len(times)))
	}
	s.checkCold(t, "calm", c)
}

// Guards against a cold target that gets more than the rate that it names, and against one that gets more than it sustains because
// some entries know only the higher rate that it names and not that it is cold.
func TestColdTargetsThatNameARate(t *testing.T) {
	c := coldCases[0]
	for _, rate := range []float64{2, 60} {
		s := newColdSharing(4, 1, c)
		if rate > c.sustained {
			s.restart(3) // has not read the listings
		}
		for range steps {
			for _, entry := range s.entries {
				for n := range limitedTargets {
					entry.Record(target(n), limiter.Statement{Named: true, Rate: rate}, s.clock.Monotonic())
				}
			}
			s.step(t.Context())
		}
		s.checkCold(t, fmt.Sprint("named ", rate), c)
		for id, times := range s.sent {
			qt.Check(t, most(times) <= allowed(rate), qt.IsTrue, qt.Commentf("%s got %d requests in %v, it names %v", id, most(times), span, rate))
		}
	}
}

// Guards against entries that are cut off together and send their first requests together.
func TestManyEntriesThatAreCutOff(t *testing.T) {
	const entries, cutOffSteps = 60, 3000
	c := coldCases[0]
	s := newColdSharing(entries, 1, c)
	for _, link := range s.links {
		link.cut = true
	}
	for range cutOffSteps {
		s.step(t.Context())
	}
	qt.Assert(t, s.sent, qt.HasLen, limitedTargets)
	s.checkCold(t, "all cut off", c)
}

// Guards against work that waits and goes to cold targets although a warm one has a free slot, and against work that waits although
// only a cold one has.
func TestWaitingWorkGoesToWarmTargetsFirst(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	link := &network{clock: clock, allotters: []*limiter.Allotter{{}}, random: rand.New(rand.NewPCG(1, 1))}
	l := limiter.NewLimiter(link, clock, nil)
	warm, cold := target(1), target(2)
	warm.Slots, warm.Zone = 1, "y" // the cold one is nearer
	r := router.NewRouter(router.WithSeed(1), router.WithPolicy(router.NewCombined()))
	r.Adopt(router.NewView([]router.Target{warm, cold}))
	l.SetCold(limiter.Coldness{Target: cold.ID, Incarnation: cold.Incarnation, Service: "s", Left: time.Minute, Rate: 11})
	for range 4 {
		l.SetDemand("s", 4)
		l.Step(t.Context())
		clock.Advance(time.Second)
	}
	l.SetDemand("s", 4)
	l.Step(t.Context())
	need := router.Requirements{Service: "s", Zone: "z", Spread: true}
	for _, want := range []router.Target{warm, cold} {
		chosen, ok := l.Choose(r, need)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, chosen.ID, qt.Equals, want.ID)
	}
}
