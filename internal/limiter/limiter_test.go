package limiter_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// span is the time in which the requests at a target are counted.
const span = 4 * time.Second

// allowed returns the number of requests that a target may get within span: one and a half times its rate, and five.
func allowed(rate float64) int { return int(1.5*rate*span.Seconds()) + 5 }

// most returns the largest number of times, in order, that lie within span.
func most(times []time.Duration) int {
	n, first := 0, 0
	for last, at := range times {
		for at-times[first] > span {
			first++
		}
		n = max(n, last-first+1)
	}
	return n
}

func target(n int) router.Target {
	return router.Target{ID: identifier.Target(fmt.Sprint("t", n)), Service: "s", Zone: "z", Slots: 100, Incarnation: 1}
}

// Guards against an allotter that gives out more permits than the target takes, whoever asks how often, and against one that
// gives out fewer than a target takes while it is asked.
func TestAllottedPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 50).Draw(t, "rate")
		var a limiter.Allotter
		var permits []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			if a.Allot(limiter.Ask{Target: "t", Rate: rate, Age: time.Duration(rapid.IntRange(0, 9).Draw(t, "age"))}, now).Permit {
				permits = append(permits, now)
			}
		}
		effective := max(rate, 0.5)
		if n, limit := most(permits), int(effective*(span+250*time.Millisecond).Seconds())+2; n > limit {
			t.Fatalf("%d permits in %v at %v a second, want at most %d", n, span, rate, limit)
		}
	})
	var a limiter.Allotter
	permits := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		if a.Allot(limiter.Ask{Target: "t", Rate: 3}, now).Permit {
			permits++
		}
	}
	// A target that is new to the allotter has no permits for a second.
	qt.Assert(t, permits >= 3*59-3 && permits <= 3*59+3, qt.IsTrue, qt.Commentf("%d permits in a minute", permits))
}

// Guards against a rate that makes no sense, is zero, huge, lowered, raised or no longer named and stops all requests, lifts a
// limit or lasts for ever.
func TestStatements(t *testing.T) {
	var out strings.Builder
	clock := &timer.Manual{}
	l := limiter.NewLimiter(&network{allotters: []*limiter.Allotter{{}}}, clock, nil)
	names := map[limiter.Change]string{limiter.NoChange: "-", limiter.Limited: "limited", limiter.Lifted: "lifted", limiter.Unreadable: "unreadable"}
	record := func(what string, t router.Target, s limiter.Statement, sent time.Duration) {
		change := l.Record(t, s, sent)
		notices, _ := l.Observed(0)
		rates := make([]string, 0, len(notices))
		for _, n := range notices {
			rates = append(rates, fmt.Sprintf("%s:%v:%v", n.Target, n.Named, n.Rate))
		}
		slices.Sort(rates)
		fmt.Fprintf(&out, "%-46s %-10s %d limited  told to others: %s\n", what, names[change], l.Count(), strings.Join(rates, " "))
	}
	named := func(rate float64) limiter.Statement { return limiter.Statement{Named: true, Rate: rate} }
	now := func() time.Duration {
		clock.Advance(time.Second)
		return clock.Monotonic()
	}
	record("nothing named", target(1), limiter.Statement{}, now())
	record("1.5 named", target(1), named(1.5), now())
	record("another rate", target(1), named(0.2), now())
	record("not a number", target(1), named(math.NaN()), now())
	record("not a number again", target(1), named(math.NaN()), now())
	record("negative", target(2), named(-1), now())
	record("without bound", target(2), named(math.Inf(1)), now())
	record("zero", target(2), named(0), now())
	record("huge lifts", target(2), named(1e12), now())
	record("no rate in the answer to an earlier request", target(1), limiter.Statement{}, 2*time.Second)
	record("no rate in the answer to a later one", target(1), limiter.Statement{}, now())
	record("named again", target(1), named(2), now())
	restarted := target(1)
	restarted.Incarnation = 2
	record("another start names nothing", restarted, limiter.Statement{}, 0)
	record("and then names a rate", restarted, named(4), now())
	l.Retain(router.NewView([]router.Target{target(2)}))
	record("the target is gone", target(2), limiter.Statement{}, now())
	goldie.New(t).Assert(t, "statements", []byte(out.String()))
}

// Guards against entries that miss what another one learnt, or believe it although they know better.
func TestNotices(t *testing.T) {
	c := qt.New(t)
	clock := &timer.Manual{}
	entry := func() *limiter.Limiter { return limiter.NewLimiter(&network{}, clock, nil) }
	first, second := entry(), entry()
	tell := func(from, to *limiter.Limiter) {
		notices, _ := from.Observed(0)
		to.Apply(notices)
	}
	first.Record(target(1), limiter.Statement{Named: true, Rate: 2}, 0)
	clock.Advance(time.Second)
	tell(first, second)
	c.Assert(second.Count(), qt.Equals, 1)
	c.Assert(second.IsEmpty(), qt.IsTrue) // It passes on only what its own answers showed.
	second.Record(target(1), limiter.Statement{Named: true, Rate: 2}, clock.Monotonic())
	c.Assert(second.IsEmpty(), qt.IsFalse)
	clock.Advance(time.Second)
	second.Record(target(1), limiter.Statement{}, clock.Monotonic())
	c.Assert(second.Count(), qt.Equals, 0)
	tell(first, second) // What first knows is older.
	c.Assert(second.Count(), qt.Equals, 0)
}

// network connects entries to the one that is responsible for all targets. While that changes, both answer.
type network struct {
	clock     timer.Service
	allotters []*limiter.Allotter
	processes int
	random    *rand.Rand
	cut       bool
}

func (n *network) Allot(_ context.Context, q limiter.Ask) (limiter.Grant, bool) {
	if n.cut || len(n.allotters) == 0 {
		return limiter.Grant{}, false
	}
	return n.allotters[n.random.IntN(len(n.allotters))].Allot(q, n.clock.Monotonic()), true
}

func (n *network) Processes() int { return n.processes }

// sharing is a number of entries that send as many requests to three limited targets as they may, in stepped time.
type sharing struct {
	clock   *timer.Manual
	rate    float64
	view    router.View
	entries []*limiter.Limiter
	routers []*router.Router
	links   []*network
	sent    map[identifier.Target][]time.Duration
}

const limitedTargets = 3

func newSharing(entries int, rate float64, seed uint64) *sharing {
	s := &sharing{clock: &timer.Manual{}, rate: rate, sent: make(map[identifier.Target][]time.Duration)}
	s.clock.Advance(time.Second)
	targets := make([]router.Target, 0, limitedTargets)
	for n := range limitedTargets {
		targets = append(targets, target(n))
	}
	s.view = router.NewView(targets)
	for i := range entries {
		s.entries, s.routers = append(s.entries, nil), append(s.routers, nil)
		s.links = append(s.links, &network{clock: s.clock, processes: entries, random: rand.New(rand.NewPCG(seed, uint64(i)))})
		s.restart(i)
	}
	s.setAllotters(&limiter.Allotter{})
	return s
}

// restart replaces an entry by a new start, which is told of the limits.
func (s *sharing) restart(i int) {
	s.routers[i] = router.NewRouter(router.WithSeed(uint64(i)))
	s.routers[i].Adopt(s.view)
	s.entries[i] = limiter.NewLimiter(s.links[i], s.clock, nil)
	for n := range limitedTargets {
		s.entries[i].Record(target(n), limiter.Statement{Named: true, Rate: s.rate}, s.clock.Monotonic())
	}
}

func (s *sharing) setAllotters(all ...*limiter.Allotter) {
	for _, link := range s.links {
		link.allotters = all
	}
}

// maxPerStep bounds the requests of an entry in one step, so that a target that is not limited fails a test and does not stop it. It is
// above all permits of a step.
const maxPerStep = 100

// step lets 20 ms pass, in which each entry sends what it may.
func (s *sharing) step(ctx context.Context) {
	for i, entry := range s.entries {
		entry.SetDemand("s", 8)
		entry.Step(ctx)
		for range maxPerStep {
			t, ok := entry.Choose(s.routers[i], router.Requirements{Service: "s", Zone: "z"})
			if !ok {
				break
			}
			s.routers[i].Release(t.ID)
			s.sent[t.ID] = append(s.sent[t.ID], s.clock.Monotonic())
		}
	}
	s.clock.Advance(20 * time.Millisecond)
}

// check checks that no target got more requests than allowed.
func (s *sharing) check(t *testing.T, what string) {
	for id, times := range s.sent {
		qt.Check(t, most(times) <= allowed(s.rate), qt.IsTrue,
			qt.Commentf("%s, rate %v: %s got %d requests in %v, allowed are %d", what, s.rate, id, most(times), span, allowed(s.rate)))
	}
}

// testRates are the rates that targets name in these tests, in requests a second.
var testRates = []float64{0, 0.3, 1.3, 8, 60}

// steps is the number of steps in half a minute, and seeds the number of seeds that are played.
const (
	steps = 1500
	seeds = 3
)

// Guards against targets that get more than their rate from all entries together while entries start again and are cut off
// from the one that allots the permits.
func TestRateIsSharedWhileEntriesAreCutOff(t *testing.T) {
	for _, rate := range testRates {
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSharing(1+random.IntN(6), rate, seed)
			for range steps {
				switch i := random.IntN(len(s.entries)); random.IntN(150) {
				case 0:
					s.restart(i)
				case 1:
					s.links[i].cut = !s.links[i].cut
				}
				s.step(t.Context())
			}
			s.check(t, fmt.Sprint("seed ", seed))
		}
	}
}

// Guards against targets that get more than their rate while another entry becomes responsible for them and the entries
// disagree for two seconds on which one it is.
func TestRateIsSharedWhileEntriesDisagree(t *testing.T) {
	const disagreement = 2 * time.Second
	for _, rate := range testRates {
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, 2))
			s := newSharing(1+random.IntN(6), rate, seed)
			var changedAt time.Duration
			for range steps {
				switch since := s.clock.Monotonic() - changedAt; {
				case len(s.links[0].allotters) > 1 && since > disagreement:
					s.setAllotters(s.links[0].allotters[1])
				case since > disagreement+span && random.IntN(100) == 0:
					s.setAllotters(s.links[0].allotters[0], &limiter.Allotter{})
					changedAt = s.clock.Monotonic()
				}
				if random.IntN(150) == 0 {
					s.restart(random.IntN(len(s.entries)))
				}
				s.step(t.Context())
			}
			s.check(t, fmt.Sprint("seed ", seed))
		}
	}
}

// Guards against rates that are not used although work waits.
func TestRateIsUsed(t *testing.T) {
	for _, rate := range testRates {
		s := newSharing(4, rate, 1)
		for range steps {
			s.step(t.Context())
		}
		s.check(t, "calm")
		total := 0
		for _, times := range s.sent {
			total += len(times)
		}
		expected := max(rate, 0.5) * 30 * limitedTargets
		qt.Check(t, float64(total) > 0.9*expected, qt.IsTrue, qt.Commentf("rate %v: %d requests, the targets take %.0f", rate, total, expected))
	}
}

// Guards against a request that waits for a permit although none is to be had, and one that does not get a permit that is
// there.
func TestAwaitPermit(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	a := &limiter.Allotter{}
	link := &network{clock: clock, allotters: []*limiter.Allotter{a}, processes: 1, random: rand.New(rand.NewPCG(1, 1))}
	l := limiter.NewLimiter(link, clock, nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	c.Assert(l.Await(ctx, "s", nil, time.Minute), qt.IsFalse)
	l.Record(target(1), limiter.Statement{Named: true, Rate: 20}, clock.Monotonic())
	c.Assert(l.Await(ctx, "s", nil, time.Minute), qt.IsTrue)
	c.Assert(l.Await(ctx, "s", []identifier.Target{"t1"}, time.Minute), qt.IsFalse)
	rare := target(2)
	rare.Service = "rare"
	l.Record(rare, limiter.Statement{Named: true, Rate: 0.5}, clock.Monotonic())
	// The next permit comes long after the wait, so the request is refused at once, and comes back when there may be one.
	began := clock.Monotonic()
	c.Assert(l.Await(ctx, "rare", nil, 2*time.Second), qt.IsFalse)
	c.Assert(clock.Monotonic()-began < time.Second, qt.IsTrue)
	c.Assert(l.RetryAfter("rare") > time.Second, qt.IsTrue)
}
