package reporter_test

import (
	"context"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/reporter"
	"github.com/mimosalb/mimosalb/internal/standin/memory"
)

// Guards against work that is not counted, counted twice or reported with two sets of figures, over 220 windows in which
// entries die with unsent counts, are taken over while they live, the reporter dies between any two of its steps, the
// key-value service is out over the end of a window, and answers of every party are lost.
func TestUsageUnderFaults(t *testing.T) {
	c := qt.New(t)
	w := newWorld(20261204, 4)
	w.disturb()
	for range 220 * 12 {
		w.disturbStore()
		for i := range w.entries {
			w.work(i)
		}
		w.replaceDeposed()
		w.lead(w.random.IntN(len(w.entries)), 20*time.Second)
		w.clock.Advance(5 * time.Second)
	}
	w.settle()
	windows, different, wrong := w.check()
	pending := 0
	for _, k := range w.agents.keepers {
		pending += k.Len()
	}
	t.Logf("%d windows, %d requests, %d faults, %d entries started", windows, w.total, w.faults, w.started)
	c.Assert(windows >= 200, qt.IsTrue, qt.Commentf("%d windows", windows))
	c.Assert(w.faults*10 >= windows, qt.IsTrue, qt.Commentf("%d faults", w.faults))
	c.Check(different, qt.Equals, 0)
	c.Check(wrong, qt.Equals, 0)
	c.Check(pending, qt.Equals, 0, qt.Commentf("records left at the agents"))
	values, _ := w.store.List(context.Background(), meter.ValuePrefix)
	seals, _ := w.store.List(context.Background(), "/window/")
	for _, e := range append(values, seals...) {
		n, err := strconv.ParseInt(regexp.MustCompile(`\d{5,}`).FindString(e.Key), 10, 64)
		c.Check(err != nil || meter.Window(n) > calendar.Window(w.clock.Now())-retention-10, qt.IsTrue, qt.Commentf("%s is kept", e.Key))
	}
}

// fault draws whether a fault happens.
func (w *world) fault(p float64) bool {
	if !w.chance(p) {
		return false
	}
	w.faults++
	return true
}

// disturb gives every party its faults.
func (w *world) disturb() {
	w.agents.lose = func() bool { return w.fault(0.02) }
	w.agents.down = func() bool { return w.fault(0.02) }
	w.store.SetFault(func() memory.Fault {
		if w.fault(0.01) {
			panic(killed{})
		}
		if !w.fault(0.09) {
			return memory.Sound
		}
		return []memory.Fault{memory.Lost, memory.Late, memory.Down}[w.random.IntN(3)]
	})
	w.intake.before = func() {
		if w.fault(0.02) {
			panic(killed{})
		}
	}
	w.intake.draw = func() reporter.Outcome {
		if !w.fault(0.1) {
			return reporter.Accepted
		}
		return []reporter.Outcome{reporter.Lost, reporter.Refused}[w.random.IntN(2)]
	}
}

// disturbStore begins or ends an outage of the key-value service.
func (w *world) disturbStore() {
	if w.outage--; w.outage == 0 {
		w.store.SetDown(false)
	}
	if w.outage < 0 && w.fault(0.01) {
		w.outage = 1 + w.random.IntN(30)
		w.store.SetDown(true)
	}
}

// work lets one entry run requests and flush, and perhaps die or be taken for dead.
func (w *world) work(i int) {
	for range w.random.IntN(4) {
		w.request(w.entries[i])
	}
	if !w.chance(0.1) {
		w.survive(i, func() { w.flush(w.entries[i]) })
	}
	if w.fault(0.003) {
		w.kill(i)
	}
	if w.fault(0.001) {
		w.gone[w.entries[i].meter.Node()] = true
	}
}

// survive runs part of an entry's work and replaces the entry if it dies in it.
func (w *world) survive(i int, work func()) {
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(killed); !ok {
				panic(p)
			}
			w.kill(i)
		}
	}()
	work()
}

// replaceDeposed restarts the entries whose meters were taken over although they live.
func (w *world) replaceDeposed() {
	for i, e := range w.entries {
		if e.meter.TakenOver() {
			w.kill(i)
		}
	}
}

// settle ends all faults and lets the world run until everything is reported.
func (w *world) settle() {
	w.store.SetFault(nil)
	w.store.SetDown(false)
	w.agents.lose, w.agents.down, w.intake.before, w.intake.draw = nil, nil, nil, nil
	for range 60 {
		for _, e := range w.entries {
			w.flush(e)
		}
		w.lead(0, time.Minute)
		w.clock.Advance(10 * time.Second)
	}
}

// Guards against a late count that changes a sealed window, and against one that is not marked as a correction. In the
// second of three windows one entry can't flush in time.
func TestLateCountBecomesCorrection(t *testing.T) {
	w := newWorld(1, 2)
	f := meter.Figures{Requests: 1, Input: 10, Cached: 4, Output: 7, Busy: 3 * time.Second, Cross: 50}
	for n := range 4 {
		for i, e := range w.entries {
			r := meter.Receipt{Agent: "agent-0", Attempt: identifier.Attempt{Request: identifier.Request(fmt.Sprint(n, "-", i))}}
			e.meter.Count(w.clock.Now(), "routing", f, r)
			if n != 1 || i != 1 {
				w.flush(e)
			}
		}
		w.clock.Advance(30 * time.Second)
		w.lead(0, 20*time.Second)
		w.clock.Advance(30 * time.Second)
	}
	w.settle()
	var out strings.Builder
	for _, id := range slices.Sorted(maps.Keys(w.intake.bodies)) {
		fmt.Fprintln(&out, len(w.intake.bodies[id]), w.intake.bodies[id][0])
	}
	goldie.New(t).Assert(t, "correction", []byte(out.String()))
}
