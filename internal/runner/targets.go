package runner

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/placer"
)

// List returns the listed targets with their state in this entry's view.
func (p *planner) List() []httpserver.Target {
	serving := make(map[identifier.Target]int)
	for _, t := range p.tracker.RoutedView().Targets() {
		serving[t.ID] = t.Running
	}
	members := p.tracker.Members()
	all := make([]httpserver.Target, 0, len(members))
	for _, m := range members {
		running, ok := serving[m.Target]
		all = append(all, httpserver.Target{
			Target: m.Target, Service: m.Service, Zone: m.Zone, Region: m.Region, Serving: ok, Leaving: m.Leaving, Running: running,
		})
	}
	return all
}

// DrainTarget makes a target accept no new work on behalf of an operator. known is false if the target is not listed, ok
// if the agent did not accept the drain.
func (p *planner) DrainTarget(ctx context.Context, t identifier.Target) (idle, known, ok bool) {
	address, known := p.agentAddress(t)
	if !known {
		return false, false, false
	}
	idle, ok = p.peers.OperatorDrain(ctx, address)
	return idle, true, ok
}

// Plan returns the last plan of this process and the open orders of the region. A process without a plan, or that may not
// order targets, makes one. The last result is false if the orders could not be read.
func (p *planner) Plan(ctx context.Context) (placer.Plan, []orderer.Order, bool) {
	set, ok := p.orderer.ReadOrders(ctx)
	if !ok {
		return placer.Plan{}, nil, false
	}
	if last := p.plan.Load(); last != nil && p.settings.Enabled {
		return *last, set.Orders, true
	}
	var vms []orderer.VM
	for _, m := range p.tracker.Members() {
		if m.Region == p.region {
			vms = append(vms, orderer.VM{Target: m.Target, Service: m.Service, Zone: m.Zone, Leaving: m.Leaving})
		}
	}
	return p.makePlan(vms, set.Orders), set.Orders, true
}
