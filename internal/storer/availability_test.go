package storer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against a single call that breaks off, a watch that is cut or a slow answer that counts as an outage of the service, and
// against an outage that is not noticed, whether calls fail at once or stay without an answer.
func TestAvailability(t *testing.T) {
	const minOutage, window, period = 1400 * time.Millisecond, 3 * time.Second, 700 * time.Millisecond
	var out strings.Builder
	for _, tc := range []struct {
		name string
		play func(clock *timer.Manual, a *storer.Availability)
	}{
		{"no call", func(clock *timer.Manual, _ *storer.Availability) { clock.Advance(time.Minute) }},
		{"calls answered", func(clock *timer.Manual, a *storer.Availability) {
			for range 5 {
				a.End(a.Begin(), storer.Applied)
				clock.Advance(period)
			}
		}},
		{"calls seldom made", func(clock *timer.Manual, a *storer.Availability) {
			a.End(a.Begin(), storer.Applied)
			clock.Advance(time.Minute)
			a.End(a.Begin(), storer.Applied)
		}},
		{"one call broke off, the next was answered", func(clock *timer.Manual, a *storer.Availability) {
			a.End(a.Begin(), storer.Unknown)
			clock.Advance(period)
			a.End(a.Begin(), storer.Applied)
		}},
		{"one call silent, others answered", func(clock *timer.Manual, a *storer.Availability) {
			silent := a.Begin()
			for range 4 {
				clock.Advance(period)
				a.End(a.Begin(), storer.Applied)
			}
			a.End(silent, storer.Unknown)
			clock.Advance(period)
			a.End(a.Begin(), storer.Applied)
		}},
		{"a watch was cut", func(clock *timer.Manual, a *storer.Availability) {
			clock.Advance(10 * time.Second)
			a.End(clock.Monotonic(), storer.Unknown)
			clock.Advance(period)
			a.End(a.Begin(), storer.Applied)
		}},
		{"a guard did not hold", func(clock *timer.Manual, a *storer.Availability) {
			began := a.Begin()
			clock.Advance(period)
			a.End(began, storer.Conflict)
		}},
		{"calls fail", func(clock *timer.Manual, a *storer.Availability) {
			for range 3 {
				a.End(a.Begin(), storer.Unavailable)
				clock.Advance(period)
			}
		}},
		{"calls without an answer", func(clock *timer.Manual, a *storer.Availability) {
			a.Begin()
			clock.Advance(2 * period)
		}},
		{"calls failed, then one was answered", func(clock *timer.Manual, a *storer.Availability) {
			for range 3 {
				a.End(a.Begin(), storer.Unavailable)
				clock.Advance(period)
			}
			a.End(a.Begin(), storer.Applied)
		}},
		{"a silent call, then one was answered", func(clock *timer.Manual, a *storer.Availability) {
			a.Begin()
			clock.Advance(3 * period)
			a.End(a.Begin(), storer.Applied)
		}},
	} {
		clock := &timer.Manual{}
		clock.Advance(time.Second)
		a := storer.NewAvailability(clock, minOutage)
		tc.play(clock, a)
		_, now := a.ReturnEnd(window)
		clock.Advance(window - time.Millisecond)
		a.End(a.Begin(), storer.Applied)
		_, within := a.ReturnEnd(window)
		clock.Advance(window)
		_, later := a.ReturnEnd(window)
		fmt.Fprintf(&out, "%-42s away %t, in the window after it %t, later %t\n", tc.name, now, within, later)
	}
	goldie.New(t).Assert(t, "availability", []byte(out.String()))
}

// Guards against an entry that refuses steps for a second after an outage, because only a renewal of its registration shows that the store is
// back, and against one that waits for calls that have no answer.
func TestAnsweredWithin(t *testing.T) {
	const span = 1300 * time.Millisecond
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	a := storer.NewAvailability(clock, 1400*time.Millisecond)
	var out strings.Builder
	check := func(when string) { fmt.Fprintf(&out, "%-36s %t\n", when, a.AnsweredWithin(span)) }
	check("no call")
	a.End(a.Begin(), storer.Applied)
	check("answered")
	began := a.Begin()
	clock.Advance(100 * time.Millisecond)
	check("a call under way for 100 ms")
	clock.Advance(300 * time.Millisecond)
	check("a call under way for 400 ms")
	a.End(began, storer.Unknown)
	clock.Advance(6 * time.Second)
	check("outage")
	a.End(a.Begin(), storer.Conflict)
	check("answered again")
	clock.Advance(span)
	check("not called since")
	goldie.New(t).Assert(t, "answered", []byte(out.String()))
}
