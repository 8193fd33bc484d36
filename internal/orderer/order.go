// Package orderer carries out the plans for targets. Each order has an ID that makes it safe to repeat and is stored
// before it is sent. If the response to an order is lost, its outcome is determined by observation.
package orderer

import (
	"slices"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/placer"
)

// State is the state of an order.
type State int

const (
	// Planned means that the order was never sent. An order to stop remains planned while its target drains.
	Planned State = iota + 1
	// Sent means that the order may be in transit.
	Sent
	// Unknown means that the response was lost.
	Unknown
	// Received means that the platform has the order.
	Received
	// Done means that the VM list shows the effect of the order.
	Done
	// Failed means that the platform refused the order, or that its target started and died.
	Failed
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"none", "planned", "sent", "unknown", "seen", "done", "failed"}[s]
}

// Order is an order to start or stop one target. It is immutable; the kind, service and zone of an ID never change, nor
// does the target of a stop.
type Order struct {
	ID      string
	Kind    placer.Kind
	Service identifier.Service
	Zone    identifier.Zone
	// Target is the target to stop, or the one that the platform started.
	Target identifier.Target
	Reason string
	State  State
	// Since is the wall clock time at which the order entered its state.
	Since time.Time
	// Reported is set once the operator was notified that the target does not drain.
	Reported bool
}

// WithState returns a copy of o in another state. An order never returns to an earlier state, except from Unknown, and
// an order that has ended does not change.
func (o Order) WithState(state State, now time.Time) Order {
	if o.State >= Done || state < o.State && o.State != Unknown {
		panic("invariant order-state: " + o.ID + " changes from " + o.State.String() + " to " + state.String())
	}
	o.State, o.Since, o.Reported = state, now, false
	return o
}

// WithTarget returns a copy of o with the target that the platform started.
func (o Order) WithTarget(t identifier.Target) Order {
	if o.Kind == placer.Start && t != "" {
		o.Target = t
	}
	return o
}

// WithReported returns a copy of o that is marked as reported to the operator.
func (o Order) WithReported() Order {
	o.Reported = true
	return o
}

// IsOpen reports whether the order has not ended.
func (o Order) IsOpen() bool { return o.State < Done }

// OrderSet is the set of open orders of a region. It is immutable.
type OrderSet struct {
	Region identifier.Region
	// Fence and Seq make each stored set unique.
	Fence identifier.Fence
	Seq   uint64
	// Next is the number of the next order. It never decreases, so that no ID is used twice.
	Next   uint64
	Orders []Order
}

// maxOpenOrders bounds the open orders of a region; a stored order takes less than 400 bytes, and a value holds 1 MB.
const maxOpenOrders = 2000

// WithPlanned returns a copy of s with one more order, planned in the term with the given fence. If s is full, it
// returns s unchanged.
func (s OrderSet) WithPlanned(p placer.Order, fence identifier.Fence, now time.Time) OrderSet {
	if len(s.Orders) >= maxOpenOrders {
		return s
	}
	o := Order{
		ID:   string(s.Region) + "-" + strconv.FormatUint(uint64(fence), 10) + "-" + strconv.FormatUint(s.Next, 10),
		Kind: p.Kind, Service: p.Service, Zone: p.Zone, Target: p.Target, Reason: p.Reason, State: Planned, Since: now,
	}
	s.Next++
	s.Orders = append(slices.Clone(s.Orders), o)
	return s
}

// WithOrder returns a copy of s in which o replaces the order with the same ID.
func (s OrderSet) WithOrder(o Order) OrderSet {
	s.Orders = slices.Clone(s.Orders)
	for i, old := range s.Orders {
		if old.ID == o.ID {
			if old.Kind != o.Kind || old.Service != o.Service || old.Zone != o.Zone || old.Kind == placer.Stop && old.Target != o.Target {
				panic("invariant order-identity: the content of " + o.ID + " must not change")
			}
			s.Orders[i] = o
		}
	}
	return s
}

// WithoutEnded returns a copy of s without the orders that have ended.
func (s OrderSet) WithoutEnded() OrderSet {
	s.Orders = slices.DeleteFunc(slices.Clone(s.Orders), func(o Order) bool { return !o.IsOpen() })
	return s
}

// withTerm returns a copy of s with the given fence and the next sequence number, for the next write.
func (s OrderSet) withTerm(fence identifier.Fence) OrderSet {
	s.Fence = fence
	s.Seq++
	return s
}

// Codec encodes and decodes stored order sets.
type Codec interface {
	EncodeOrderSet(s OrderSet) []byte
	DecodeOrderSet(data []byte) (OrderSet, error)
}

// Key returns the key of the order set of a region.
func Key(r identifier.Region) string { return "/order/" + string(r) }

// Duty returns the duty whose holder orders the targets of a region.
func Duty(r identifier.Region) identifier.Duty { return identifier.Duty("order-" + string(r)) }
