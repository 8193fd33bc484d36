package upgrader_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/upgrader"
)

// engines are targets that load a version immediately. The first orders get the given verdicts.
type engines struct {
	mutex    sync.Mutex
	orders   map[identifier.Target]int
	versions map[identifier.Target]identifier.Version
	fences   []identifier.Fence
	// verdicts are returned for the first orders, which are not carried out, except for those with the verdict Lost.
	verdicts []upgrader.Verdict
	ordered  chan struct{}
}

func newEngines(verdicts ...upgrader.Verdict) *engines {
	return &engines{
		orders: make(map[identifier.Target]int), versions: make(map[identifier.Target]identifier.Version), verdicts: verdicts,
		ordered: make(chan struct{}, 100),
	}
}

func (e *engines) Report(_ context.Context, l registrar.Listing) (upgrader.Report, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return upgrader.Report{
		Orders: e.orders[l.ID], Versions: map[identifier.Model]identifier.Version{"m": max(e.versions[l.ID], l.Versions["m"])},
	}, true
}

func (e *engines) Order(_ context.Context, l registrar.Listing, o upgrader.Order) upgrader.Verdict {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fences = append(e.fences, o.Fence)
	verdict := upgrader.Accepted
	if len(e.verdicts) > 0 {
		verdict, e.verdicts = e.verdicts[0], e.verdicts[1:]
	}
	if o.ExpectedOrders != e.orders[l.ID] {
		verdict = upgrader.OrderConflict
	}
	if verdict == upgrader.Accepted || verdict == upgrader.Lost {
		e.orders[l.ID]++
		e.versions[l.ID] = o.Version
	}
	e.ordered <- struct{}{}
	return verdict
}

func (e *engines) loaded() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	all := make([]string, 0, 4)
	for i := range 4 {
		id := identifier.Target(fmt.Sprintf("t%d", i))
		all = append(all, fmt.Sprintf("%s=%d/%d", id, e.versions[id], e.orders[id]))
	}
	return strings.Join(all, " ")
}

// startUpgrader runs an Upgrader with four targets at version 1.
func startUpgrader(t *testing.T, e *engines) (*upgrader.Upgrader, <-chan struct{}) {
	nav, reg := &navigator.Navigator{}, &registrar.Registrar{}
	nav.Adopt(navigator.NewPlan(1).WithServices(navigator.Service{Name: "s", Models: []identifier.Model{"m"}}))
	for i := range 4 {
		reg.Put(registrar.Listing{
			ID: identifier.Target(fmt.Sprintf("t%d", i)), Service: "s", Versions: map[identifier.Model]identifier.Version{"m": 1},
		})
	}
	u := upgrader.NewUpgrader(upgrader.Dependencies{Navigator: nav, Registrar: reg, Engines: e, Clock: timer.NewSystem()},
		leaser.Term{Holder: "n", Fence: 9}, func() bool { return true })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		u.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return u, done
}

// Guards against targets that never load the version after a failed order, and against a second load at a target whose
// answer to the first order was lost.
func TestEveryTargetLoadsOnce(t *testing.T) {
	c := qt.New(t)
	e := newEngines(upgrader.Lost, upgrader.Rejected, upgrader.OrderConflict)
	u, _ := startUpgrader(t, e)
	u.SetDesired(upgrader.DesiredVersion{Model: "m", Version: 2})
	for range 6 {
		<-e.ordered
	}
	c.Assert(e.loaded(), qt.Equals, "t0=2/1 t1=2/1 t2=2/1 t3=2/1")
	for _, f := range e.fences {
		c.Assert(int(f), qt.Equals, 9)
	}
}

// Guards against a deposed holder of the duty that keeps sending orders after a target has seen a later term.
func TestDeposedHolderStops(t *testing.T) {
	e := newEngines(upgrader.StaleFence)
	u, done := startUpgrader(t, e)
	u.SetDesired(upgrader.DesiredVersion{Model: "m", Version: 2})
	<-done
	qt.Assert(t, len(e.fences), qt.Equals, 1)
}

// Guards against an older version that replaces a newer one because its announcement arrives later.
func TestOlderVersionIsIgnored(t *testing.T) {
	e := newEngines()
	u, _ := startUpgrader(t, e)
	u.SetDesired(upgrader.DesiredVersion{Model: "m", Version: 5})
	u.SetDesired(upgrader.DesiredVersion{Model: "m", Version: 4})
	for range 4 {
		<-e.ordered
	}
	qt.Assert(t, e.loaded(), qt.Equals, "t0=5/1 t1=5/1 t2=5/1 t3=5/1")
}

// Guards against orders that are sent after the term has ended.
func TestNoOrderAfterTerm(t *testing.T) {
	e := newEngines()
	nav, reg := &navigator.Navigator{}, &registrar.Registrar{}
	nav.Adopt(navigator.NewPlan(1).WithServices(navigator.Service{Name: "s", Models: []identifier.Model{"m"}}))
	reg.Put(registrar.Listing{ID: "t0", Service: "s"})
	checked := make(chan struct{}, 100)
	u := upgrader.NewUpgrader(upgrader.Dependencies{Navigator: nav, Registrar: reg, Engines: e, Clock: timer.NewSystem()}, leaser.Term{}, func() bool {
		checked <- struct{}{}
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		u.Run(ctx)
	}()
	u.SetDesired(upgrader.DesiredVersion{Model: "m", Version: 2})
	<-checked
	cancel()
	<-done
	qt.Assert(t, e.fences, qt.HasLen, 0)
}
