package hoster

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/interpreter"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// zonedDecoder decodes targets a and b in the zones za and zb.
type zonedDecoder struct{ keyDecoder }

func (zonedDecoder) EvacuatedZone(key string) identifier.Zone {
	return identifier.Zone(strings.TrimPrefix(key, "op/evacuate/"))
}

func (zonedDecoder) Listing(e storer.Entry) (registrar.Listing, error) {
	return registrar.Listing{ID: identifier.Target(e.Key), Service: "s", Zone: identifier.Zone("z" + e.Key), Slots: 1, Release: "v1"}, nil
}

// Guards against requests for an evacuated zone, and loads of weights there, at a process that starts, loses the store, reads all orders
// anew, finds them among other keys or gets one for an unknown zone; and against a service without a target that is not reported.
func TestEvacuatedZonesAreLeftOut(t *testing.T) {
	var lines bytes.Buffer
	log, clock := logger.NewLogger("test", "info", &lines), &timer.Manual{}
	zones := newEvacuator(Settings{Zone: "za", Regions: map[identifier.Zone]identifier.Region{"zb": "r"}, Evacuate: time.Second})
	reg := registrar.NewRegistrar(nil).WithEvacuator(zones)
	stranded := &strandedServices{registrar: reg, log: log}
	targets := &targetView{
		decoder: zonedDecoder{}, registrar: reg, router: router.NewRouter(), availability: storer.NewAvailability(clock, time.Second), clock: clock,
		onChange: stranded.check,
	}
	orders := &zoneView{decoder: zonedDecoder{}, evacuator: zones, log: log, onChange: func() { targets.update(nil) }}
	all := operatorViews{operatorView: &operatorView{decoder: zonedDecoder{}}, zones: orders, prefix: "op/evacuate/"}
	entry := func(key string, revision int64) storer.Entry { return storer.Entry{Key: key, Changed: revision} }
	change := func(v storer.View, key string, revision int64, removed bool) func() {
		return func() { v.Apply(storer.Change{Entry: entry(key, revision), Removed: removed}) }
	}
	var out strings.Builder
	events := regexp.MustCompile(`"event":"(E\d+)"(?:,"(?:service|zone)":"(\w+)")?`)
	for _, step := range []struct {
		what string
		do   func()
	}{
		{"targets read, orders not", func() { targets.Reset([]storer.Entry{entry("a", 1), entry("b", 1)}) }},
		{"orders read", func() { all.Reset([]storer.Entry{entry("op/config", 2), entry("op/evacuate/zb", 3)}) }},
		{"store away", orders.Interrupted},
		{"store back", orders.Resumed},
		{"unknown zone", change(orders, "zx", 4, false)},
		{"za ordered", change(all, "op/evacuate/za", 5, false)},
		{"za ordered again", change(orders, "za", 6, false)},
		{"another key", change(all, "op/version/za", 7, false)},
		{"zb taken back", change(orders, "zb", 8, true)},
		{"b gone", change(targets, "b", 9, true)},
		{"read without the order for za", func() { orders.Reset([]storer.Entry{entry("zx", 4)}) }},
	} {
		step.do()
		draining := 0
		for _, l := range reg.Listings() {
			if l.Draining {
				draining++
			}
		}
		fmt.Fprintf(&out, "%s: uses [%s], %d without loads, %d stranded", step.what, used(targets), draining, stranded.count())
		for _, m := range events.FindAllStringSubmatch(lines.String(), -1) {
			fmt.Fprintf(&out, ", %s", strings.Join(m[1:], " "))
		}
		lines.Reset()
		out.WriteString("\n")
	}
	goldie.New(t).Assert(t, "evacuation", []byte(out.String()))
}

// countedCalls is a forwarder.TargetClient and forwarder.StartReader that counts calls.
type countedCalls int

func (c *countedCalls) Call(context.Context, forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	*c++
	return forwarder.Answer{}, forwarder.NoFault
}

func (c *countedCalls) Start(context.Context, router.Target) (identifier.Incarnation, time.Time, bool) {
	*c++
	return 1, time.Time{}, true
}

// Guards against a call to a target that was chosen before its zone was evacuated and that is sent long after.
func TestLateCallsAreNotSent(t *testing.T) {
	zones, made, target := &evacuator.Evacuator{}, new(countedCalls), router.Target{ID: "a", Zone: "z"}
	calls := interpreter.NewInterpreter(made, &timer.Manual{}, nil, interpreter.WithEvacuator(zones))
	for _, want := range []countedCalls{2, 2} {
		_, fault := calls.Call(t.Context(), forwarder.Call{Target: target})
		_, _, ok := startGate{StartReader: made, evacuator: zones}.Start(t.Context(), target)
		qt.Assert(t, *made, qt.Equals, want)
		qt.Assert(t, ok == (fault == forwarder.NoFault), qt.IsTrue)
		zones.Apply(evacuator.Order{Zone: "z", Revision: 1})
	}
}
