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

// platform carries out each identity once, as the real one does, and notes what is wrong about what it gets.
type platform struct {
	clock   *timer.Manual
	fenced  bool
	fence   identifier.Fence
	gate    orderer.FenceGuard
	orders  map[string]orderer.Order
	running map[identifier.Target]string
	busy    map[identifier.Target]bool
	// draining targets may end their work and get no more.
	draining map[identifier.Target]bool
	made     int
	faults   []string
	before   func()
	draw     func() orderer.Outcome
	// hold draws whether a lost order is still on its way; it arrives before its deadline.
	hold func() bool
	held []held
	// stored reports whether an order is stored as sent.
	stored func(orderer.Order) bool
}

// held is an order on its way.
type held struct {
	order    orderer.Order
	fence    identifier.Fence
	deadline time.Duration
}

// arrive delivers the orders on their way that are due, or all of them.
func (p *platform) arrive(all bool) {
	late := p.held[:0:0]
	for _, h := range p.held {
		if all || p.clock.Boot() >= h.deadline {
			p.receive(h.order, h.fence)
		} else {
			late = append(late, h)
		}
	}
	p.held = late
}

// receive checks the fencing number of an order and carries it out.
func (p *platform) receive(o orderer.Order, fence identifier.Fence) (identifier.Target, orderer.Outcome) {
	if fence < p.fence {
		if p.fenced {
			return "", orderer.Stale
		}
		p.faults = append(p.faults, "an old holder's order arrived: "+o.ID)
	}
	p.fence = fence
	if _, known := p.orders[o.ID]; !known && !p.stored(o) {
		p.faults = append(p.faults, "an order arrived that is not stored: "+o.ID)
	}
	return p.take(o), orderer.Accepted
}

func (p *platform) Order(_ context.Context, o orderer.Order, fence identifier.Fence, until time.Duration) (identifier.Target, orderer.Outcome) {
	if p.before != nil {
		p.before()
	}
	if p.clock.Boot() >= until {
		return "", orderer.Unsent
	}
	out := orderer.Accepted
	if p.draw != nil {
		out = p.draw()
	}
	if out == orderer.Unsent {
		return "", out
	}
	p.arrive(false)
	if out == orderer.Lost && p.hold != nil && p.hold() {
		p.held = append(p.held, held{order: o, fence: fence, deadline: until + ttl})
		return "", out
	}
	target, taken := p.receive(o, fence)
	if taken == orderer.Stale {
		return "", taken
	}
	return target, out
}

func (p *platform) take(o orderer.Order) identifier.Target {
	if old, ok := p.orders[o.ID]; ok {
		if old.Kind != o.Kind || old.Zone != o.Zone || old.Service != o.Service || o.Kind == placer.Stop && old.Target != o.Target {
			p.faults = append(p.faults, "two intents under "+o.ID)
		}
		// As with the real platform, the answer to a repeated order does not name the target.
		return ""
	}
	if o.Kind == placer.Start {
		p.made++
		o.Target = identifier.Target(fmt.Sprint("t", p.made))
		p.running[o.Target] = o.ID
	} else {
		if p.busy[o.Target] {
			p.faults = append(p.faults, "a busy target was stopped: "+string(o.Target))
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

// Drain makes the platform the agent of each target too. A draining target takes no new work.
func (p *platform) Drain(_ context.Context, t identifier.Target, _ identifier.Fence, _ time.Duration) (bool, bool) {
	p.draining[t] = true
	return !p.busy[t], true
}

// Engine carries out an order to an engine behind the gate of its agent.
func (p *platform) Engine(_ context.Context, _ identifier.Target, o orderer.EngineOrder, until time.Duration) orderer.Outcome {
	switch {
	case p.clock.Boot() >= until:
		return orderer.Unsent
	case !p.gate.Admit(o.Fence):
		return orderer.Stale
	default:
		return orderer.Accepted
	}
}
