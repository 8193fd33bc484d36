package reporter_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/reporter"
	"github.com/mimosalb/mimosalb/internal/standin/memory"
)

// machine drives two reporters over one store. Either may die before any write or send, and continues in a later term.
type machine struct {
	sim       *simulation
	reporters [2]*reporter.Reporter
	terms     [2]*terms
	kill      int
	outcome   reporter.Outcome
	fault     memory.Fault
}

func newMachine() *machine {
	m := &machine{sim: newSimulation(7, 2), outcome: reporter.Accepted}
	step := func() {
		if m.kill--; m.kill == 0 {
			panic(killed{})
		}
	}
	m.sim.store.SetFault(func() memory.Fault {
		step()
		f := m.fault
		m.fault = memory.NoFault
		return f
	})
	m.sim.platform.beforeSend = step
	m.sim.platform.drawOutcome = func() reporter.Outcome {
		out := m.outcome
		m.outcome = reporter.Accepted
		return out
	}
	for i := range m.reporters {
		m.terms[i] = &terms{clock: m.sim.clock}
		m.reporters[i] = reporter.NewReporter(
			reporter.Settings{Calendar: calendar}, m.sim.store, codec.Usage{}, m.sim.platform, m.terms[i], m.sim.clock)
	}
	return m
}

// acquire gives the duty to one reporter. Like the leaser, it first waits for the end of the other's term.
func (m *machine) acquire(i int) {
	if other := m.terms[1-i].term.ValidUntil; other > m.sim.clock.Monotonic() {
		m.sim.clock.Advance(other - m.sim.clock.Monotonic())
	}
	m.sim.fence++
	m.terms[i].term = leaser.Term{Fence: m.sim.fence, ValidUntil: m.sim.clock.Monotonic() + 30*time.Second}
}

// round runs a round of reporter i, which ends early if the process dies in it.
func (m *machine) round(i int) {
	defer func() {
		m.kill = 0
		if p := recover(); p != nil {
			if _, ok := p.(killed); !ok {
				panic(p)
			}
		}
	}()
	m.reporters[i].RunRound(context.Background(), m.terms[i].term.Fence)
}

// check fails when a report arrived with different bytes.
func (m *machine) check(t *rapid.T) {
	if _, different, _ := m.sim.check(); different > 0 {
		t.Fatalf("%d reports arrived with different figures", different)
	}
}

// Guards against a report whose figures change after it was sealed, and one that is never confirmed. Two reporters
// seal, send, confirm, die, lose responses and lose the duty in random order.
func TestSealSendConfirm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"count": func(t *rapid.T) {
				m.sim.request(m.sim.entries[rapid.IntRange(0, 1).Draw(t, "entry")])
			},
			"flush":   func(t *rapid.T) { m.sim.flush(m.sim.entries[rapid.IntRange(0, 1).Draw(t, "entry")]) },
			"advance": func(t *rapid.T) { m.sim.clock.Advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second) },
			"acquire": func(t *rapid.T) { m.acquire(rapid.IntRange(0, 1).Draw(t, "reporter")) },
			"round": func(t *rapid.T) {
				m.kill = rapid.IntRange(0, 8).Draw(t, "kill")
				m.outcome = reporter.Outcome(rapid.IntRange(int(reporter.Accepted), int(reporter.Unsent)).Draw(t, "outcome"))
				m.fault = memory.Fault(rapid.IntRange(int(memory.NoFault), int(memory.Delayed)).Draw(t, "fault"))
				m.round(rapid.IntRange(0, 1).Draw(t, "reporter"))
			},
		})
		m.sim.store.SetFault(nil)
		m.sim.finish()
		if _, different, wrong := m.sim.check(); different > 0 || wrong > 0 {
			t.Fatalf("at the end %d reports differ, %d sums are wrong", different, wrong)
		}
	})
}

// Guards against a report by a process whose term ended while it was paused between sealing and sending. The second
// holder confirms the window, and the first one must send nothing when it resumes.
func TestPausedReporterSendsNothing(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(3, 1)
	terms1, terms2 := &terms{clock: sim.clock}, &terms{clock: sim.clock}
	settings := reporter.Settings{Calendar: calendar}
	first := reporter.NewReporter(settings, sim.store, codec.Usage{}, sim.platform, terms1, sim.clock)
	second := reporter.NewReporter(settings, sim.store, codec.Usage{}, sim.platform, terms2, sim.clock)
	count := func(n int) {
		r := meter.Receipt{Agent: "agent-0", Attempt: identifier.Attempt{Request: identifier.Request(fmt.Sprint(n))}}
		sim.entries[0].meter.Count(sim.clock.Now(), "routing", meter.Figures{Requests: 1}, r)
	}
	count(1)
	sim.flush(sim.entries[0])
	sim.clock.Advance(80 * time.Second)
	terms1.term = leaser.Term{Fence: 1, ValidUntil: sim.clock.Monotonic() + 5*time.Second}
	paused := false
	var out string
	sim.platform.beforeSend = func() {
		if paused {
			return
		}
		paused = true
		sim.clock.Advance(10 * time.Second)
		terms2.term = leaser.Term{Fence: 2, ValidUntil: sim.clock.Monotonic() + 5*time.Second}
		out += fmt.Sprintln("second round complete:", second.RunRound(context.Background(), 2))
	}
	out += fmt.Sprintln("first round complete:", first.RunRound(context.Background(), 1))
	out += fmt.Sprintln("refused by the deadline:", sim.platform.lateSends)
	for id, bodies := range sim.platform.bodies {
		out += fmt.Sprintln(id, len(bodies), bodies[0])
	}
	c.Assert(paused, qt.IsTrue)
	goldie.New(t).Assert(t, "paused", []byte(out))
}
