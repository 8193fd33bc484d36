package orderer

import (
	"context"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/placer"
)

// observe settles an order by what the platform and the VM list show. It reports false when the platform did not answer.
func (o *Orderer) observe(ctx context.Context, order Order, vms []VM) (Order, bool) {
	// The answer to an order that was sent again need not name the target that the first one started.
	unnamed := order.State == Seen && order.Target == ""
	if order.State == Sent || order.State == Unknown || unnamed {
		target, found, ok := o.platform.Find(ctx, order.ID)
		if !ok {
			return order, false
		}
		if found {
			order = order.WithTarget(target)
		}
		if found && !unnamed {
			order = order.WithState(Seen, o.clock.Now())
		}
	}
	listed := slices.ContainsFunc(vms, func(vm VM) bool { return vm.Target == order.Target })
	if order.State == Planned && order.Kind == placer.Stop && !listed {
		// The target went by itself while it drained.
		return order.WithState(Done, o.clock.Now()), true
	}
	if order.State != Seen {
		return order, true
	}
	late := o.clock.Now().Sub(order.Since) > o.settings.Startup
	switch {
	case listed == (order.Kind == placer.Start):
		return order.WithState(Done, o.clock.Now()), true
	case order.Kind == placer.Start && late:
		// The target was ordered and is not listed: it started and died, or never came up.
		o.tell(NotStarted, order)
		return order.WithState(Failed, o.clock.Now()), true
	default:
		return order, true
	}
}

// due returns the orders to send now and the book in which they are sent: those that were never seen by the platform,
// and the planned ones. An order to stop is due once its target has drained.
func (o *Orderer) due(ctx context.Context, fence identifier.Fence, book OrderSet) ([]string, OrderSet) {
	var due []string
	for _, order := range book.Orders {
		switch order.State {
		case Sent, Unknown:
			due = append(due, order.ID)
		case Planned:
			if order.Kind == placer.Stop && !o.drained(ctx, fence, order) {
				if !order.Reported && o.clock.Now().Sub(order.Since) > o.settings.Drain {
					o.tell(NotDrained, order)
					book = book.WithOrder(order.WithReported())
				}
				continue
			}
			due = append(due, order.ID)
			book = book.WithOrder(order.WithState(Sent, o.clock.Now()))
		default:
		}
	}
	return due, book
}

// drained tells the target to take no new work and reports whether it is idle.
func (o *Orderer) drained(ctx context.Context, fence identifier.Fence, order Order) bool {
	term, ok := o.valid(fence)
	if !ok {
		return false
	}
	idle, ok := o.agents.Drain(ctx, order.Target, fence, term.ValidUntil)
	return ok && idle
}

func (b OrderSet) find(id string) (Order, bool) {
	i := slices.IndexFunc(b.Orders, func(o Order) bool { return o.ID == id })
	if i < 0 {
		return Order{}, false
	}
	return b.Orders[i], true
}

func equal(a, b OrderSet) bool {
	return a.Next == b.Next && slices.EqualFunc(a.Orders, b.Orders, func(x, y Order) bool { return x == y })
}

// Targets returns the targets of a region as a plan sees them: listed ones, those whose start is open, and those whose
// stop is open as draining.
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
