package reporter_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/reporter"
	"github.com/mimosalb/mimosalb/internal/standin/memory"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// killed is the panic value that simulates the death of a process.
type killed struct{}

// agents maps addresses to record buffers. The functions draw whether a reply is lost or an agent is unreachable.
type agents struct {
	buffers     map[string]*meter.RecordBuffer
	loseReply   func() bool
	unreachable func() bool
}

func (a *agents) Usage(_ context.Context, agent string, q meter.Query) (meter.Reply, bool) {
	if a.unreachable != nil && a.unreachable() {
		return meter.Reply{}, false
	}
	reply := a.buffers[agent].Answer(q)
	if a.loseReply != nil && a.loseReply() {
		return meter.Reply{}, false
	}
	return reply, true
}

// platform records every report that arrives, by its ID.
type platform struct {
	clock       timer.Service
	bodies      map[string][]string
	lateSends   int
	beforeSend  func()
	drawOutcome func() reporter.Outcome
}

func (p *platform) Send(_ context.Context, body []byte, _ identifier.Fence, deadline time.Duration) reporter.Outcome {
	if p.beforeSend != nil {
		p.beforeSend()
	}
	if p.clock.Monotonic() >= deadline {
		p.lateSends++
		return reporter.Unsent
	}
	out := reporter.Accepted
	if p.drawOutcome != nil {
		out = p.drawOutcome()
	}
	if out == reporter.Accepted || out == reporter.Lost {
		r, err := codec.Usage{}.DecodeReport(body)
		if err != nil {
			panic(err)
		}
		p.bodies[r.ID] = append(p.bodies[r.ID], string(body))
	}
	return out
}

// terms holds the term that one process believes it has.
type terms struct {
	clock timer.Service
	term  leaser.Term
}

func (t *terms) Term(identifier.Duty) (leaser.Term, bool) {
	return t.term, t.term.Valid(t.clock.Monotonic())
}

// entry is an entry process. pendingEnds are ended requests that it has not processed yet.
type entry struct {
	meter       *meter.Meter
	flusher     *meter.Flusher
	pendingEnds []func()
}

// simulation is a deployment on a manual clock, with the usage that the reports are expected to add up to.
type simulation struct {
	clock            *timer.Manual
	store            *memory.Store
	agents           *agents
	platform         *platform
	entries          []*entry
	gone             map[identifier.Node]bool
	random           *rand.Rand
	started          int
	expected         map[string]meter.Figures
	expectedByWindow map[string]meter.Figures
	total            int
	faults           int
	outage           int
	rounds           int
	fence            identifier.Fence
}

// retention exceeds the number of windows that the Recoverer searches for counted requests.
const retention = 70

var calendar = meter.Calendar{Length: time.Minute}

func newSimulation(seed uint64, entries int) *simulation {
	clock := &timer.Manual{}
	clock.Advance(1000 * time.Hour)
	sim := &simulation{
		clock: clock, store: &memory.Store{}, gone: make(map[identifier.Node]bool),
		agents:           &agents{buffers: make(map[string]*meter.RecordBuffer)},
		platform:         &platform{clock: clock, bodies: make(map[string][]string)},
		random:           rand.New(rand.NewPCG(seed, 1)),
		expected:         make(map[string]meter.Figures),
		expectedByWindow: make(map[string]meter.Figures),
	}
	for i := range 4 {
		sim.agents.buffers[fmt.Sprintf("agent-%d", i)] = &meter.RecordBuffer{}
	}
	for range entries {
		sim.entries = append(sim.entries, sim.newEntry())
	}
	return sim
}

func (sim *simulation) newEntry() *entry {
	sim.started++
	m := meter.NewMeter(identifier.Node(fmt.Sprintf("entry.%d", sim.started)), calendar)
	return &entry{meter: m, flusher: meter.NewFlusher(m, sim.store, codec.Usage{}, sim.agents, sim.clock)}
}

func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

func (sim *simulation) agent() string {
	return fmt.Sprintf("agent-%d", sim.random.IntN(len(sim.agents.buffers)))
}

// request runs one request through an entry and adds the usage of the attempt that counts to the expected usage.
func (sim *simulation) request(e *entry) {
	id := identifier.Request(fmt.Sprintf("r%06d", sim.total))
	sim.total++
	team := identifier.Team([]string{"routing", "billing", "sorting"}[sim.random.IntN(3)])
	var others []meter.Receipt
	number := 0
	for sim.chance(0.1) {
		a := identifier.Attempt{Request: id, Number: number}
		agent := sim.agent()
		sim.agents.buffers[agent].Add(meter.Record{
			Attempt: a, First: e.meter.Node(), Owner: e.meter.Node(), Team: team, Ended: sim.clock.Now(), Figures: meter.Figures{Requests: 1, Input: 1 << 40},
		})
		others = append(others, meter.Receipt{Attempt: a, Agent: agent})
		number++
	}
	f := meter.Figures{
		Requests: 1, Input: identifier.Tokens(sim.random.IntN(100)), Output: identifier.Tokens(sim.random.IntN(100)),
		Busy: time.Duration(sim.random.IntN(1e9)), Cross: identifier.Bytes(sim.random.IntN(1000)),
	}
	complete := !sim.chance(0.1)
	r := meter.Record{
		Attempt: identifier.Attempt{Request: id, Number: number}, First: e.meter.Node(), Owner: e.meter.Node(), Team: team, Ended: sim.clock.Now(),
		Complete: complete, Figures: f,
	}
	counted := meter.Receipt{Attempt: r.Attempt, Agent: sim.agent()}
	sim.agents.buffers[counted.Agent].Add(r)
	sim.expected[string(team)] = sim.expected[string(team)].WithAdded(f)
	key := fmt.Sprintf("%s/%d", team, calendar.Window(r.Ended))
	sim.expectedByWindow[key] = sim.expectedByWindow[key].WithAdded(f)
	end := func() {
		if complete {
			e.meter.Count(r.Ended, team, f, counted, others...)
		} else {
			e.meter.AwaitRecord(r.Ended, counted, others...)
		}
	}
	// Some requests end only after the entry has flushed or died.
	if sim.chance(0.2) {
		e.pendingEnds = append(e.pendingEnds, end)
		return
	}
	end()
}

// flush processes the pending ends of an entry's requests and then flushes its counts.
func (sim *simulation) flush(e *entry) {
	for _, end := range e.pendingEnds {
		end()
	}
	e.pendingEnds = nil
	e.flusher.RunRound(context.Background())
}

// kill replaces an entry; its memory is lost.
func (sim *simulation) kill(i int) {
	sim.gone[sim.entries[i].meter.Node()] = true
	sim.entries[i] = sim.newEntry()
}

// runReporter runs a round of the reporter on entry i in a term of the given length, and in every fourth call also a
// round of the recoverer. It replaces the entry if it dies.
func (sim *simulation) runReporter(i int, termLength time.Duration) {
	sim.fence++
	t := &terms{clock: sim.clock, term: leaser.Term{Fence: sim.fence, ValidUntil: sim.clock.Monotonic() + termLength}}
	r := reporter.NewReporter(reporter.Settings{Calendar: calendar, Retention: retention}, sim.store, codec.Usage{}, sim.platform, t, sim.clock)
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(killed); !ok {
				panic(p)
			}
			sim.kill(i)
		}
	}()
	r.RunRound(context.Background(), sim.fence)
	if sim.rounds++; sim.rounds%4 != 0 {
		return
	}
	_, confirmed, _ := r.Watermarks(context.Background())
	recoverer := meter.NewRecoverer(sim.entries[i].meter, sim.store, codec.Usage{}, sim.agents)
	recoverer.RunRound(context.Background(), meter.RecoveryState{
		Term: t.term, Done: confirmed, Now: calendar.Window(sim.clock.Now()), Agents: sim.addresses(),
		Gone: func(n identifier.Node) bool { return sim.gone[n] },
	})
}

func (sim *simulation) addresses() []string {
	return slices.Sorted(maps.Keys(sim.agents.buffers))
}

// check compares the reports that arrived with the expected usage. It returns the number of windows, of reports that
// arrived with different bytes, and of wrong sums.
func (sim *simulation) check() (windows, different, wrong int) {
	sums, origins := make(map[string]meter.Figures), make(map[string]meter.Figures)
	seen := make(map[meter.Window]bool)
	for _, bodies := range sim.platform.bodies {
		for _, b := range bodies[1:] {
			if b != bodies[0] {
				different++
			}
		}
		r, err := codec.Usage{}.DecodeReport([]byte(bodies[0]))
		if err != nil {
			panic(err)
		}
		seen[r.Window] = true
		team := string(r.Team)
		sums[team] = sums[team].WithAdded(r.Total())
		own := fmt.Sprintf("%s/%d", team, r.Window)
		origins[own] = origins[own].WithAdded(r.Figures)
		for _, c := range r.Corrections {
			key := fmt.Sprintf("%s/%d", team, c.Window)
			origins[key] = origins[key].WithAdded(c.Figures)
		}
	}
	for team, f := range sim.expected {
		if sums[team] != f {
			wrong++
		}
	}
	for key, f := range sim.expectedByWindow {
		if origins[key] != f {
			wrong++
		}
	}
	return len(seen), different, wrong
}
