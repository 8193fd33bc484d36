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

type killed struct{}

type terms struct {
	clock *timer.Manual
	term  leaser.Term
}

func (t *terms) Term(identifier.Duty) (leaser.Term, bool) {
	return t.term, t.term.Valid(t.clock.Boot())
}

// machine drives two orderers towards a number of targets.
type machine struct {
	clock    *timer.Manual
	store    *memory.Store
	platform *platform
	orderers [2]*orderer.Orderer
	terms    [2]*terms
	fence    identifier.Fence
	want     int
	kill     int
	events   map[orderer.Event]int
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
		b, _ := m.orderers[0].ReadOrders(context.Background())
		return slices.ContainsFunc(b.Orders, func(x orderer.Order) bool { return x.ID == o.ID && x.State > orderer.Planned })
	}
	for i := range m.orderers {
		m.terms[i] = &terms{clock: clock}
		m.orderers[i] = orderer.NewOrderer(
			orderer.Settings{Region: "south", Fenced: fenced, Startup: time.Minute, Drain: time.Minute},
			m.store, codec.Orders{}, m.platform, m.platform, m.terms[i], clock,
			m.tell)
	}
	return m
}

// tell counts the events. A target that runs was not lost.
func (m *machine) tell(e orderer.Event, o orderer.Order) {
	m.events[e]++
	for _, id := range m.platform.running {
		if e == orderer.NotStarted && id == o.ID {
			m.platform.faults = append(m.platform.faults, "a running target was taken for dead: "+id)
		}
	}
}

func (m *machine) step() {
	if m.kill--; m.kill == 0 {
		panic(killed{})
	}
}

// acquire gives the duty to one orderer once the other's term has ended, as the leaser does.
func (m *machine) acquire(i int) {
	if other := m.terms[1-i].term.ValidUntil; other > m.clock.Boot() {
		m.clock.Advance(other - m.clock.Boot())
	}
	m.fence++
	now := m.clock.Boot()
	m.terms[i].term = leaser.Term{Fence: m.fence, ValidUntil: now + 2*ttl, SettledFrom: now + ttl}
}

func (m *machine) round(i int) {
	defer func() {
		m.kill = 0
		if p := recover(); p != nil {
			if _, ok := p.(killed); !ok {
				panic(p)
			}
		}
	}()
	m.orderers[i].Round(context.Background(), m.terms[i].term.Fence, m.plan)
}

// plan orders the difference between the wanted targets and those that run or start.
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
	orders := make([]placer.Order, 0, max(m.want, have))
	for range m.want - have {
		orders = append(orders, placer.Order{Kind: placer.Start, Service: "matcher", Zone: "macon"})
	}
	for i := range min(have-m.want, len(stoppable)) {
		orders = append(orders, placer.Order{Kind: placer.Stop, Service: "matcher", Zone: "macon", Target: stoppable[i]})
	}
	return orders
}

// settle ends all faults and lets one orderer finish.
func (m *machine) settle() {
	m.store.SetFault(nil)
	m.platform.before, m.platform.draw = nil, nil
	m.platform.arrive(true)
	clear(m.platform.busy)
	for range 12 {
		m.acquire(0)
		m.clock.Advance(ttl)
		m.round(0)
		m.clock.Advance(time.Minute)
	}
}

// wrong returns what is wrong once everything is settled.
func (m *machine) wrong() []string {
	faults := m.platform.faults
	if len(m.platform.running) != m.want {
		faults = append(faults, fmt.Sprintf("%d targets run, %d wanted", len(m.platform.running), m.want))
	}
	if b, ok := m.orderers[0].ReadOrders(context.Background()); !ok || len(b.Orders) > 0 {
		faults = append(faults, fmt.Sprintf("open orders: %+v", b.Orders))
	}
	return faults
}

// Guards against a start that no order accounts for, two intents under one identity, an order of an old holder and a
// busy target that is stopped, whatever the order in which two orderers plan, store, send, die, pause and lose answers.
// Both kinds of receivers are tested: those that refuse old fencing numbers, and those that ignore them.
func TestOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newMachine(fenced)
				t.Repeat(map[string]func(*rapid.T){
					"arrive": func(*rapid.T) { m.platform.arrive(true) },
					"": func(t *rapid.T) {
						if len(m.platform.faults) > 0 {
							t.Fatal(m.platform.faults)
						}
					},
					"want":    func(t *rapid.T) { m.want = rapid.IntRange(0, 6).Draw(t, "want") },
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
						m.kill = rapid.IntRange(0, 8).Draw(t, "kill")
						m.disturb(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 1)), i)
						m.round(i)
					},
				})
				m.settle()
				if wrong := m.wrong(); len(wrong) > 0 {
					t.Fatal(wrong)
				}
			})
		})
	}
}

// disturb draws the faults of one round of orderer i: writes and sends that are lost, late or refused, and a pause
// before a send in which the other one takes the duty.
func (m *machine) disturb(random *rand.Rand, i int) {
	m.store.SetFault(func() memory.Fault {
		m.step()
		if random.IntN(4) > 0 {
			return memory.Sound
		}
		return memory.Fault(random.IntN(4))
	})
	m.platform.draw = func() orderer.Outcome {
		return []orderer.Outcome{orderer.Accepted, orderer.Accepted, orderer.Lost, orderer.Unsent}[random.IntN(4)]
	}
	m.platform.hold = func() bool { return random.IntN(2) == 0 }
	m.platform.before = func() {
		m.step()
		if random.IntN(4) > 0 {
			return
		}
		before := m.platform.before
		m.platform.before = nil
		m.acquire(1 - i)
		m.clock.Advance(ttl)
		m.round(1 - i)
		m.platform.before = before
	}
}

// Guards against a target that is cut because it does not drain in time, and against one that starts and dies and is not
// reported and replaced.
func TestEventsInsteadOfCuts(t *testing.T) {
	c := qt.New(t)
	m := newMachine(true)
	rounds := func(n int) {
		for range n {
			m.acquire(0)
			m.round(0)
			m.clock.Advance(40 * time.Second)
		}
	}
	m.want = 1
	rounds(2)
	c.Assert(m.platform.running, qt.HasLen, 1)
	m.platform.busy["t1"] = true
	m.want = 0
	rounds(6)
	c.Check(m.events[orderer.NotDrained], qt.Equals, 1)
	c.Check(m.platform.running, qt.HasLen, 1)
	m.platform.busy["t1"] = false
	rounds(2)
	c.Check(m.platform.running, qt.HasLen, 0)

	m.want = 1
	m.platform.draw = func() orderer.Outcome {
		m.platform.draw = nil
		return orderer.Lost
	}
	m.acquire(0)
	m.round(0)
	delete(m.platform.running, "t2")
	rounds(5)
	c.Check(m.events[orderer.NotStarted], qt.Equals, 1)
	c.Check(m.platform.running, qt.DeepEquals, map[identifier.Target]string{"t3": m.platform.running["t3"]})
	c.Check(m.wrong(), qt.HasLen, 0)
}

// Guards against a running target that is taken for dead: the first sending of an order arrives just before the second,
// whose answer does not name the target.
func TestRepeatedOrderFindsItsTarget(t *testing.T) {
	c := qt.New(t)
	m := newMachine(true)
	m.want = 1
	m.platform.draw = func() orderer.Outcome { return orderer.Lost }
	m.platform.hold = func() bool { return true }
	m.acquire(0)
	m.round(0)
	m.platform.draw, m.platform.hold = nil, nil
	m.platform.before = func() { m.platform.arrive(true) }
	for range 4 {
		m.acquire(0)
		m.round(0)
		m.clock.Advance(40 * time.Second)
	}
	c.Check(m.platform.made, qt.Equals, 1)
	c.Check(m.events, qt.HasLen, 0)
	c.Check(m.wrong(), qt.HasLen, 0)
}
