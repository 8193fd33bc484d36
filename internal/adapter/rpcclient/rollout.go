package rpcclient

import (
	"context"
	"crypto/rand"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/collector"
)

// owners implements collector.Peers over net/rpc.
type owners struct {
	client *Client
}

// NewOwners returns a collector.Peers that calls the entries that own training runs through c.
func NewOwners(c *Client) collector.Peers { return owners{client: c} }

// forwardMargin is added to the wait of a pull to give the time limit of a forwarded call.
const forwardMargin = 2 * callTimeout

// Forward sends a call to the owner of its run. The reply is lost if the owner takes longer than the wait of the pull
// plus forwardMargin.
func (o owners) Forward(ctx context.Context, address string, c collector.Call) (collector.Reply, bool) {
	args := &messenger.RunRequest{Envelope: messenger.NewEnvelope(ctx, rand.Text()), Call: c}
	reply, err := call[messenger.RunReply](ctx, o.client, address, "Runs.Handle", args, c.Pull.Wait+forwardMargin)
	return reply.Reply, err == nil
}
