package rpcclient

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
)

// engineTimeout bounds an order to an engine, which may load weights.
const engineTimeout = 70 * time.Second

// Drain makes the target of the agent at address take no new work and reports whether it is idle. The second result is
// false when the agent did not answer or knows a newer fencing number.
func (c *Client) Drain(ctx context.Context, address string, fence identifier.Fence) (idle, ok bool) {
	return c.drain(ctx, address, messenger.DrainRequest{Fence: fence})
}

// OperatorDrain makes the target of the agent at address take no new work on behalf of an operator.
func (c *Client) OperatorDrain(ctx context.Context, address string) (idle, ok bool) {
	return c.drain(ctx, address, messenger.DrainRequest{Operator: true})
}

func (c *Client) drain(ctx context.Context, address string, args messenger.DrainRequest) (idle, ok bool) {
	args.Envelope = messenger.NewEnvelope(ctx, "drain/"+address)
	reply, err := call[messenger.DrainReply](ctx, c, address, "Target.Drain", &args, callTimeout)
	return reply.Idle, err == nil && !reply.Stale
}

// Engine sends an order to the engine of the agent at address.
func (c *Client) Engine(ctx context.Context, address string, o orderer.EngineOrder) orderer.Outcome {
	args := &messenger.EngineRequest{Envelope: messenger.NewEnvelope(ctx, "engine/"+address), Order: o}
	reply, err := call[messenger.EngineReply](ctx, c, address, "Target.Engine", args, engineTimeout)
	switch {
	case err == nil:
		return reply.Outcome
	case errors.Is(err, ErrUnsent):
		return orderer.Unsent
	default:
		return orderer.Lost
	}
}
