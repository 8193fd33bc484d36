package runner

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/placer"
)

// List returns the listed targets as this entry sees them.
func (o *orders) List() []httpserver.Target {
	serving := make(map[identifier.Target]int)
	for _, t := range o.tracker.View().Targets() {
		serving[t.ID] = t.Running
	}
	members := o.tracker.Members()
	all := make([]httpserver.Target, 0, len(members))
	for _, m := range members {
		running, ok := serving[m.Target]
		all = append(all, httpserver.Target{
			Target: m.Target, Service: m.Service, Zone: m.Zone, Region: m.Region, Serving: ok, Leaving: m.Leaving, Running: running,
		})
	}
	return all
}

// DrainTarget makes a target take no new work on behalf of an operator.
func (o *orders) DrainTarget(ctx context.Context, t identifier.Target) (idle, known, ok bool) {
	address, known := o.address(t)
	if !known {
		return false, false, false
	}
	idle, ok = o.peers.OperatorDrain(ctx, address)
	return idle, true, ok
}

// Plan returns the last plan of this process and the open orders of the region. A process that does not order makes a
// plan now.
func (o *orders) Plan(ctx context.Context) (placer.Plan, []orderer.Order, bool) {
	book, ok := o.orderer.ReadOrders(ctx)
	if !ok {
		return placer.Plan{}, nil, false
	}
	if last := o.plan.Load(); last != nil && o.settings.Enabled {
		return *last, book.Orders, true
	}
	var vms []orderer.VM
	for _, m := range o.tracker.Members() {
		if m.Region == o.region {
			vms = append(vms, orderer.VM{Target: m.Target, Service: m.Service, Zone: m.Zone, Leaving: m.Leaving})
		}
	}
	return o.next(vms, book.Orders), book.Orders, true
}
