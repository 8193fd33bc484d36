package orderer_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/orderer"
)

// Guards against starts without a stored order and stops of busy targets, over 220 one-minute windows. Two orderers die
// between any two steps, are paused before a send and lose responses of the store and the platform; targets start, die
// and become busy. The platform either refuses old fencing numbers or ignores them.
func TestOrdersUnderFaults(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(20261204, 3))
			m := newMachine(fenced)
			faulty := 0
			for range 220 * 6 {
				if random.IntN(10) == 0 {
					m.wanted = random.IntN(8)
				}
				running := slices.Sorted(maps.Keys(m.platform.running))
				for _, target := range running {
					m.platform.busy[target] = random.IntN(3) == 0 && (m.platform.busy[target] || !m.platform.draining[target])
				}
				if len(running) > 0 && random.IntN(40) == 0 {
					delete(m.platform.running, running[random.IntN(len(running))])
				}
				i := random.IntN(2)
				if random.IntN(2) == 0 {
					m.acquire(i)
				}
				m.killAfter = random.IntN(12)
				m.injectFaults(random, i)
				if m.killAfter > 0 {
					faulty++
				}
				m.round(i)
				m.platform.arrive(false)
				m.clock.Advance(10 * time.Second)
			}
			m.finish()
			t.Logf("%d orders carried out, %d rounds with a simulated death, events %v", len(m.platform.orders), faulty, m.events)
			c.Check(faulty*10 >= 220*6, qt.IsTrue, qt.Commentf("%d rounds with a simulated death", faulty))
			c.Check(m.violations(), qt.HasLen, 0)
		})
	}
}

// Guards against an order to an engine from a process that may no longer hold the duty: after its term, with an old
// fencing number, or, to an engine that ignores the numbers, before the term is settled.
func TestEngineOrders(t *testing.T) {
	var out strings.Builder
	names := map[orderer.Outcome]string{orderer.Accepted: "accepted", orderer.Stale: "stale", orderer.Unsent: "unsent"}
	for _, refuses := range []bool{true, false} {
		m := newMachine(refuses)
		send := func(name string, i int) {
			o := orderer.EngineOrder{Kind: orderer.LoadAdapter, Name: "blankets"}
			got := m.orderers[i].SendEngineOrder(context.Background(), m.terms[i].term.Fence, "t1", o, refuses)
			fmt.Fprintf(&out, "engine refuses old numbers: %v, %s: %s\n", refuses, name, names[got])
		}
		send("without a term", 0)
		m.acquire(0)
		send("at the start of a term", 0)
		m.clock.Advance(ttl)
		send("in a settled term", 0)
		m.clock.Advance(ttl)
		send("after the term", 0)
		m.acquire(1)
		m.clock.Advance(ttl)
		send("by the next holder", 1)
		// The first holder's clock has stopped, so that it still considers its term valid.
		m.terms[0].term = leaser.Term{Fence: 1, ValidUntil: m.clock.Monotonic() + time.Minute}
		send("by the first holder, which believes in its term", 0)
	}
	goldie.New(t).Assert(t, "engine", []byte(out.String()))
}
