package dispatcher

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// Delivery says whether a message to an agent was delivered.
type Delivery int

const (
	// Delivered means that the reply arrived.
	Delivered Delivery = iota
	// Unsent means that no byte of the message left this process.
	Unsent
	// DeliveryUnknown means that the message may have arrived.
	DeliveryUnknown
)

// Start is the message that offers an attempt to the agent of a target.
type Start struct {
	Attempt identifier.Attempt
	Issued  time.Time
	Timeout time.Duration
	Call    executor.Call
	// Permitted reports whether the target may still get the call; nil means that it may. It is asked once the target can be reached.
	Permitted func() bool
}

// Agents sends messages to the agents of targets.
type Agents interface {
	// Start offers an attempt to the agent of t. It sends nothing if the attempt is no longer permitted once t can be reached.
	Start(ctx context.Context, t router.Target, s Start) (gatekeeper.Verdict, Delivery)
	// Read waits for the pieces of an attempt's answer from index from on. The second result is false when the agent
	// does not know the attempt.
	Read(ctx context.Context, t router.Target, a identifier.Attempt, from int) (streamer.Chunk, bool, Delivery)
	// Settle asks for the state of an attempt and rules it out if it was not admitted. issued is the time in its Start.
	Settle(ctx context.Context, t router.Target, a identifier.Attempt, issued time.Time) (gatekeeper.Settlement, Delivery)
	// Cancel stops an attempt.
	Cancel(ctx context.Context, t router.Target, a identifier.Attempt)
}
