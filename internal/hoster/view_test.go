package hoster

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// keyDecoder takes the key of an entry as the identity of a target.
type keyDecoder struct{}

func (keyDecoder) Operator(storer.Entry) (OperatorEntry, error) { return OperatorEntry{}, nil }

func (keyDecoder) Target(key string) identifier.Target { return identifier.Target(key) }

func (keyDecoder) EvacuatedZone(key string) identifier.Zone { return identifier.Zone(key) }

func (keyDecoder) Listing(e storer.Entry) (registrar.Listing, error) {
	return registrar.Listing{ID: identifier.Target(e.Key), Service: "s", Zone: "z", Slots: 1, Release: "v1"}, nil
}

// Guards against a target that stays in use after the store has removed its listing, because a read of the listings broke off or
// the history of another entry begins too late, against one that stays in use for longer than listings take to return after an
// outage, and against one that is dropped although its lease expired only because the store was away.
func TestRemovalsAndLapses(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	entries := []storer.Entry{{Key: "a", Changed: 1}, {Key: "b", Changed: 2}}
	removal := storer.Change{Entry: storer.Entry{Key: "b", Changed: 3}, Removed: true}
	outage := func(clock *timer.Manual, a *storer.Availability) {
		for range 4 {
			a.End(a.Begin(), storer.Unavailable)
			clock.Advance(time.Second)
		}
		a.End(a.Begin(), storer.Applied)
	}
	disturbances := []struct {
		name string
		play func(clock *timer.Manual, a *storer.Availability, v *targetView)
	}{
		{"nothing", func(*timer.Manual, *storer.Availability, *targetView) {}},
		{"a read broke off", func(clock *timer.Manual, a *storer.Availability, v *targetView) {
			a.End(clock.Monotonic(), storer.Unknown)
			v.Interrupted()
			clock.Advance(300 * time.Millisecond)
			a.End(a.Begin(), storer.Applied)
		}},
		{"the store was away", func(clock *timer.Manual, a *storer.Availability, v *targetView) {
			v.Interrupted()
			outage(clock, a)
		}},
		{"the store was away 1.5 s ago", func(clock *timer.Manual, a *storer.Availability, _ *targetView) {
			outage(clock, a)
			clock.Advance(1500 * time.Millisecond)
		}},
		{"the store was away 2.5 s ago", func(clock *timer.Manual, a *storer.Availability, _ *targetView) {
			outage(clock, a)
			clock.Advance(2500 * time.Millisecond)
		}},
		{"the store was away 4 s ago", func(clock *timer.Manual, a *storer.Availability, _ *targetView) {
			outage(clock, a)
			clock.Advance(4 * time.Second)
		}},
	}
	news := map[string]func(*targetView){
		"change":   func(v *targetView) { v.Apply(removal) },
		"snapshot": func(v *targetView) { v.Reset(entries[:1]) },
	}
	var out strings.Builder
	for _, d := range disturbances {
		for _, by := range []string{"change", "snapshot"} {
			clock := &timer.Manual{}
			clock.Advance(time.Second)
			a := storer.NewAvailability(clock, minLapseOutage(heartbeat))
			v := &targetView{
				decoder: keyDecoder{}, registrar: registrar.NewRegistrar(nil), router: router.NewRouter(), availability: a, clock: clock,
				log: logger.NewLogger("test", "error", io.Discard),
			}
			v.Reset(entries)
			d.play(clock, a, v)
			news[by](v)
			fmt.Fprintf(&out, "%s, b removed by a %s: uses %s", d.name, by, used(v))
			clock.Advance(500 * time.Millisecond)
			v.expire()
			fmt.Fprintf(&out, ", 0.5 s later %s", used(v))
			clock.Advance(1500 * time.Millisecond)
			v.expire()
			fmt.Fprintf(&out, ", 2 s later %s\n", used(v))
		}
	}
	goldie.New(t).Assert(t, "removals", []byte(out.String()))
}

// used returns the targets that get requests.
func used(v *targetView) string {
	var ids []string
	for _, id := range []identifier.Target{"a", "b"} {
		requirements := router.Requirements{Service: "s", Avoid: []identifier.Target{"a", "b"}}
		requirements.Avoid = slicesWithout(requirements.Avoid, id)
		if target, ok := v.router.Choose(requirements); ok {
			v.router.Release(target.ID)
			ids = append(ids, string(id))
		}
	}
	return strings.Join(ids, " ")
}

func slicesWithout(ids []identifier.Target, id identifier.Target) []identifier.Target {
	var rest []identifier.Target
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}
