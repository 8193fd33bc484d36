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

// Guards against samples that are lost, delivered twice, mislabelled or too old while owners die or are paused at each
// step, writes and answers are lost, statements arrive late and weights change.
func TestHandOverUnderFaults(t *testing.T) {
	c := qt.New(t)
	const samples = 20_000
	w := newWorld(rand.New(rand.NewPCG(7, 11)), 3)
	for w.samples < samples {
		w.step()
		c.Assert(w.ops < 200_000, qt.IsTrue, qt.Commentf("%d samples after %d moves", w.samples, w.ops))
	}
	// No more faults: whatever was accepted must come out.
	faults := w.injected
	w.faults = 0
	w.takeOver()
	for i := 0; w.lost() > 0 && i < 20_000; i++ {
		w.generate()
		w.pull()
		w.acknowledge()
	}
	t.Logf("%d samples, %d moves, %d faults, %d owners, %d commits", w.samples, w.ops, faults, w.fence, w.store.commits)
	c.Assert(10*faults >= w.ops, qt.IsTrue, qt.Commentf("%d faults in %d moves", faults, w.ops))
	var out strings.Builder
	fmt.Fprintf(&out, "at least %d samples: %v\n", samples, w.samples >= samples)
	fmt.Fprintf(&out, "groups lost %d, delivered twice %d, partial %d\n", w.lost(), w.twice, w.partial)
	fmt.Fprintf(&out, "samples mislabelled %d, over age %d\n", w.mislabelled, w.overAge)
	goldie.New(t).Assert(t, "handover", []byte(out.String()))
}

// Guards against an order of submissions, pulls, statements, takeovers and weight changes that breaks an invariant of
// the hand-over.
func TestHandOverModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(drawn{rt}, 5)
		check := func(rt *rapid.T) {
			if w.twice+w.partial+w.mislabelled+w.overAge > 0 {
				rt.Fatalf("twice %d, partial %d, mislabelled %d, over age %d", w.twice, w.partial, w.mislabelled, w.overAge)
			}
		}
		move := func(f func()) func(*rapid.T) { return func(*rapid.T) { f() } }
		rt.Repeat(map[string]func(*rapid.T){
			"": check, "submit": move(w.submit), "generate": move(w.generate), "pull": move(w.pull),
			"acknowledge": move(w.acknowledge), "takeover": move(w.takeOver), "swap": move(w.swap),
		})
		w.choose, w.faults = rand.New(rand.NewPCG(1, 1)), 0
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

// drawn takes the choices from rapid, so that a failing order can be shrunk.
type drawn struct{ t *rapid.T }

func (d drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }
