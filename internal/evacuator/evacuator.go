package evacuator

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Order is what the store says about a zone at a revision. It is immutable.
type Order struct {
	Zone identifier.Zone
	// Removed is set if the order for the zone was removed, so that the zone is taken back.
	Removed bool
	// Revision is that of the change in the store; a later change has a higher one.
	Revision int64
}

// Effect is what a change of the orders means for a zone.
type Effect int

const (
	// Evacuated means that nothing more is sent to the targets of the zone.
	Evacuated Effect = iota + 1
	// TakenBack means that the targets of the zone may be used again.
	TakenBack
	// UnknownZone means that an order names a zone that the deployment does not have. It changes nothing.
	UnknownZone
)

// String returns the name of the effect.
func (e Effect) String() string {
	names := [...]string{"none", "evacuated", "taken back", "unknown zone"}
	if e < 0 || int(e) >= len(names) {
		return "invalid"
	}
	return names[e]
}

// Change is the effect of an order on one zone. It is immutable.
type Change struct {
	Zone   identifier.Zone
	Effect Effect
	// Revision is that of the order, or zero if a read of the store did not find the order any more.
	Revision int64
}

// maxUnknown bounds the unknown zones that are kept and reported, because anybody who writes orders can name any number of them.
const maxUnknown = 64

// Evacuator holds the orders that a process knows. The zero value has none, and takes an order for any zone.
//
// Invariants: an order is replaced only by a later one; no order for an unknown zone has an effect; the last known orders stay in force
// while the store is away. Lock rank: container.RankEvacuator.
type Evacuator struct {
	lock container.Lock[container.Evacuator]
	// known are the zones of the deployment; any zone is known while it is nil.
	known map[identifier.Zone]bool
	// awaited is set until the orders have been read for the first time.
	awaited   bool
	evacuated Zones
	// revisions holds the revision of the last order for each known zone, a removal included.
	revisions map[identifier.Zone]int64
	// unknown holds the revisions of the orders for unknown zones that are in the store.
	unknown map[identifier.Zone]int64
}

// NewEvacuator returns an Evacuator for the given zones of a deployment. Every zone counts as evacuated until the orders have been
// read: a process that starts would else send requests to a zone that was evacuated before.
func NewEvacuator(known ...identifier.Zone) *Evacuator {
	e := &Evacuator{known: make(map[identifier.Zone]bool, len(known)), awaited: true}
	for _, z := range known {
		e.known[z] = true
	}
	return e
}

// Evacuated reports whether nothing may be sent to the targets of a zone. A nil Evacuator has no orders.
func (e *Evacuator) Evacuated(z identifier.Zone) bool {
	if e == nil {
		return false
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.awaited || e.evacuated.Contains(z)
}

// Zones returns the zones that are evacuated by an order.
func (e *Evacuator) Zones() Zones {
	if e == nil {
		return Zones{}
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.evacuated
}

// Unknown returns the unknown zones for which there are orders, sorted.
func (e *Evacuator) Unknown() []identifier.Zone {
	if e == nil {
		return nil
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	return slices.Sorted(maps.Keys(e.unknown))
}

// Synced reports whether the orders have been read.
func (e *Evacuator) Synced() bool {
	if e == nil {
		return true
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	return !e.awaited
}

// Replace makes the given orders all that there are, as one read of the store found them, whatever was known before. It returns what
// changed, sorted by zone.
func (e *Evacuator) Replace(orders []Order) []Change {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.awaited = false
	before := e.evacuated
	// A store that was restored from an older copy counts its revisions from a lower one.
	e.revisions = nil
	var changes []Change
	names := make([]identifier.Zone, 0, len(orders))
	for _, o := range orders {
		names = append(names, o.Zone)
		changes = e.apply(changes, o)
	}
	ordered := NewZones(names...)
	for _, z := range before.Names() {
		if !ordered.Contains(z) {
			e.evacuated = e.evacuated.Without(z)
			changes = append(changes, Change{Zone: z, Effect: TakenBack})
		}
	}
	maps.DeleteFunc(e.unknown, func(z identifier.Zone, _ int64) bool { return !ordered.Contains(z) })
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
	return changes
}

// Apply takes in one order, or its removal. It returns what changed: nothing for an order that is repeated or late.
func (e *Evacuator) Apply(o Order) []Change {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.apply(nil, o)
}

// apply adds the change that follows from an order to changes. The caller holds the lock.
func (e *Evacuator) apply(changes []Change, o Order) []Change {
	if e.known != nil && !e.known[o.Zone] {
		return e.applyUnknown(changes, o)
	}
	if last, seen := e.revisions[o.Zone]; seen && (o.Revision < last || o.Revision == last && !o.Removed) {
		return changes
	}
	if e.revisions == nil {
		e.revisions = make(map[identifier.Zone]int64)
	}
	e.revisions[o.Zone] = o.Revision
	switch evacuated := e.evacuated.Contains(o.Zone); {
	case evacuated && o.Removed:
		e.evacuated = e.evacuated.Without(o.Zone)
		return append(changes, Change{Zone: o.Zone, Effect: TakenBack, Revision: o.Revision})
	case !evacuated && !o.Removed:
		e.evacuated = e.evacuated.With(o.Zone)
		return append(changes, Change{Zone: o.Zone, Effect: Evacuated, Revision: o.Revision})
	default:
		return changes
	}
}

// applyUnknown notes an order for a zone that the deployment does not have, or its removal. The caller holds the lock.
func (e *Evacuator) applyUnknown(changes []Change, o Order) []Change {
	if o.Removed {
		delete(e.unknown, o.Zone)
		return changes
	}
	last, seen := e.unknown[o.Zone]
	if seen && o.Revision <= last || !seen && len(e.unknown) >= maxUnknown {
		return changes
	}
	if e.unknown == nil {
		e.unknown = make(map[identifier.Zone]int64)
	}
	e.unknown[o.Zone] = o.Revision
	return append(changes, Change{Zone: o.Zone, Effect: UnknownZone, Revision: o.Revision})
}
