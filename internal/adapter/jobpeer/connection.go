package jobpeer

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
)

// callOnce makes one call on the connection to address and closes the connection if the call fails, unless the process answered that it does not
// know the call: one of an earlier release does, and other calls wait on the connection.
func (c *Client) callOnce(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	var refused rpc.ServerError
	if err != nil && !errors.As(err, &refused) {
		c.drop(address, conn)
	}
	return err
}

// conn returns the kept connection to address, or opens one.
func (c *Client) conn(ctx context.Context, address string) (*rpc.Client, error) {
	if conn, ok := c.conns.Get(address); ok {
		return conn, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	conn := rpc.NewClient(raw)
	kept, added := c.conns.PutAbsent(address, conn)
	if !added {
		_ = conn.Close() // a concurrent call has opened a connection first
	}
	return kept, nil
}

// drop closes a connection that failed or did not reply in time. Other calls on it fail, and their callers read from
// the store instead.
func (c *Client) drop(address string, conn *rpc.Client) {
	c.conns.Update(address, func(old *rpc.Client, ok bool) (*rpc.Client, bool) { return old, ok && old != conn })
	_ = conn.Close() // nothing more is sent on it
}
