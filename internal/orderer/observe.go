package orderer

import (
	"context"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/placer"
)

// observe updates the state of an order from the platform's record of it and the VM list. It reports false when the
// platform did not respond.
func (o *Orderer) observe(ctx context.Context, order Order, vms []VM) (Order, bool) {
	// The response to a repeated order need not name the target that the first send started.
	targetUnknown := order.State == Received && order.Target == ""
	if order.State == Sent || order.State == Unknown || targetUnknown {
		target, found, ok := o.platform.Find(ctx, order.ID)
		if !ok {
			return order, false
		}
		if found {
			order = order.WithTarget(target)
		}
		if found && !targetUnknown {
			order = order.WithState(Received, o.clock.Now())
		}
	}
	listed := slices.ContainsFunc(vms, func(vm VM) bool { return vm.Target == order.Target })
	if order.State == Planned && order.Kind == placer.Stop && !listed {
		// The target stopped on its own while it was draining.
		return order.WithState(Done, o.clock.Now()), true
	}
	if order.State != Received {
		return order, true
	}
	overdue := o.clock.Now().Sub(order.Since) > o.settings.Startup
	switch {
	case listed == (order.Kind == placer.Start):
		return order.WithState(Done, o.clock.Now()), true
	case order.Kind == placer.Start && overdue:
		// The platform has the order, but the target is not listed: it started and died, or never started.
		o.notify(NotStarted, order)
		return order.WithState(Failed, o.clock.Now()), true
	default:
		return order, true
	}
}

// due returns the IDs of the orders to send now, and the order set in which they are marked as sent. The planned orders
// are due, and those that the platform is not known to have. An order to stop is due once its target has drained.
func (o *Orderer) due(ctx context.Context, fence identifier.Fence, set OrderSet) ([]string, OrderSet) {
	var due []string
	for _, order := range set.Orders {
		switch order.State {
		case Sent, Unknown:
			due = append(due, order.ID)
		case Planned:
			if order.Kind == placer.Stop && !o.drain(ctx, fence, order) {
				if !order.Reported && o.clock.Now().Sub(order.Since) > o.settings.Drain {
					o.notify(NotDrained, order)
					set = set.WithOrder(order.WithReported())
				}
				continue
			}
			due = append(due, order.ID)
			set = set.WithOrder(order.WithState(Sent, o.clock.Now()))
		default:
		}
	}
	return due, set
}

// drain makes the target accept no new work and reports whether it is idle.
func (o *Orderer) drain(ctx context.Context, fence identifier.Fence, order Order) bool {
	term, ok := o.currentTerm(fence)
	if !ok {
		return false
	}
	idle, ok := o.agents.Drain(ctx, order.Target, fence, term.ValidUntil)
	return ok && idle
}

func (s OrderSet) find(id string) (Order, bool) {
	i := slices.IndexFunc(s.Orders, func(o Order) bool { return o.ID == id })
	if i < 0 {
		return Order{}, false
	}
	return s.Orders[i], true
}

// equal reports whether two sets have the same orders and next number. Fence and Seq differ between any two writes and
// are not compared.
func equal(a, b OrderSet) bool {
	return a.Next == b.Next && slices.EqualFunc(a.Orders, b.Orders, func(x, y Order) bool { return x == y })
}

// Targets returns the targets of a region as the planner's input: the listed targets, those whose start is open as
// starting, and those whose stop is open as draining.
func Targets(vms []VM, open []Order, busy func(identifier.Target) int) []placer.Target {
	targets := make([]placer.Target, 0, len(vms)+len(open))
	stopping := make(map[identifier.Target]bool)
	listed := make(map[identifier.Target]bool, len(vms))
	for _, order := range open {
		stopping[order.Target] = stopping[order.Target] || order.Kind == placer.Stop
	}
	for _, vm := range vms {
		listed[vm.Target] = true
		t := placer.Target{ID: vm.Target, Service: vm.Service, Zone: vm.Zone, State: placer.Running, Busy: busy(vm.Target)}
		if vm.Leaving || stopping[vm.Target] {
			t.State = placer.Draining
		}
		targets = append(targets, t)
	}
	for _, order := range open {
		if order.Kind == placer.Start && !listed[order.Target] {
			targets = append(targets, placer.Target{
				ID: identifier.Target(order.ID), Service: order.Service, Zone: order.Zone, State: placer.Starting,
			})
		}
	}
	return targets
}
