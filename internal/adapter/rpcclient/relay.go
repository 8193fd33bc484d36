package rpcclient

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
)

// Sync sends a sync request to the node at address. If no reply arrives, it closes the connection, because the
// connection may never transfer data again.
func (c *Client) Sync(ctx context.Context, address string, q messenger.SyncRequest, timeout time.Duration) (messenger.SyncReply, error) {
	reply, err := call[messenger.SyncReply](ctx, c, address, "Relay.Sync", &q, timeout)
	if err != nil && ctx.Err() == nil {
		c.Drop(address)
	}
	return reply, err
}
