package rpcclient

import (
	"context"
	"crypto/rand"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/collector"
)

// owners reaches the owners of training runs over net/rpc.
type owners struct {
	client *Client
}

// NewOwners returns the collector's way to other entries over c.
func NewOwners(c *Client) collector.Peers { return owners{client: c} }

// Forward passes a call on. The reply is lost if the owner takes longer than the pull's own wait and callTimeout.
func (o owners) Forward(ctx context.Context, address string, c collector.Call) (collector.Reply, bool) {
	args := &messenger.RunRequest{Envelope: messenger.NewEnvelope(ctx, rand.Text()), Call: c}
	reply, err := call[messenger.RunReply](ctx, o.client, address, "Runs.Handle", args, c.Pull.Wait+2*callTimeout)
	return reply.Reply, err == nil
}
