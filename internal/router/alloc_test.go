//go:build !lockcheck && !race

package router_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/router"
)

// Guards against allocations in Choose, which would add garbage collection work to every request.
func TestChooseAllocatesNothing(t *testing.T) {
	r := router.NewRouter(router.WithSeed(1))
	r.Adopt(router.NewView(newTargets(200, "macon", "beaufort", "greenville-ms")))
	n := required
	n.Prefix, n.PromptBytes = router.NewPrefix(strings.Repeat("x", 9000)), 9000
	allocs := testing.AllocsPerRun(1000, func() {
		chosen, _ := r.Choose(n)
		r.Release(chosen.ID)
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
}

// Guards against allocations in a choice by cost among all targets of the design size.
func TestCostChoiceAllocatesNothing(t *testing.T) {
	r, n := newDesignSizeRouter(17)
	allocs := testing.AllocsPerRun(100, func() {
		chosen, _ := r.Choose(n)
		r.Reduce(chosen.ID, chosen.Work)
		r.Release(chosen.ID)
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
}
