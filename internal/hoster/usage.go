package hoster

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/rationer"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// reportUsage reports what this entry has at targets until ctx ends.
func (e *Entry) reportUsage(ctx context.Context, r *router.Router) {
	for {
		peers := len(e.conductor.OtherMembers())
		if !timer.Wait(ctx, e.clock, rationer.Period(peers)) {
			return
		}
		if peers == 0 {
			continue
		}
		view := r.View()
		var loads []rationer.Load
		for _, s := range e.rationer.Services() {
			loads = append(loads, rationer.Load{Service: s, Running: r.InFlight(s), Slots: view.Slots(s)})
		}
		e.rationer.Publish(e.Node, loads, peers)
	}
}
