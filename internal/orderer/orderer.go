package orderer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/placer"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Settings hold the region and timing of an Orderer.
type Settings struct {
	Region identifier.Region
	// Fenced is set if the platform refuses old fencing numbers. Otherwise no order is sent before Term.Settled.
	Fenced bool
	// Startup and Drain are the times after which a target that has not started or drained is reported; zero means the
	// defaults.
	Startup time.Duration
	Drain   time.Duration
}

const (
	// DefaultStartup is the time after which a started target that is not listed is considered dead.
	DefaultStartup = 10 * time.Minute
	// DefaultDrain is the time after which a draining target that is still busy is reported.
	DefaultDrain = 10 * time.Minute
)

// Orderer carries out the orders of a region while its process holds the duty. It is not safe for concurrent use.
//
// Invariants: an order is stored before it is sent; the content of an order does not change under its ID; nothing is
// sent outside a valid term; a target is stopped only after it has drained.
type Orderer struct {
	settings Settings
	store    Store
	codec    Codec
	platform Platform
	agents   Agents
	terms    Terms
	clock    timer.Service
	notify   func(Event, Order)
}

// NewOrderer returns an Orderer that calls notify for the events that an operator should know about.
func NewOrderer(
	s Settings, store Store, codec Codec, platform Platform, agents Agents, terms Terms, clock timer.Service, notify func(Event, Order),
) *Orderer {
	if s.Startup <= 0 {
		s.Startup = DefaultStartup
	}
	if s.Drain <= 0 {
		s.Drain = DefaultDrain
	}
	return &Orderer{
		settings: s, store: store, codec: codec, platform: platform, agents: agents, terms: terms, clock: clock, notify: notify,
	}
}

// Planner returns the orders to add, given the listed VMs and the open orders.
type Planner func(vms []VM, open []Order) []placer.Order

// storedSet is an order set with the revision at which it was read from the store.
type storedSet struct {
	set     OrderSet
	changed int64
}

// RunRound updates the open orders by observation, adds the orders from plan, and sends those that are due. It reports
// false when it stopped early because the term is not valid or the store or the platform did not respond.
func (o *Orderer) RunRound(ctx context.Context, fence identifier.Fence, plan Planner) bool {
	stored, ok := o.load(ctx)
	if !ok {
		return false
	}
	vms, ok := o.platform.List(ctx)
	if !ok {
		return false
	}
	set := stored.set
	for _, order := range set.Orders {
		order, ok := o.observe(ctx, order, vms)
		if !ok {
			return false
		}
		set = set.WithOrder(order)
	}
	set = set.WithoutEnded()
	for _, planned := range plan(vms, set.Orders) {
		set = set.WithPlanned(planned, fence, o.clock.Now())
	}
	due, set := o.due(ctx, fence, set)
	// The orders are stored as sent before they are sent, so that the next holder of the duty determines their outcome.
	if stored, ok = o.save(ctx, fence, stored, set); !ok {
		return false
	}
	complete := true
	for _, id := range due {
		if set, ok = o.send(ctx, fence, set, id); !ok {
			complete = false
			break
		}
	}
	_, ok = o.save(ctx, fence, stored, set)
	return ok && complete
}

// ReadOrders returns the stored order set.
func (o *Orderer) ReadOrders(ctx context.Context) (OrderSet, bool) {
	stored, ok := o.load(ctx)
	return stored.set, ok
}

func (o *Orderer) load(ctx context.Context) (storedSet, bool) {
	entry, out := o.store.Get(ctx, Key(o.settings.Region))
	if out != storer.Applied {
		return storedSet{}, false
	}
	if entry.Changed == 0 {
		return storedSet{set: OrderSet{Region: o.settings.Region}}, true
	}
	set, err := o.codec.DecodeOrderSet(entry.Value)
	return storedSet{set: set, changed: entry.Changed}, err == nil
}

// save replaces the stored set. It does not write a set without changes.
func (o *Orderer) save(ctx context.Context, fence identifier.Fence, stored storedSet, set OrderSet) (storedSet, bool) {
	if equal(stored.set, set) {
		return stored, true
	}
	if _, ok := o.currentTerm(fence); !ok {
		return stored, false
	}
	set = set.withTerm(fence)
	key := Key(o.settings.Region)
	out := o.store.Commit(ctx, storer.Transaction{}.
		WithGuard(key, stored.changed).WithPut(key, o.codec.EncodeOrderSet(set), 0))
	if out != storer.Applied {
		return stored, false
	}
	next, ok := o.load(ctx)
	return next, ok && next.set.Fence == set.Fence && next.set.Seq == set.Seq
}

// currentTerm returns the current term. It reports false unless the term is valid and has the given fence.
func (o *Orderer) currentTerm(fence identifier.Fence) (leaser.Term, bool) {
	term, ok := o.terms.Term(Duty(o.settings.Region))
	return term, ok && term.Fence == fence
}

// send sends one order and records the outcome. It reports false when no more orders may be sent.
func (o *Orderer) send(ctx context.Context, fence identifier.Fence, set OrderSet, id string) (OrderSet, bool) {
	order, ok := set.find(id)
	if !ok {
		return set, true
	}
	term, ok := o.currentTerm(fence)
	if !ok || !o.settings.Fenced && !term.Settled(o.clock.Monotonic()) {
		return set, false
	}
	target, out := o.platform.Order(ctx, order, fence, term.ValidUntil)
	now := o.clock.Now()
	switch out {
	case Accepted:
		return set.WithOrder(order.WithTarget(target).WithState(Received, now)), true
	case Rejected:
		o.notify(NotAccepted, order)
		return set.WithOrder(order.WithState(Failed, now)), true
	case Lost:
		return set.WithOrder(order.WithState(Unknown, now)), true
	default:
		// The order remains in state Sent; the next round determines its outcome.
		return set, false
	}
}
