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

// killed is the panic value that stands for the death of a process in the middle of its work.
type killed struct{}

// agents reaches the keepers by address. Faults are drawn from chance.
type agents struct {
	keepers map[string]*meter.RecordBuffer
	lose    func() bool
	down    func() bool
}

func (a *agents) Usage(_ context.Context, agent string, q meter.Query) (meter.Reply, bool) {
	if a.down != nil && a.down() {
		return meter.Reply{}, false
	}
	reply := a.keepers[agent].Answer(q)
	if a.lose != nil && a.lose() {
		return meter.Reply{}, false
	}
	return reply, true
}

// intake is the platform's usage intake. It refuses nothing and notes every body that arrives.
type intake struct {
	clock  timer.Service
	bodies map[string][]string
	late   int
	before func()
	draw   func() reporter.Outcome
}

func (i *intake) Send(_ context.Context, body []byte, _ identifier.Fence, until time.Duration) reporter.Outcome {
	if i.before != nil {
		i.before()
	}
	if i.clock.Boot() >= until {
		i.late++
		return reporter.Unsent
	}
	out := reporter.Accepted
	if i.draw != nil {
		out = i.draw()
	}
	if out == reporter.Accepted || out == reporter.Lost {
		r, err := codec.Usage{}.DecodeReport(body)
		if err != nil {
			panic(err)
		}
		i.bodies[r.ID] = append(i.bodies[r.ID], string(body))
	}
	return out
}

// terms is one process's belief about the duty.
type terms struct {
	clock timer.Service
	term  leaser.Term
}

func (t *terms) Term(identifier.Duty) (leaser.Term, bool) {
	return t.term, t.term.Valid(t.clock.Boot())
}

// entry is one entry process.
type entry struct {
	meter   *meter.Meter
	flusher *meter.Flusher
	open    []func()
}

// world is a deployment with a manual timer and the truth about what was used.
type world struct {
	clock   *timer.Manual
	store   *memory.Store
	agents  *agents
	intake  *intake
	entries []*entry
	gone    map[identifier.Node]bool
	random  *rand.Rand
	started int
	truth   map[string]meter.Figures
	perOrig map[string]meter.Figures
	total   int
	faults  int
	outage  int
	rounds  int
	fence   identifier.Fence
}

// retention is more than the windows in which counted requests are searched for.
const retention = 70

var calendar = meter.Calendar{Length: time.Minute}

func newWorld(seed uint64, entries int) *world {
	clock := &timer.Manual{}
	clock.Advance(1000 * time.Hour)
	w := &world{
		clock: clock, store: &memory.Store{}, gone: make(map[identifier.Node]bool),
		agents:  &agents{keepers: make(map[string]*meter.RecordBuffer)},
		intake:  &intake{clock: clock, bodies: make(map[string][]string)},
		random:  rand.New(rand.NewPCG(seed, 1)),
		truth:   make(map[string]meter.Figures),
		perOrig: make(map[string]meter.Figures),
	}
	for i := range 4 {
		w.agents.keepers[fmt.Sprintf("agent-%d", i)] = &meter.RecordBuffer{}
	}
	for range entries {
		w.entries = append(w.entries, w.newEntry())
	}
	return w
}

func (w *world) newEntry() *entry {
	w.started++
	m := meter.NewMeter(identifier.Node(fmt.Sprintf("entry.%d", w.started)), calendar)
	return &entry{meter: m, flusher: meter.NewFlusher(m, w.store, codec.Usage{}, w.agents, w.clock)}
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) agent() string { return fmt.Sprintf("agent-%d", w.random.IntN(len(w.agents.keepers))) }

// request runs one request through an entry. The truth is noted from the attempt that counts.
func (w *world) request(e *entry) {
	id := identifier.Request(fmt.Sprintf("r%06d", w.total))
	w.total++
	team := identifier.Team([]string{"routing", "billing", "sorting"}[w.random.IntN(3)])
	var lost []meter.Receipt
	number := 0
	for w.chance(0.1) {
		a := identifier.Attempt{Request: id, Number: number}
		at := w.agent()
		w.agents.keepers[at].Keep(meter.Record{
			Attempt: a, First: e.meter.Node(), Owner: e.meter.Node(), Team: team, Ended: w.clock.Now(), Figures: meter.Figures{Requests: 1, Input: 1 << 40},
		})
		lost = append(lost, meter.Receipt{Attempt: a, Agent: at})
		number++
	}
	f := meter.Figures{
		Requests: 1, Input: identifier.Tokens(w.random.IntN(100)), Output: identifier.Tokens(w.random.IntN(100)),
		Busy: time.Duration(w.random.IntN(1e9)), Cross: identifier.Bytes(w.random.IntN(1000)),
	}
	complete := !w.chance(0.1)
	r := meter.Record{
		Attempt: identifier.Attempt{Request: id, Number: number}, First: e.meter.Node(), Owner: e.meter.Node(), Team: team, Ended: w.clock.Now(),
		Complete: complete, Figures: f,
	}
	won := meter.Receipt{Attempt: r.Attempt, Agent: w.agent()}
	w.agents.keepers[won.Agent].Keep(r)
	w.truth[string(team)] = w.truth[string(team)].WithAdded(f)
	key := fmt.Sprintf("%s/%d", team, calendar.Window(r.Ended))
	w.perOrig[key] = w.perOrig[key].WithAdded(f)
	end := func() {
		if complete {
			e.meter.Count(r.Ended, team, f, won, lost...)
		} else {
			e.meter.AwaitRecord(r.Ended, won, lost...)
		}
	}
	// Some answers are still on their way to the entry when it flushes or dies.
	if w.chance(0.2) {
		e.open = append(e.open, end)
		return
	}
	end()
}

// flush runs the flush of an entry, and first the ends that were on their way.
func (w *world) flush(e *entry) {
	for _, end := range e.open {
		end()
	}
	e.open = nil
	e.flusher.Round(context.Background())
}

// kill replaces an entry; what it had in memory is lost.
func (w *world) kill(i int) {
	w.gone[w.entries[i].meter.Node()] = true
	w.entries[i] = w.newEntry()
}

// lead runs a round of the reporter and the heir on entry i in a term that lasts for the given time, and survives its
// death.
func (w *world) lead(i int, lasts time.Duration) {
	w.fence++
	t := &terms{clock: w.clock, term: leaser.Term{Fence: w.fence, ValidUntil: w.clock.Boot() + lasts}}
	r := reporter.NewReporter(reporter.Settings{Calendar: calendar, Retention: retention}, w.store, codec.Usage{}, w.intake, t, w.clock)
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(killed); !ok {
				panic(p)
			}
			w.kill(i)
		}
	}()
	r.Round(context.Background(), w.fence)
	if w.rounds++; w.rounds%4 != 0 {
		return
	}
	_, done, _ := r.Watermarks(context.Background())
	heir := meter.NewRecoverer(w.entries[i].meter, w.store, codec.Usage{}, w.agents)
	heir.Round(context.Background(), meter.RecoveryState{
		Term: t.term, Done: done, Now: calendar.Window(w.clock.Now()), Agents: w.addresses(),
		Gone: func(n identifier.Node) bool { return w.gone[n] },
	})
}

func (w *world) addresses() []string {
	return slices.Sorted(maps.Keys(w.agents.keepers))
}

// check compares everything that arrived with the truth. It returns the number of windows and of differences.
func (w *world) check() (windows, different, wrong int) {
	sums, origins := make(map[string]meter.Figures), make(map[string]meter.Figures)
	seen := make(map[meter.Window]bool)
	for _, bodies := range w.intake.bodies {
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
	for team, f := range w.truth {
		if sums[team] != f {
			wrong++
		}
	}
	for key, f := range w.perOrig {
		if origins[key] != f {
			wrong++
		}
	}
	return len(seen), different, wrong
}
