package orderer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Outcome is the outcome of sending an order.
type Outcome int

const (
	// Accepted means that the receiver accepted the order.
	Accepted Outcome = iota + 1
	// Rejected means that the platform can't carry the order out.
	Rejected
	// Stale means that the receiver knows a newer fencing number: another process holds the duty.
	Stale
	// Lost means that no response arrived; the receiver may have the order.
	Lost
	// Unsent means that no byte of the order left this process.
	Unsent
)

// VM is a listed target VM.
type VM struct {
	Target  identifier.Target
	Service identifier.Service
	Zone    identifier.Zone
	Leaving bool
}

// Platform starts and stops target VMs.
type Platform interface {
	// Order sends an order and returns the target that was started, if the response names it. It must not send any byte
	// once the monotonic clock has reached deadline.
	Order(ctx context.Context, o Order, fence identifier.Fence, deadline time.Duration) (identifier.Target, Outcome)
	// Find looks up an order by its ID. The last result is false when the platform did not respond.
	Find(ctx context.Context, id string) (t identifier.Target, found, ok bool)
	// List returns the listed target VMs of the region.
	List(ctx context.Context) ([]VM, bool)
}

// Agents calls the agents of targets.
type Agents interface {
	// Drain makes a target accept no new work and reports whether it is idle. The second result is false when the agent
	// did not respond or knows a newer fencing number.
	Drain(ctx context.Context, t identifier.Target, fence identifier.Fence, deadline time.Duration) (idle, ok bool)
	// SendEngineOrder sends an order to the engine of a target. The order is not sent once the monotonic clock has reached
	// deadline.
	SendEngineOrder(ctx context.Context, t identifier.Target, o EngineOrder, deadline time.Duration) Outcome
}

// Store is the subset of the key-value service that orders use.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
}

// Terms returns the current term of a duty.
type Terms interface {
	Term(d identifier.Duty) (leaser.Term, bool)
}

// Event is an event of an order that an operator should know about.
type Event int

const (
	// NotDrained means that a target to be stopped is still busy after the drain time. It is not stopped.
	NotDrained Event = iota + 1
	// NotStarted means that a target did not start, or started and died.
	NotStarted
	// NotAccepted means that the platform refused an order.
	NotAccepted
)
