package rpcclient

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/isolator"
)

// Exchanger exchanges crash evidence with other entries over net/rpc.
type Exchanger struct {
	client *Client
}

// NewExchanger returns an Exchanger that calls other entries through c.
func NewExchanger(c *Client) Exchanger { return Exchanger{client: c} }

// Exchange sends evidence to the entry at address and returns the evidence of that entry.
func (x Exchanger) Exchange(ctx context.Context, address string, e isolator.Evidence) (isolator.Evidence, error) {
	args := &messenger.EvidenceMessage{Envelope: messenger.NewEnvelope(ctx, address), Evidence: e}
	reply, err := call[messenger.EvidenceMessage](ctx, x.client, address, "Evidence.Exchange", args, callTimeout)
	return reply.Evidence, err
}
