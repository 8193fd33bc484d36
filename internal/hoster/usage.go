package hoster

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/adapter/jobpeer"
	"github.com/mimosalb/mimosalb/internal/broadcaster"
	"github.com/mimosalb/mimosalb/internal/conductor"
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

// shareLoads tells the other entries what this one has at targets and how much it leads, until ctx ends.
func (e *Entry) shareLoads(ctx context.Context) {
	usage := broadcaster.NewBroadcaster(e.rationer, e.conductor.OtherMembers, e.client.ReportUsage, e.clock)
	e.running.Go(func() { usage.Run(ctx) })
	load := conductor.LoadSource{Conductor: e.conductor}
	loads := broadcaster.NewBroadcaster(load, e.conductor.RegionMembers, e.client.NotifyLoad, e.clock)
	e.running.Go(func() { loads.Run(ctx) })
	e.running.Go(func() { e.reportUsage(ctx, e.forwarder.Router) })
}

// usageTaker takes in what other entries have at targets; nil where nothing is refused for that.
func (e *Entry) usageTaker() jobpeer.UsageTaker {
	if e.rationer == nil {
		return nil
	}
	return e.rationer
}
