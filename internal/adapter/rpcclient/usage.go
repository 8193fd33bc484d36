package rpcclient

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/meter"
)

// usage implements meter.Agents over net/rpc.
type usage struct {
	client *Client
}

// NewUsage returns a meter.Agents that queries the agents through c.
func NewUsage(c *Client) meter.Agents { return usage{client: c} }

func (u usage) Usage(ctx context.Context, agent string, q meter.Query) (meter.Reply, bool) {
	args := &messenger.UsageRequest{Envelope: messenger.NewEnvelope(ctx, "usage/"+string(q.Owner)), Query: q}
	reply, err := call[messenger.UsageReply](ctx, u.client, agent, "Usage.Query", args, callTimeout)
	return reply.Reply, err == nil
}
