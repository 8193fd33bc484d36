package jobpeer

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/announcer"
)

// PlacementReceiver takes in what other entries that lead jobs have in flight.
type PlacementReceiver interface {
	ApplyNotice(n announcer.Notice)
}

// Placements is the net/rpc receiver that takes in what other entries that lead jobs have in flight.
type Placements struct {
	receiver PlacementReceiver
}

// Tell takes in a notice.
func (p *Placements) Tell(n announcer.Notice, received *bool) error {
	p.receiver.ApplyNotice(n)
	*received = true
	return nil
}

// TellPlacements tells the process at address what this one has in flight, and reports whether that process received it.
func (c *Client) TellPlacements(ctx context.Context, address string, n announcer.Notice) bool {
	var received bool
	return c.call(ctx, address, "Placements.Tell", n, &received, informTimeout) && received
}
