package collector_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

// Guards against samples that are lost, delivered twice, mislabelled or too old when owners crash or pause at any step,
// writes and answers are lost, statements arrive late and weights change.
func TestHandOverUnderFaults(t *testing.T) {
	c := qt.New(t)
	const samples = 20_000
	sim := newSimulation(rand.New(rand.NewPCG(7, 11)), 3)
	for sim.samples < samples {
		sim.step()
		c.Assert(sim.operations < 200_000, qt.IsTrue, qt.Commentf("%d samples after %d operations", sim.samples, sim.operations))
	}
	// Without further faults, every accepted group must be delivered.
	faults := sim.injectedFaults
	sim.faultPercent = 0
	sim.takeOver()
	for i := 0; sim.lost() > 0 && i < 20_000; i++ {
		sim.generate()
		sim.pull()
		sim.acknowledge()
	}
	t.Logf("%d samples, %d operations, %d faults, %d owners, %d commits", sim.samples, sim.operations, faults, sim.fence, sim.store.commits)
	c.Assert(10*faults >= sim.operations, qt.IsTrue, qt.Commentf("%d faults in %d operations", faults, sim.operations))
	var out strings.Builder
	fmt.Fprintf(&out, "at least %d samples: %v\n", samples, sim.samples >= samples)
	fmt.Fprintf(&out, "groups lost %d, delivered twice %d, partial %d\n", sim.lost(), sim.duplicates, sim.partial)
	fmt.Fprintf(&out, "samples mislabelled %d, over age %d\n", sim.mislabelled, sim.overAge)
	goldie.New(t).Assert(t, "handover", []byte(out.String()))
}

// Guards against duplicate, partial, mislabelled, over-age or lost groups in some order of submissions, pulls,
// statements, takeovers and weight changes.
func TestHandOverModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapidChooser{rt}, 5)
		check := func(rt *rapid.T) {
			if sim.duplicates+sim.partial+sim.mislabelled+sim.overAge > 0 {
				rt.Fatalf("duplicates %d, partial %d, mislabelled %d, over age %d", sim.duplicates, sim.partial, sim.mislabelled, sim.overAge)
			}
		}
		operation := func(f func()) func(*rapid.T) { return func(*rapid.T) { f() } }
		rt.Repeat(map[string]func(*rapid.T){
			"": check, "submit": operation(sim.submit), "generate": operation(sim.generate), "pull": operation(sim.pull),
			"acknowledge": operation(sim.acknowledge), "takeover": operation(sim.takeOver), "swap": operation(sim.swap),
		})
		sim.chooser, sim.faultPercent = rand.New(rand.NewPCG(1, 1)), 0
		sim.takeOver()
		for i := 0; sim.lost() > 0 && i < 2_000; i++ {
			sim.generate()
			sim.pull()
		}
		if n := sim.lost(); n > 0 {
			rt.Fatalf("%d accepted groups lost", n)
		}
		check(rt)
	})
}

// rapidChooser draws the choices from rapid, so that a failing order can be shrunk.
type rapidChooser struct{ t *rapid.T }

func (d rapidChooser) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }
