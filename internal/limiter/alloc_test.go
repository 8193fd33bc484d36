//go:build !lockcheck && !race

package limiter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against allocations for targets that name no rate, which are nearly all.
func TestUnlimitedAnswersAllocateNothing(t *testing.T) {
	l := limiter.NewLimiter(&network{}, &timer.Manual{}, nil)
	r := router.NewRouter(router.WithSeed(1))
	r.Adopt(router.NewView([]router.Target{target(1), target(2)}))
	allocs := testing.AllocsPerRun(1000, func() {
		chosen, _ := l.Choose(r, router.Requirements{Service: "s", Zone: "z"})
		r.Release(chosen.ID)
		l.Record(chosen, limiter.Statement{}, 0)
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
}
