package hoster

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// coldDecoder reads the start and the time for which the target "a" is cold from the value of an entry.
type coldDecoder struct{ keyDecoder }

func (coldDecoder) Listing(e storer.Entry) (registrar.Listing, error) {
	l, _ := keyDecoder{}.Listing(e)
	var seconds int
	_, err := fmt.Sscan(string(e.Value), &l.Incarnation, &seconds, &l.Draining)
	l.Cold = time.Duration(seconds) * time.Second
	return l, err
}

// laterStart is a forwarder.StartReader of a target that serves as a later start than the listed one.
type laterStart struct {
	by identifier.Incarnation
}

func (s laterStart) Start(_ context.Context, t router.Target) (identifier.Incarnation, time.Time, bool) {
	return t.Incarnation + s.by, time.Time{}, true
}

// noPermits is a limiter.Source without permits.
type noPermits struct{}

func (noPermits) Allot(context.Context, limiter.Ask) (limiter.Grant, bool) {
	return limiter.Grant{}, true
}

func (noPermits) Processes() int { return 1 }

// Guards against a cold target that gets its first requests without a permit, because its listing or the plan was taken in too late,
// its first listing after a start does not say that it is cold, or its restart is known before its listing, and against one that is
// limited although its service never goes cold.
func TestColdListings(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	var out strings.Builder
	l := limiter.NewLimiter(noPermits{}, clock, nil)
	log := logger.NewLogger("test", "error", io.Discard)
	cold := newColdTargets(limiter.ColdBound{Overage: 1.5, Slack: 5}, l, clock, log)
	route := router.NewRouter()
	v := &targetView{
		decoder: coldDecoder{}, registrar: registrar.NewRegistrar(nil), router: route, clock: clock, log: log, cold: cold, onAdopt: l.Retain,
	}
	show := func(what string) {
		chosen, free := l.Choose(route, router.Requirements{Service: "s"})
		if free {
			route.Release(chosen.ID)
		}
		fmt.Fprintf(&out, "%-56s needs a permit: %-5v cold %d\n", what, !free, l.ColdCount())
	}
	list := func(value string) { v.Apply(storer.Change{Entry: storer.Entry{Key: "a", Value: []byte(value)}}) }
	plan := func(revision int, rate float64) {
		s := navigator.Service{Name: "s", ColdFor: 20 * time.Second, ColdRate: rate}
		v.replan(navigator.NewPlan(identifier.Revision(revision)).WithServices(s))
	}
	list("1 9 false")
	show("no plan yet, the listing says 9 s")
	plan(1, 0)
	show("a plan by which no target goes cold")
	plan(2, 12)
	show("a plan by which targets go cold")
	list("1 0 false")
	show("the listing says that it is warm")
	list("1 3 false")
	show("cold again for 3 s")
	clock.Advance(3 * time.Second)
	show("3 s later")
	l.Record(router.Target{ID: "a", Service: "s", Incarnation: 1}, limiter.Statement{Named: true, Rate: 3}, clock.Monotonic())
	show("it names 3 a second")
	list("1 5 false")
	show("and is cold")
	l.Record(router.Target{ID: "a", Service: "s", Incarnation: 1}, limiter.Statement{Named: true, Rate: 40}, clock.Monotonic())
	show("it names 40 a second")
	l.Record(router.Target{ID: "a", Service: "s", Incarnation: 1}, limiter.Statement{}, clock.Monotonic())
	show("it names none")
	list("1 0 false")
	list("2 0 false")
	show("another start whose first listing does not say")
	list("2 0 false")
	show("nor does its second")
	seen, _ := route.View().Target("a")
	answers := func(by identifier.Incarnation) {
		for _, suspected := range cold.due() {
			cold.ask(t.Context(), startObserver{StartReader: laterStart{by: by}, cold: cold}, suspected)
		}
	}
	cold.failed(seen, forwarder.Stale)
	show("its connection was closed")
	answers(0)
	cold.failed(seen, forwarder.Broken)
	show("a call to it broke")
	clock.Advance(suspicionTime - 1)
	cold.due()
	clock.Advance(suspicionTime - 1)
	show("and it has not answered for 4 s")
	answers(0)
	show("it is still the listed start")
	cold.failed(seen, forwarder.Unsent)
	answers(1)
	clock.Advance(19 * time.Second)
	answers(1)
	list("2 0 false")
	show("it serves as a later start than the listed one")
	list("3 4 false")
	show("the listing of that start says 4 s")
	v.Reset(nil)
	v.Reset([]storer.Entry{{Key: "a", Value: []byte("3 2 false")}})
	show("unlisted and listed for 2 s by a snapshot")
	clock.Advance(2 * time.Second)
	show("2 s later")
	list("3 5 false")
	list("3 5 true")
	fmt.Fprintf(&out, "draining: cold %d\n", l.ColdCount())
	goldie.New(t).Assert(t, "cold", []byte(out.String()))
}

// zonedColdDecoder lists target "a" in the zone "za".
type zonedColdDecoder struct{ zonedDecoder }

func (zonedColdDecoder) Listing(e storer.Entry) (registrar.Listing, error) {
	l, err := coldDecoder{}.Listing(e)
	l.Zone = "za"
	return l, err
}

// Guards against a cold target that gets requests without a permit when its zone is taken back, or when the orders are read for the first
// time: because its cold time was forgotten, because the plan came while the zone was evacuated, or because it restarted meanwhile, so
// that no call to it broke, and its new listing is not read yet; and against one that stays limited although it has not restarted.
func TestReturningTargetsAreCold(t *testing.T) {
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	var out strings.Builder
	log, zones, route := logger.NewLogger("test", "error", io.Discard), newEvacuator(Settings{Zone: "za", Evacuate: time.Second}), router.NewRouter()
	l := limiter.NewLimiter(noPermits{}, clock, nil)
	cold := newColdTargets(limiter.ColdBound{}, l, clock, log)
	v := &targetView{
		decoder: zonedColdDecoder{}, registrar: registrar.NewRegistrar(nil).WithEvacuator(zones), router: route, clock: clock, log: log, cold: cold,
		onAdopt: l.Retain,
	}
	e := &Entry{base: base{log: log}, evacuator: zones, cold: cold, targets: v}
	orders := e.zoneView(zonedColdDecoder{})
	show := func(what string) {
		chosen, free := l.Choose(route, router.Requirements{Service: "s"})
		if free {
			route.Release(chosen.ID)
		}
		fmt.Fprintf(&out, "%-44s used [%s] without a permit %-5v cold %d, asked %d\n", what, used(v), free, l.ColdCount(), len(cold.due()))
	}
	answer := func(by identifier.Incarnation) {
		for _, suspected := range cold.due() {
			cold.ask(t.Context(), startObserver{StartReader: laterStart{by: by}, cold: cold}, suspected)
		}
	}
	order := func(revision int64, removed bool) {
		orders.Apply(storer.Change{Entry: storer.Entry{Key: "op/evacuate/za", Changed: revision}, Removed: removed})
	}
	v.Apply(storer.Change{Entry: storer.Entry{Key: "a", Value: []byte("1 5 false")}})
	v.replan(navigator.NewPlan(1).WithServices(navigator.Service{Name: "s", ColdFor: 20 * time.Second, ColdRate: 12}))
	show("listed as cold for 5 s, orders not read")
	orders.Reset(nil)
	show("orders read")
	order(1, false)
	show("evacuated")
	order(2, true)
	answer(0)
	show("taken back, it is still the listed start")
	clock.Advance(5 * time.Second)
	show("5 s later")
	order(3, false)
	order(4, true)
	show("evacuated and taken back")
	answer(0)
	show("it is still the listed start")
	order(5, false)
	orders.Reset(nil)
	show("taken back by a read of all orders")
	answer(1)
	clock.Advance(19 * time.Second)
	show("it serves as a later start for 19 s")
	goldie.New(t).Assert(t, "returning", []byte(out.String()))
}
