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

// Guards against usage that is not counted, counted twice or reported with two sets of figures, over 220 windows. In
// these, entries die with unstored counts or are taken over while alive, the reporter dies between any two steps, the
// key-value service is down across the end of a window, and responses of every component are lost.
func TestUsageUnderFaults(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(20261204, 4)
	sim.injectFaults()
	for range 220 * 12 {
		sim.toggleOutage()
		for i := range sim.entries {
			sim.runEntry(i)
		}
		sim.replaceTakenOver()
		sim.runReporter(sim.random.IntN(len(sim.entries)), 20*time.Second)
		sim.clock.Advance(5 * time.Second)
	}
	sim.finish()
	windows, different, wrong := sim.check()
	pending := 0
	for _, buffer := range sim.agents.buffers {
		pending += buffer.Len()
	}
	t.Logf("%d windows, %d requests, %d faults, %d entries started", windows, sim.total, sim.faults, sim.started)
	c.Assert(windows >= 200, qt.IsTrue, qt.Commentf("%d windows", windows))
	c.Assert(sim.faults*10 >= windows, qt.IsTrue, qt.Commentf("%d faults", sim.faults))
	c.Check(different, qt.Equals, 0)
	c.Check(wrong, qt.Equals, 0)
	c.Check(pending, qt.Equals, 0, qt.Commentf("records left at the agents"))
	values, _ := sim.store.List(context.Background(), meter.ValuePrefix)
	sealed, _ := sim.store.List(context.Background(), "/window/")
	for _, e := range append(values, sealed...) {
		n, err := strconv.ParseInt(regexp.MustCompile(`\d{5,}`).FindString(e.Key), 10, 64)
		c.Check(err != nil || meter.Window(n) > calendar.Window(sim.clock.Now())-retention-10, qt.IsTrue, qt.Commentf("%s is kept", e.Key))
	}
}

// fault draws whether a fault happens, and counts it.
func (sim *simulation) fault(p float64) bool {
	if !sim.chance(p) {
		return false
	}
	sim.faults++
	return true
}

// injectFaults sets up faults in the agents, the store and the platform.
func (sim *simulation) injectFaults() {
	sim.agents.loseReply = func() bool { return sim.fault(0.02) }
	sim.agents.unreachable = func() bool { return sim.fault(0.02) }
	sim.store.SetFault(func() memory.Fault {
		if sim.fault(0.01) {
			panic(killed{})
		}
		if !sim.fault(0.09) {
			return memory.NoFault
		}
		return []memory.Fault{memory.Lost, memory.Delayed, memory.Down}[sim.random.IntN(3)]
	})
	sim.platform.beforeSend = func() {
		if sim.fault(0.02) {
			panic(killed{})
		}
	}
	sim.platform.drawOutcome = func() reporter.Outcome {
		if !sim.fault(0.1) {
			return reporter.Accepted
		}
		return []reporter.Outcome{reporter.Lost, reporter.Refused}[sim.random.IntN(2)]
	}
}

// toggleOutage starts or ends an outage of the key-value service.
func (sim *simulation) toggleOutage() {
	if sim.outage--; sim.outage == 0 {
		sim.store.SetDown(false)
	}
	if sim.outage < 0 && sim.fault(0.01) {
		sim.outage = 1 + sim.random.IntN(30)
		sim.store.SetDown(true)
	}
}

// runEntry runs requests on one entry and flushes it. At random the entry dies, or is reported gone while it is alive.
func (sim *simulation) runEntry(i int) {
	for range sim.random.IntN(4) {
		sim.request(sim.entries[i])
	}
	if !sim.chance(0.1) {
		sim.replaceIfKilled(i, func() { sim.flush(sim.entries[i]) })
	}
	if sim.fault(0.003) {
		sim.kill(i)
	}
	if sim.fault(0.001) {
		sim.gone[sim.entries[i].meter.Node()] = true
	}
}

// replaceIfKilled runs a function of an entry and replaces the entry if it dies in it.
func (sim *simulation) replaceIfKilled(i int, work func()) {
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(killed); !ok {
				panic(p)
			}
			sim.kill(i)
		}
	}()
	work()
}

// replaceTakenOver restarts the entries whose meters were taken over although they are alive.
func (sim *simulation) replaceTakenOver() {
	for i, e := range sim.entries {
		if e.meter.TakenOver() {
			sim.kill(i)
		}
	}
}

// finish ends all faults and runs the simulation until all usage is reported.
func (sim *simulation) finish() {
	sim.store.SetFault(nil)
	sim.store.SetDown(false)
	sim.agents.loseReply, sim.agents.unreachable, sim.platform.beforeSend, sim.platform.drawOutcome = nil, nil, nil, nil
	for range 60 {
		for _, e := range sim.entries {
			sim.flush(e)
		}
		sim.runReporter(0, time.Minute)
		sim.clock.Advance(10 * time.Second)
	}
}

// Guards against a late count that changes a sealed report or is not reported as a correction. One entry does not flush
// in the second of four windows.
func TestLateCountBecomesCorrection(t *testing.T) {
	sim := newSimulation(1, 2)
	f := meter.Figures{Requests: 1, Input: 10, Cached: 4, Output: 7, Busy: 3 * time.Second, Cross: 50}
	for n := range 4 {
		for i, e := range sim.entries {
			r := meter.Receipt{Agent: "agent-0", Attempt: identifier.Attempt{Request: identifier.Request(fmt.Sprint(n, "-", i))}}
			e.meter.Count(sim.clock.Now(), "routing", f, r)
			if n != 1 || i != 1 {
				sim.flush(e)
			}
		}
		sim.clock.Advance(30 * time.Second)
		sim.runReporter(0, 20*time.Second)
		sim.clock.Advance(30 * time.Second)
	}
	sim.finish()
	var out strings.Builder
	for _, id := range slices.Sorted(maps.Keys(sim.platform.bodies)) {
		fmt.Fprintln(&out, len(sim.platform.bodies[id]), sim.platform.bodies[id][0])
	}
	goldie.New(t).Assert(t, "correction", []byte(out.String()))
}
