package rpcclient

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
)

// Sync asks the node at address. A connection whose reply does not come is closed, since it may have stopped passing
// data for good.
func (c *Client) Sync(ctx context.Context, address string, q messenger.SyncRequest, timeout time.Duration) (messenger.SyncReply, error) {
	reply, err := call[messenger.SyncReply](ctx, c, address, "Relay.Sync", &q, timeout)
	if err != nil && ctx.Err() == nil {
		c.Drop(address)
	}
	return reply, err
}
