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

// machine drives two reporters over one store. Either may die before any write or send, and go on in a later term.
type machine struct {
	w         *world
	reporters [2]*reporter.Reporter
	terms     [2]*terms
	kill      int
	outcome   reporter.Outcome
	fault     memory.Fault
}

func newMachine() *machine {
	m := &machine{w: newWorld(7, 2), outcome: reporter.Accepted}
	step := func() {
		if m.kill--; m.kill == 0 {
			panic(killed{})
		}
	}
	m.w.store.SetFault(func() memory.Fault {
		step()
		f := m.fault
		m.fault = memory.Sound
		return f
	})
	m.w.intake.before = step
	m.w.intake.draw = func() reporter.Outcome {
		out := m.outcome
		m.outcome = reporter.Accepted
		return out
	}
	for i := range m.reporters {
		m.terms[i] = &terms{clock: m.w.clock}
		m.reporters[i] = reporter.NewReporter(
			reporter.Settings{Calendar: calendar}, m.w.store, codec.Usage{}, m.w.intake, m.terms[i], m.w.clock)
	}
	return m
}

// acquire gives the duty to one reporter. As the leaser does, it waits until the other's term has ended.
func (m *machine) acquire(i int) {
	if other := m.terms[1-i].term.ValidUntil; other > m.w.clock.Boot() {
		m.w.clock.Advance(other - m.w.clock.Boot())
	}
	m.w.fence++
	m.terms[i].term = leaser.Term{Fence: m.w.fence, ValidUntil: m.w.clock.Boot() + 30*time.Second}
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
	m.reporters[i].Round(context.Background(), m.terms[i].term.Fence)
}

// check fails when a report came with two sets of bytes, or when a stored seal went back.
func (m *machine) check(t *rapid.T) {
	if _, different, _ := m.w.check(); different > 0 {
		t.Fatalf("%d reports came with different figures", different)
	}
}

// Guards against a report whose figures change after it was sealed, and one that is never confirmed, whatever the order
// in which two reporters seal, send, confirm, die, lose answers and lose the duty.
func TestSealSendConfirm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"count": func(t *rapid.T) {
				m.w.request(m.w.entries[rapid.IntRange(0, 1).Draw(t, "entry")])
			},
			"flush":   func(t *rapid.T) { m.w.flush(m.w.entries[rapid.IntRange(0, 1).Draw(t, "entry")]) },
			"advance": func(t *rapid.T) { m.w.clock.Advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second) },
			"acquire": func(t *rapid.T) { m.acquire(rapid.IntRange(0, 1).Draw(t, "reporter")) },
			"round": func(t *rapid.T) {
				m.kill = rapid.IntRange(0, 8).Draw(t, "kill")
				m.outcome = reporter.Outcome(rapid.IntRange(int(reporter.Accepted), int(reporter.Unsent)).Draw(t, "outcome"))
				m.fault = memory.Fault(rapid.IntRange(int(memory.Sound), int(memory.Late)).Draw(t, "fault"))
				m.round(rapid.IntRange(0, 1).Draw(t, "reporter"))
			},
		})
		m.w.store.SetFault(nil)
		m.w.settle()
		if _, different, wrong := m.w.check(); different > 0 || wrong > 0 {
			t.Fatalf("at the end %d reports differ, %d sums are wrong", different, wrong)
		}
	})
}

// Guards against a report by a process whose term ended while it was paused between sealing and sending: the second
// holder confirms the window, late counts go to the next one, and the first one sends nothing when it goes on.
func TestPausedReporterSendsNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 1)
	terms1, terms2 := &terms{clock: w.clock}, &terms{clock: w.clock}
	settings := reporter.Settings{Calendar: calendar}
	first := reporter.NewReporter(settings, w.store, codec.Usage{}, w.intake, terms1, w.clock)
	second := reporter.NewReporter(settings, w.store, codec.Usage{}, w.intake, terms2, w.clock)
	count := func(n int) {
		r := meter.Receipt{Agent: "agent-0", Attempt: identifier.Attempt{Request: identifier.Request(fmt.Sprint(n))}}
		w.entries[0].meter.Count(w.clock.Now(), "routing", meter.Figures{Requests: 1}, r)
	}
	count(1)
	w.flush(w.entries[0])
	w.clock.Advance(80 * time.Second)
	terms1.term = leaser.Term{Fence: 1, ValidUntil: w.clock.Boot() + 5*time.Second}
	paused := false
	var out string
	w.intake.before = func() {
		if paused {
			return
		}
		paused = true
		w.clock.Advance(10 * time.Second)
		terms2.term = leaser.Term{Fence: 2, ValidUntil: w.clock.Boot() + 5*time.Second}
		out += fmt.Sprintln("second round whole:", second.Round(context.Background(), 2))
	}
	out += fmt.Sprintln("first round whole:", first.Round(context.Background(), 1))
	out += fmt.Sprintln("refused by the deadline:", w.intake.late)
	for id, bodies := range w.intake.bodies {
		out += fmt.Sprintln(id, len(bodies), bodies[0])
	}
	c.Assert(paused, qt.IsTrue)
	goldie.New(t).Assert(t, "paused", []byte(out))
}
