// Package orderer carries out the plans for targets: each order has an identity that makes it safe to send again, is
// stored before it is sent, and is settled by observation when its answer is lost.
package orderer

import (
	"slices"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/placer"
)

// State is how far an order has come.
type State int

const (
	// Planned means that the order was never sent. An order to stop stays planned while its target drains.
	Planned State = iota + 1
	// Sent means that the order may be on its way.
	Sent
	// Unknown means that the answer was lost.
	Unknown
	// Seen means that the platform has the order.
	Seen
	// Done means that the VM list shows the effect.
	Done
	// Failed means that the platform refused the order, or that its target started and died.
	Failed
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"none", "planned", "sent", "unknown", "seen", "done", "failed"}[s]
}

// Order is one start or stop of a target. It is immutable; the intent under an ID never changes.
type Order struct {
	ID      string
	Kind    placer.Kind
	Service identifier.Service
	Zone    identifier.Zone
	// Target is the target to stop, or the one that the platform started.
	Target identifier.Target
	Reason string
	State  State
	// Since is the wall clock time at which the order got its state.
	Since time.Time
	// Reported is set once the operator was told that the target does not drain or does not start.
	Reported bool
}

// WithState returns a copy of o in another state. Only an unsent order is planned, and an ended one stays as it is.
func (o Order) WithState(s State, now time.Time) Order {
	if o.State >= Done || s < o.State && o.State != Unknown {
		panic("invariant order-state: " + o.ID + " goes from " + o.State.String() + " to " + s.String())
	}
	o.State, o.Since, o.Reported = s, now, false
	return o
}

// WithTarget returns a copy of o with the target that the platform started.
func (o Order) WithTarget(t identifier.Target) Order {
	if o.Kind == placer.Start && t != "" {
		o.Target = t
	}
	return o
}

// WithReported returns a copy of o about which the operator was told.
func (o Order) WithReported() Order {
	o.Reported = true
	return o
}

// Open reports whether the order has not ended.
func (o Order) Open() bool { return o.State < Done }

// OrderSet holds the open orders of a region. It is immutable.
type OrderSet struct {
	Region identifier.Region
	// Fence and Seq make each stored book unlike any other.
	Fence identifier.Fence
	Seq   uint64
	// Next numbers the next order. It only rises, so that no identity is used twice.
	Next   uint64
	Orders []Order
}

// bookLimit bounds the open orders of a region; a stored order takes less than 400 bytes, and a value holds 1 MB.
const bookLimit = 2000

// WithPlanned returns a copy of b with one more order in the term with the given number. A full book stays as it is.
func (b OrderSet) WithPlanned(p placer.Order, fence identifier.Fence, now time.Time) OrderSet {
	if len(b.Orders) >= bookLimit {
		return b
	}
	o := Order{
		ID:   string(b.Region) + "-" + strconv.FormatUint(uint64(fence), 10) + "-" + strconv.FormatUint(b.Next, 10),
		Kind: p.Kind, Service: p.Service, Zone: p.Zone, Target: p.Target, Reason: p.Reason, State: Planned, Since: now,
	}
	b.Next++
	b.Orders = append(slices.Clone(b.Orders), o)
	return b
}

// WithOrder returns a copy of b in which o replaces the order of its identity.
func (b OrderSet) WithOrder(o Order) OrderSet {
	b.Orders = slices.Clone(b.Orders)
	for i, old := range b.Orders {
		if old.ID == o.ID {
			if old.Kind != o.Kind || old.Service != o.Service || old.Zone != o.Zone || old.Kind == placer.Stop && old.Target != o.Target {
				panic("invariant order-identity: the intent of " + o.ID + " does not change")
			}
			b.Orders[i] = o
		}
	}
	return b
}

// WithoutEnded returns a copy of b without the orders that have ended.
func (b OrderSet) WithoutEnded() OrderSet {
	b.Orders = slices.DeleteFunc(slices.Clone(b.Orders), func(o Order) bool { return !o.Open() })
	return b
}

// withTerm returns a copy of b as it is stored next in the term with the given number.
func (b OrderSet) withTerm(fence identifier.Fence) OrderSet {
	b.Fence = fence
	b.Seq++
	return b
}

// Form is the stored form of a book.
type Form interface {
	EncodeOrderSet(b OrderSet) []byte
	DecodeOrderSet(data []byte) (OrderSet, error)
}

// Key returns the key of the book of a region.
func Key(r identifier.Region) string { return "/order/" + string(r) }

// Duty returns the duty whose holder orders the targets of a region.
func Duty(r identifier.Region) identifier.Duty { return identifier.Duty("order-" + string(r)) }
