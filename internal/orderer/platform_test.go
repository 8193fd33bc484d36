package orderer_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/placer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// platform carries out each order ID once, as the real platform does, and records violations of the invariants.
type platform struct {
	clock   *timer.Manual
	fenced  bool
	fence   identifier.Fence
	guard   orderer.FenceGuard
	orders  map[string]orderer.Order
	running map[identifier.Target]string
	busy    map[identifier.Target]bool
	// draining targets may finish their work and get no new work.
	draining    map[identifier.Target]bool
	started     int
	violations  []string
	beforeSend  func()
	drawOutcome func() orderer.Outcome
	// delayOrder draws whether an order with a lost response is still in transit; it arrives by its deadline.
	delayOrder func() bool
	inTransit  []sentOrder
	// stored reports whether an order is stored as sent.
	stored func(orderer.Order) bool
}

// sentOrder is an order in transit.
type sentOrder struct {
	order    orderer.Order
	fence    identifier.Fence
	deadline time.Duration
}

// arrive delivers the orders in transit whose deadline has passed, or all of them.
func (p *platform) arrive(all bool) {
	late := p.inTransit[:0:0]
	for _, s := range p.inTransit {
		if all || p.clock.Monotonic() >= s.deadline {
			p.receive(s.order, s.fence)
		} else {
			late = append(late, s)
		}
	}
	p.inTransit = late
}

// receive checks the fencing number of an order and carries it out.
func (p *platform) receive(o orderer.Order, fence identifier.Fence) (identifier.Target, orderer.Outcome) {
	if fence < p.fence {
		if p.fenced {
			return "", orderer.Stale
		}
		p.violations = append(p.violations, "order with an old fencing number arrived: "+o.ID)
	}
	p.fence = fence
	if _, known := p.orders[o.ID]; !known && !p.stored(o) {
		p.violations = append(p.violations, "order arrived that is not stored as sent: "+o.ID)
	}
	return p.execute(o), orderer.Accepted
}

func (p *platform) Order(_ context.Context, o orderer.Order, fence identifier.Fence, deadline time.Duration) (identifier.Target, orderer.Outcome) {
	if p.beforeSend != nil {
		p.beforeSend()
	}
	if p.clock.Monotonic() >= deadline {
		return "", orderer.Unsent
	}
	out := orderer.Accepted
	if p.drawOutcome != nil {
		out = p.drawOutcome()
	}
	if out == orderer.Unsent {
		return "", out
	}
	p.arrive(false)
	if out == orderer.Lost && p.delayOrder != nil && p.delayOrder() {
		p.inTransit = append(p.inTransit, sentOrder{order: o, fence: fence, deadline: deadline + ttl})
		return "", out
	}
	target, received := p.receive(o, fence)
	if received == orderer.Stale {
		return "", received
	}
	return target, out
}

func (p *platform) execute(o orderer.Order) identifier.Target {
	if old, ok := p.orders[o.ID]; ok {
		if old.Kind != o.Kind || old.Zone != o.Zone || old.Service != o.Service || o.Kind == placer.Stop && old.Target != o.Target {
			p.violations = append(p.violations, "content changed of order "+o.ID)
		}
		// As with the real platform, the answer to a repeated order does not name the target.
		return ""
	}
	if o.Kind == placer.Start {
		p.started++
		o.Target = identifier.Target(fmt.Sprint("t", p.started))
		p.running[o.Target] = o.ID
	} else {
		if p.busy[o.Target] {
			p.violations = append(p.violations, "busy target was stopped: "+string(o.Target))
		}
		delete(p.running, o.Target)
	}
	p.orders[o.ID] = o
	return o.Target
}

func (p *platform) Find(_ context.Context, id string) (identifier.Target, bool, bool) {
	o, found := p.orders[id]
	return o.Target, found, true
}

func (p *platform) List(context.Context) ([]orderer.VM, bool) {
	vms := make([]orderer.VM, 0, len(p.running))
	for _, t := range slices.Sorted(maps.Keys(p.running)) {
		vms = append(vms, orderer.VM{Target: t, Service: "matcher", Zone: "macon"})
	}
	return vms, true
}

// Drain implements orderer.Agents for every target. A draining target accepts no new work.
func (p *platform) Drain(_ context.Context, t identifier.Target, _ identifier.Fence, _ time.Duration) (bool, bool) {
	p.draining[t] = true
	return !p.busy[t], true
}

// SendEngineOrder carries out an order to an engine if the agent's fence guard admits it.
func (p *platform) SendEngineOrder(_ context.Context, _ identifier.Target, o orderer.EngineOrder, deadline time.Duration) orderer.Outcome {
	switch {
	case p.clock.Monotonic() >= deadline:
		return orderer.Unsent
	case !p.guard.Admit(o.Fence):
		return orderer.Stale
	default:
		return orderer.Accepted
	}
}
