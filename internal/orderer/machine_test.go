package orderer_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/placer"
	"github.com/mimosalb/mimosalb/internal/standin/memory"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// killed is the panic value that simulates the death of a process.
type killed struct{}

// terms holds the term that one process believes it has.
type terms struct {
	clock *timer.Manual
	term  leaser.Term
}

func (t *terms) Term(identifier.Duty) (leaser.Term, bool) {
	return t.term, t.term.Valid(t.clock.Monotonic())
}

// machine drives two orderers towards a wanted number of targets.
type machine struct {
	clock     *timer.Manual
	store     *memory.Store
	platform  *platform
	orderers  [2]*orderer.Orderer
	terms     [2]*terms
	fence     identifier.Fence
	wanted    int
	killAfter int
	events    map[orderer.Event]int
}

const ttl = 6 * time.Second

func newMachine(fenced bool) *machine {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	m := &machine{clock: clock, store: &memory.Store{}, events: make(map[orderer.Event]int), platform: &platform{
		clock: clock, fenced: fenced, orders: make(map[string]orderer.Order),
		running: make(map[identifier.Target]string), busy: make(map[identifier.Target]bool),
		draining: make(map[identifier.Target]bool),
	}}
	m.platform.stored = func(o orderer.Order) bool {
		set, _ := m.orderers[0].ReadOrders(context.Background())
		return slices.ContainsFunc(set.Orders, func(x orderer.Order) bool { return x.ID == o.ID && x.State > orderer.Planned })
	}
	for i := range m.orderers {
		m.terms[i] = &terms{clock: clock}
		m.orderers[i] = orderer.NewOrderer(
			orderer.Settings{Region: "south", Fenced: fenced, Startup: time.Minute, Drain: time.Minute},
			m.store, codec.Orders{}, m.platform, m.platform, m.terms[i], clock,
			m.notify)
	}
	return m
}

// notify counts the events. It records a violation if a running target is reported as not started.
func (m *machine) notify(e orderer.Event, o orderer.Order) {
	m.events[e]++
	for _, id := range m.platform.running {
		if e == orderer.NotStarted && id == o.ID {
			m.platform.violations = append(m.platform.violations, "running target was reported as not started: "+id)
		}
	}
}

// step is called before each write and send. It simulates the death of the process at the call that killAfter selects.
func (m *machine) step() {
	if m.killAfter--; m.killAfter == 0 {
		panic(killed{})
	}
}

// acquire gives the duty to one orderer. Like the leaser, it first waits for the end of the other's term.
func (m *machine) acquire(i int) {
	if other := m.terms[1-i].term.ValidUntil; other > m.clock.Monotonic() {
		m.clock.Advance(other - m.clock.Monotonic())
	}
	m.fence++
	now := m.clock.Monotonic()
	m.terms[i].term = leaser.Term{Fence: m.fence, ValidUntil: now + 2*ttl, SettledFrom: now + ttl}
}

// round runs a round of orderer i, which ends early if the process dies in it.
func (m *machine) round(i int) {
	defer func() {
		m.killAfter = 0
		if p := recover(); p != nil {
			if _, ok := p.(killed); !ok {
				panic(p)
			}
		}
	}()
	m.orderers[i].RunRound(context.Background(), m.terms[i].term.Fence, m.plan)
}

// plan returns orders for the difference between the wanted targets and those that run or start.
func (m *machine) plan(vms []orderer.VM, open []orderer.Order) []placer.Order {
	have := 0
	var stoppable []identifier.Target
	for _, t := range orderer.Targets(vms, open, func(identifier.Target) int { return 0 }) {
		if t.State != placer.Draining {
			have++
		}
		if t.State == placer.Running {
			stoppable = append(stoppable, t.ID)
		}
	}
	orders := make([]placer.Order, 0, max(m.wanted, have))
	for range m.wanted - have {
		orders = append(orders, placer.Order{Kind: placer.Start, Service: "matcher", Zone: "macon"})
	}
	for i := range min(have-m.wanted, len(stoppable)) {
		orders = append(orders, placer.Order{Kind: placer.Stop, Service: "matcher", Zone: "macon", Target: stoppable[i]})
	}
	return orders
}

// finish ends all faults and runs one orderer until no order is open.
func (m *machine) finish() {
	m.store.SetFault(nil)
	m.platform.beforeSend, m.platform.drawOutcome = nil, nil
	m.platform.arrive(true)
	clear(m.platform.busy)
	for range 12 {
		m.acquire(0)
		m.clock.Advance(ttl)
		m.round(0)
		m.clock.Advance(time.Minute)
	}
}

// violations returns the violated invariants after finish.
func (m *machine) violations() []string {
	violations := m.platform.violations
	if len(m.platform.running) != m.wanted {
		violations = append(violations, fmt.Sprintf("%d targets run, %d wanted", len(m.platform.running), m.wanted))
	}
	if set, ok := m.orderers[0].ReadOrders(context.Background()); !ok || len(set.Orders) > 0 {
		violations = append(violations, fmt.Sprintf("open orders: %+v", set.Orders))
	}
	return violations
}

// Guards against a start without a stored order, a change of an order under its ID, an order with an old fencing number
// and the stop of a busy target. Two orderers plan, store, send, die, pause and lose responses in random order, against
// platforms that refuse old fencing numbers and platforms that ignore them.
func TestOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newMachine(fenced)
				t.Repeat(map[string]func(*rapid.T){
					"arrive": func(*rapid.T) { m.platform.arrive(true) },
					"": func(t *rapid.T) {
						if len(m.platform.violations) > 0 {
							t.Fatal(m.platform.violations)
						}
					},
					"want":    func(t *rapid.T) { m.wanted = rapid.IntRange(0, 6).Draw(t, "want") },
					"advance": func(t *rapid.T) { m.clock.Advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second) },
					"acquire": func(t *rapid.T) { m.acquire(rapid.IntRange(0, 1).Draw(t, "orderer")) },
					"busy": func(t *rapid.T) {
						for _, target := range slices.Sorted(maps.Keys(m.platform.running)) {
							b := rapid.Bool().Draw(t, string(target))
							m.platform.busy[target] = b && (m.platform.busy[target] || !m.platform.draining[target])
						}
					},
					"die": func(*rapid.T) {
						if all := slices.Sorted(maps.Keys(m.platform.running)); len(all) > 0 {
							delete(m.platform.running, all[0])
						}
					},
					"round": func(t *rapid.T) {
						i := rapid.IntRange(0, 1).Draw(t, "orderer")
						m.killAfter = rapid.IntRange(0, 8).Draw(t, "kill")
						m.injectFaults(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 1)), i)
						m.round(i)
					},
				})
				m.finish()
				if violations := m.violations(); len(violations) > 0 {
					t.Fatal(violations)
				}
			})
		})
	}
}

// injectFaults draws the faults of one round of orderer i: lost, late and failed writes and sends, and a pause before a
// send during which the other orderer acquires the duty.
func (m *machine) injectFaults(random *rand.Rand, i int) {
	m.store.SetFault(func() memory.Fault {
		m.step()
		if random.IntN(4) > 0 {
			return memory.NoFault
		}
		return memory.Fault(random.IntN(4))
	})
	m.platform.drawOutcome = func() orderer.Outcome {
		return []orderer.Outcome{orderer.Accepted, orderer.Accepted, orderer.Lost, orderer.Unsent}[random.IntN(4)]
	}
	m.platform.delayOrder = func() bool { return random.IntN(2) == 0 }
	m.platform.beforeSend = func() {
		m.step()
		if random.IntN(4) > 0 {
			return
		}
		beforeSend := m.platform.beforeSend
		m.platform.beforeSend = nil
		m.acquire(1 - i)
		m.clock.Advance(ttl)
		m.round(1 - i)
		m.platform.beforeSend = beforeSend
	}
}

// Guards against stopping a target that does not drain in time, and against a target that dies after its start without
// being reported and replaced.
func TestNotDrainedAndNotStarted(t *testing.T) {
	c := qt.New(t)
	m := newMachine(true)
	rounds := func(n int) {
		for range n {
			m.acquire(0)
			m.round(0)
			m.clock.Advance(40 * time.Second)
		}
	}
	m.wanted = 1
	rounds(2)
	c.Assert(m.platform.running, qt.HasLen, 1)
	m.platform.busy["t1"] = true
	m.wanted = 0
	rounds(6)
	c.Check(m.events[orderer.NotDrained], qt.Equals, 1)
	c.Check(m.platform.running, qt.HasLen, 1)
	m.platform.busy["t1"] = false
	rounds(2)
	c.Check(m.platform.running, qt.HasLen, 0)

	m.wanted = 1
	m.platform.drawOutcome = func() orderer.Outcome {
		m.platform.drawOutcome = nil
		return orderer.Lost
	}
	m.acquire(0)
	m.round(0)
	delete(m.platform.running, "t2")
	rounds(5)
	c.Check(m.events[orderer.NotStarted], qt.Equals, 1)
	c.Check(m.platform.running, qt.DeepEquals, map[identifier.Target]string{"t3": m.platform.running["t3"]})
	c.Check(m.violations(), qt.HasLen, 0)
}

// Guards against a running target that is considered dead. The first send of an order arrives just before the second,
// whose response does not name the target.
func TestRepeatedOrderFindsItsTarget(t *testing.T) {
	c := qt.New(t)
	m := newMachine(true)
	m.wanted = 1
	m.platform.drawOutcome = func() orderer.Outcome { return orderer.Lost }
	m.platform.delayOrder = func() bool { return true }
	m.acquire(0)
	m.round(0)
	m.platform.drawOutcome, m.platform.delayOrder = nil, nil
	m.platform.beforeSend = func() { m.platform.arrive(true) }
	for range 4 {
		m.acquire(0)
		m.round(0)
		m.clock.Advance(40 * time.Second)
	}
	c.Check(m.platform.started, qt.Equals, 1)
	c.Check(m.events, qt.HasLen, 0)
	c.Check(m.violations(), qt.HasLen, 0)
}
