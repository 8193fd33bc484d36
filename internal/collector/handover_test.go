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
	w := newSimulation(rand.New(rand.NewPCG(7, 11)), 3)
	for w.samples < samples {
		w.step()
		c.Assert(w.operations < 200_000, qt.IsTrue, qt.Commentf("%d samples after %d operations", w.samples, w.operations))
	}
	// Without further faults, every accepted group must be delivered.
	faults := w.injectedFaults
	w.faultPercent = 0
	w.takeOver()
	for i := 0; w.lost() > 0 && i < 20_000; i++ {
		w.generate()
		w.pull()
		w.acknowledge()
	}
	t.Logf("%d samples, %d operations, %d faults, %d owners, %d commits", w.samples, w.operations, faults, w.fence, w.store.commits)
	c.Assert(10*faults >= w.operations, qt.IsTrue, qt.Commentf("%d faults in %d operations", faults, w.operations))
	var out strings.Builder
	fmt.Fprintf(&out, "at least %d samples: %v\n", samples, w.samples >= samples)
	fmt.Fprintf(&out, "groups lost %d, delivered twice %d, partial %d\n", w.lost(), w.duplicates, w.partial)
	fmt.Fprintf(&out, "samples mislabelled %d, over age %d\n", w.mislabelled, w.overAge)
	goldie.New(t).Assert(t, "handover", []byte(out.String()))
}

// Guards against duplicate, partial, mislabelled, over-age or lost groups in some order of submissions, pulls,
// statements, takeovers and weight changes.
func TestHandOverModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(rapidChooser{rt}, 5)
		check := func(rt *rapid.T) {
			if w.duplicates+w.partial+w.mislabelled+w.overAge > 0 {
				rt.Fatalf("duplicates %d, partial %d, mislabelled %d, over age %d", w.duplicates, w.partial, w.mislabelled, w.overAge)
			}
		}
		operation := func(f func()) func(*rapid.T) { return func(*rapid.T) { f() } }
		rt.Repeat(map[string]func(*rapid.T){
			"": check, "submit": operation(w.submit), "generate": operation(w.generate), "pull": operation(w.pull),
			"acknowledge": operation(w.acknowledge), "takeover": operation(w.takeOver), "swap": operation(w.swap),
		})
		w.chooser, w.faultPercent = rand.New(rand.NewPCG(1, 1)), 0
		w.takeOver()
		for i := 0; w.lost() > 0 && i < 2_000; i++ {
			w.generate()
			w.pull()
		}
		if n := w.lost(); n > 0 {
			rt.Fatalf("%d accepted groups lost", n)
		}
		check(rt)
	})
}

// rapidChooser draws the choices from rapid, so that a failing order can be shrunk.
type rapidChooser struct{ t *rapid.T }

func (d rapidChooser) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }
