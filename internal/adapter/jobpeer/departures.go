package jobpeer

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/registrar"
)

// Departures takes in which targets leave.
type Departures interface {
	ApplyDepartures(n registrar.DepartureNotices)
}

// Targets is the net/rpc receiver that takes in what answers to other processes said of targets.
type Targets struct {
	departures Departures
}

// Left takes in which targets leave.
func (t *Targets) Left(n registrar.DepartureNotices, received *bool) error {
	t.departures.ApplyDepartures(n)
	*received = true
	return nil
}

// NotifyDepartures tells the process at address which targets leave, and reports whether that process received it.
func (c *Client) NotifyDepartures(ctx context.Context, address string, n registrar.DepartureNotices) bool {
	var received bool
	return c.call(ctx, address, "Targets.Left", n, &received, informTimeout) && received
}
