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

// Delivery tells what happened to a message.
type Delivery int

const (
	// Delivered means that the reply is here.
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
}

// Agents reaches the agents beside the targets.
type Agents interface {
	// Start offers an attempt to the agent of t.
	Start(ctx context.Context, t router.Target, s Start) (gatekeeper.Verdict, Delivery)
	// Read waits for pieces after the first from pieces of an attempt's answer. A false second result means that the
	// agent does not know the attempt.
	Read(ctx context.Context, t router.Target, a identifier.Attempt, from int) (streamer.Chunk, bool, Delivery)
	// Settle asks what became of an attempt and rules it out if it was not admitted. issued is the time in its Start.
	Settle(ctx context.Context, t router.Target, a identifier.Attempt, issued time.Time) (gatekeeper.Settlement, Delivery)
	// Cancel stops an attempt.
	Cancel(ctx context.Context, t router.Target, a identifier.Attempt)
}
