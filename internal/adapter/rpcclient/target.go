package rpcclient

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
)

// engineTimeout limits an order to an engine, which may load weights. It is longer than the minute for which the agent
// waits for the engine, so that the agent's reply still arrives.
const engineTimeout = 70 * time.Second

// Drain makes the agent at address admit no new attempts and reports whether its target is idle. ok is false if the
// agent did not answer or has seen a newer fencing number.
func (c *Client) Drain(ctx context.Context, address string, fence identifier.Fence) (idle, ok bool) {
	return c.drain(ctx, address, messenger.DrainRequest{Fence: fence})
}

// OperatorDrain is Drain on behalf of an operator, without a fencing number.
func (c *Client) OperatorDrain(ctx context.Context, address string) (idle, ok bool) {
	return c.drain(ctx, address, messenger.DrainRequest{Operator: true})
}

func (c *Client) drain(ctx context.Context, address string, args messenger.DrainRequest) (idle, ok bool) {
	args.Envelope = messenger.NewEnvelope(ctx, "drain/"+address)
	reply, err := call[messenger.DrainReply](ctx, c, address, "Target.Drain", &args, callTimeout)
	return reply.Idle, err == nil && !reply.Stale
}

// SendEngineOrder sends an order to the engine of the agent at address.
func (c *Client) SendEngineOrder(ctx context.Context, address string, o orderer.EngineOrder) orderer.Outcome {
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
