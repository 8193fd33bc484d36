package pacer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/pacer"
)

func newPace(first, interval time.Duration) pacer.Pace {
	return pacer.Pace{First: first * time.Millisecond, Interval: interval * time.Millisecond}
}

// Guards against attempts that are cut although their targets are only as slow as their peers, and against silent ones of a fast target
// that keep their slots for as long as those of a slow one: the load is a service at 20 to 600 ms an event.
func TestStallLimits(t *testing.T) {
	var out strings.Builder
	for _, tc := range []struct {
		name       string
		own, peers pacer.Pace
	}{
		{"nothing measured", pacer.Pace{}, pacer.Pace{}},
		{"fast", newPace(90, 20), newPace(90, 20)},
		{"full batches", newPace(250, 160), newPace(250, 160)},
		{"all slow", newPace(900, 600), newPace(900, 600)},
		{"one slow", newPace(900, 250), newPace(200, 50)},
		{"one fast", newPace(100, 20), newPace(200, 200)},
	} {
		limits := pacer.StallLimits(tc.own, tc.peers)
		fmt.Fprintf(&out, "%-16s first %v, next %v\n", tc.name, limits.First, limits.Next)
	}
	goldie.New(t).Assert(t, "stall", []byte(out.String()))
}

// Guards against executions that are cut to move a text although it is nearly done, or although the other target spends more on its
// prompt than it gains: the load is texts of 6 to 18 events at targets that are twice or ten times as slow as their peers.
func TestMoves(t *testing.T) {
	var out strings.Builder
	peers := newPace(200, 50)
	for _, own := range []pacer.Pace{newPace(0, 60), newPace(0, 100), newPace(0, 500)} {
		for _, hint := range []int{6, 18, 400, 0} {
			fmt.Fprintf(&out, "%v an event, hint %3d, moves after events:", own.Interval, hint)
			for _, events := range []int{2, 4, 12, 16, 40, 398} {
				if pacer.WorthMoving(own, peers, hint, events) {
					fmt.Fprintf(&out, " %d", events)
				}
			}
			out.WriteString("\n")
		}
	}
	goldie.New(t).Assert(t, "moves", []byte(out.String()))
}
