package rpcclient

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

const (
	// callTimeout limits calls that the agent answers without waiting.
	callTimeout = 2 * time.Second
	// readWait is how long an agent may wait for the next piece of an answer.
	readWait = 5 * time.Second
)

// agents implements dispatcher.Agents over net/rpc.
type agents struct {
	client *Client
	gate   StartGate
}

// StartGate reports whether a call may still be sent to a target. A document may have been adopted while it waited for its connection.
type StartGate func(t router.Target) bool

// NewAgents returns a dispatcher.Agents that calls the agents through c and asks gate, and
// Start.Permitted if it is set, on the open connection before it sends a call to a target.
func NewAgents(c *Client, gate StartGate) dispatcher.Agents { return agents{client: c, gate: gate} }

func (a agents) Start(ctx context.Context, t router.Target, s dispatcher.Start) (gatekeeper.Verdict, dispatcher.Delivery) {
	args := &messenger.StartRequest{
		Envelope:    messenger.NewEnvelope(ctx, s.Attempt.String()),
		Attempt:     s.Attempt,
		Incarnation: t.Incarnation,
		Issued:      s.Issued,
		Timeout:     s.Timeout,
		Call:        s.Call,
	}
	var reply messenger.StartReply
	err := a.client.callGated(ctx, t.Address, "Agent.Start", args, &reply, callTimeout, func() bool {
		return a.gate(t) && (s.Permitted == nil || s.Permitted())
	})
	if err != nil {
		// net/rpc may still write to the reply.
		return 0, delivery(err)
	}
	return reply.Verdict, delivery(nil)
}

func (a agents) Read(ctx context.Context, t router.Target, id identifier.Attempt, from int) (streamer.Chunk, bool, dispatcher.Delivery) {
	args := &messenger.ReadRequest{
		Envelope:    messenger.NewEnvelope(ctx, id.String()),
		Attempt:     id,
		Incarnation: t.Incarnation,
		From:        from,
		Wait:        readWait,
	}
	reply, err := call[messenger.ReadReply](ctx, a.client, t.Address, "Agent.Read", args, readWait+callTimeout)
	return reply.Chunk, reply.Known, delivery(err)
}

func (a agents) Settle(
	ctx context.Context, t router.Target, id identifier.Attempt, issued time.Time,
) (gatekeeper.Settlement, dispatcher.Delivery) {
	args := &messenger.SettleRequest{
		Envelope:    messenger.NewEnvelope(ctx, id.String()),
		Attempt:     id,
		Incarnation: t.Incarnation,
		Issued:      issued,
	}
	reply, err := call[messenger.SettleReply](ctx, a.client, t.Address, "Agent.Settle", args, callTimeout)
	return reply.Settlement, delivery(err)
}

func (a agents) Cancel(ctx context.Context, t router.Target, id identifier.Attempt) {
	args := &messenger.CancelRequest{Envelope: messenger.NewEnvelope(ctx, id.String()), Attempt: id}
	// An attempt whose cancellation is lost ends at its own deadline.
	_, _ = call[messenger.CancelReply](ctx, a.client, t.Address, "Agent.Cancel", args, callTimeout)
}

// Report returns the report of the agent at address. The call also serves as a probe: if it fails, the connection is
// closed.
func (c *Client) Report(ctx context.Context, address string) (messenger.ReportReply, error) {
	args := &messenger.ReportRequest{Envelope: messenger.NewEnvelope(ctx, address)}
	reply, err := call[messenger.ReportReply](ctx, c, address, "Agent.Report", args, callTimeout)
	if err != nil {
		c.Drop(address)
	}
	return reply, err
}

// call calls a method and returns its reply. After an error it returns a zero reply, because net/rpc may still write to
// the reply that was passed to it.
func call[R any, P interface {
	*R
	Identified
}](ctx context.Context, c *Client, address, method string, args Identified, timeout time.Duration) (R, error) {
	reply := P(new(R))
	if err := c.Call(ctx, address, method, args, reply, timeout); err != nil {
		var none R
		return none, err
	}
	return *reply, nil
}

// delivery returns whether a call that ended with err reached the agent.
func delivery(err error) dispatcher.Delivery {
	switch {
	case err == nil:
		return dispatcher.Delivered
	case errors.Is(err, ErrUnsent):
		return dispatcher.Unsent
	default:
		return dispatcher.DeliveryUnknown
	}
}
