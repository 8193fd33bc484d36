package announcer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/router"
)

// roughHint is right at the median and often far off, as callers' hints are.
func roughHint(r *rand.Rand, events int) int {
	return max(1, int(float64(events)*math.Exp(0.5*r.NormFloat64())))
}

// lyingHint has nothing to do with the length.
func lyingHint(r *rand.Rand, _ int) int { return 1 + r.IntN(64) }

// Guards against a placement by cost that is worse than that by slots, far from what could be done at all, or misled by hints that lie, by
// targets that change their speed and by entries that can't be reached. Each load is the same for all policies.
func TestPlacement(t *testing.T) {
	var out strings.Builder
	loads := []struct {
		name   string
		groups int
		hint   func(*rand.Rand, int) int
		change func(*world)
	}{
		{"128 items every 4 s at each entry", 8, roughHint, nil},
		{"224 items every 4 s at each entry", 14, roughHint, nil},
		{"48 items every 4 s at each entry", 3, roughHint, nil},
		{"128 items, hints lie", 8, lyingHint, nil},
		{"128 items, six targets take 1.5 times as long from 10 s on", 8, roughHint, func(w *world) {
			if w.now == 10e9 {
				for _, id := range w.order[:6] {
					w.engines[id].slow = 1.5
				}
			}
		}},
	}
	for _, l := range loads {
		fmt.Fprintf(&out, "# %s\n", l.name)
		for _, p := range []struct {
			name           string
			policy         router.Policy
			oracle, silent bool
		}{
			{"by slots", router.Spread{}, false, true},
			{"by cost", router.Cost{}, false, false},
			{"by cost, nobody tells", router.Cost{}, false, true},
			{"clairvoyant", router.Spread{}, true, true},
		} {
			w, all := newWorld(p.policy), arrivals(1, l.groups, l.hint)
			w.oracle, w.silent = p.oracle, p.silent
			w.play(all, l.change)
			fmt.Fprintf(&out, "%s: %s\n", p.name, w.summary(all))
		}
	}
	goldie.New(t).Assert(t, "placement", []byte(out.String()))
}
