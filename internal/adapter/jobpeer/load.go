package jobpeer

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/conductor"
)

// LoadTaker takes in how many unfinished items other processes lead.
type LoadTaker interface {
	ApplyLoad(n conductor.LoadNotice)
}

// Loads is the net/rpc receiver of the loads of other processes.
type Loads struct {
	taker LoadTaker
}

// Notify takes in the load of another process.
func (l *Loads) Notify(n conductor.LoadNotice, received *bool) error {
	l.taker.ApplyLoad(n)
	*received = true
	return nil
}

// NotifyLoad tells the process at address how many unfinished items this one leads, and reports whether that process received it.
func (c *Client) NotifyLoad(ctx context.Context, address string, n conductor.LoadNotice) bool {
	var received bool
	return c.call(ctx, address, "Loads.Notify", n, &received, informTimeout) && received
}

// jobReceivers returns the receivers of calls for jobs.
func jobReceivers(h Handler) []any {
	all := []any{&Jobs{handler: h}}
	if taker, ok := h.(LoadTaker); ok {
		all = append(all, &Loads{taker: taker})
	}
	return all
}
