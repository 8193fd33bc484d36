package dispatcher

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Guards against an answer that breaks off and goes on at a target of another software version than the one that began it, also
// where no other is left.
func TestContinuedAnswersStayWithTheirRelease(t *testing.T) {
	c := qt.New(t)
	targets := []router.Target{{ID: "a1", Release: "1"}, {ID: "a2", Release: "1"}, {ID: "b1", Release: "2"}, {ID: "b2", Release: "2"}}
	for i := range targets {
		targets[i].Service, targets[i].Zone = "s", "z"
	}
	d := &Dispatcher{router: router.NewRouter(), isolator: &isolator.Isolator{}, config: &configurator.Configurator{}}
	d.router.Adopt(router.NewView(targets))
	j := &job{release: "1", failedTargets: []identifier.Target{"a1"}}
	j.request.Service.Name, j.request.Service.Kind = "s", configurator.Model
	chosen := func() map[identifier.Target]bool {
		ids := make(map[identifier.Target]bool)
		for range 100 {
			if target, ok := d.chooseTarget(j); ok {
				ids[target.ID] = true
				d.router.Release(target.ID)
			}
		}
		return ids
	}
	c.Assert(chosen(), qt.HasLen, 3, qt.Commentf("before the first piece"))
	j.progress.tokens = 1
	c.Assert(chosen(), qt.DeepEquals, map[identifier.Target]bool{"a2": true})
	j.failedTargets = append(j.failedTargets, "a2")
	c.Assert(chosen(), qt.HasLen, 0)
}
