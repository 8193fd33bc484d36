package jobpeer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/attributor"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Origins is the net/rpc receiver that stores and finds the origins of streams on behalf of other processes.
type Origins struct {
	attributor *attributor.Attributor
	clock      timer.Service
}

// FoundOrigin holds the origin of a stream, which is zero if there is none. Read is false if the store can't be read now.
type FoundOrigin struct {
	Read   bool
	Origin attributor.Origin
}

// Save stores origins and reports whether all are durable.
func (o *Origins) Save(all []attributor.Attribution, stored *bool) error {
	*stored = o.attributor.Accept(context.Background(), all)
	return nil
}

// Find returns the origin of a stream.
func (o *Origins) Find(k attributor.Key, reply *FoundOrigin) error {
	ctx, cancel := timer.WithTimeout(context.Background(), o.clock, originTimeout)
	defer cancel()
	reply.Origin, reply.Read = o.attributor.Find(ctx, k)
	return nil
}

// originTimeout limits a call about origins of streams. The process that gets it calls the key-value service.
const originTimeout = 700 * time.Millisecond

// SaveOrigins hands origins to the process at address, and reports whether all are durable.
func (c *Client) SaveOrigins(ctx context.Context, address string, all []attributor.Attribution) bool {
	var stored bool
	return c.call(ctx, address, "Origins.Save", all, &stored, originTimeout) && stored
}

// FindOrigin returns the origin that the process at address has for a stream. It is false if that process can't tell.
func (c *Client) FindOrigin(ctx context.Context, address string, k attributor.Key) (attributor.Origin, bool) {
	var reply FoundOrigin
	replied := c.call(ctx, address, "Origins.Find", k, &reply, originTimeout)
	return reply.Origin, replied && reply.Read
}
