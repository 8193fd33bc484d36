package orderer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Outcome is how sending an order came out.
type Outcome int

const (
	// Accepted means that the platform has the order.
	Accepted Outcome = iota + 1
	// Rejected means that the platform can't carry the order out.
	Rejected
	// Stale means that the receiver knows a newer fencing number: another process holds the duty.
	Stale
	// Lost means that the order may have arrived.
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

// Platform takes orders.
type Platform interface {
	// Order sends an order. No byte may leave once the boot clock has reached until.
	Order(ctx context.Context, o Order, fence identifier.Fence, until time.Duration) (identifier.Target, Outcome)
	// Find looks up an order by its identity. The last result is false when the platform did not answer.
	Find(ctx context.Context, id string) (t identifier.Target, found, ok bool)
	// List returns the listed target VMs of the region.
	List(ctx context.Context) ([]VM, bool)
}

// Agents reaches the agents beside the targets.
type Agents interface {
	// Drain makes a target take no new work and reports whether it is idle. The second result is false when the agent
	// did not answer or knows a newer fencing number.
	Drain(ctx context.Context, t identifier.Target, fence identifier.Fence, until time.Duration) (idle, ok bool)
}

// Store is the part of the key-value service that orders use.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
}

// Terms gives the present term of a duty.
type Terms interface {
	Term(d identifier.Duty) (leaser.Term, bool)
}

// Event is something that an operator should know about an order.
type Event int

const (
	// NotDrained means that a target to be stopped is still busy after the drain time. It is not stopped.
	NotDrained Event = iota + 1
	// NotStarted means that a target did not come up, or came up and died.
	NotStarted
	// NotAccepted means that the platform refused an order.
	NotAccepted
)
