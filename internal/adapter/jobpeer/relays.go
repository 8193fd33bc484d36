package jobpeer

import (
	"context"
	"errors"
	"net"
	"net/rpc"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/relayer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Relays is the net/rpc receiver that makes calls to the key-value service for processes that do not reach it.
type Relays struct {
	executor *relayer.Executor
}

// Reserve reserves memory for a large call.
func (r *Relays) Reserve(size identifier.Bytes, ticket *int64) error {
	*ticket = r.executor.Reserve(size)
	return nil
}

// Execute makes a call.
func (r *Relays) Execute(q relayer.Question, a *relayer.Answer) error {
	*a = r.executor.Execute(context.Background(), q)
	return nil
}

// RelayClient is a relayer.Messenger. Its connections are its own, so that large transactions do not hold up other messages.
type RelayClient struct {
	dial  Dial
	clock timer.Service
	log   *logger.Logger
	conns container.Table[container.Connection, string, *relayConnection]
}

// relayConnection is a connection with its net/rpc client. Only raw is closed: a client that was closed would report calls that it has
// sent with the same error as those that it has not.
//
// Invariant: the connection is closed only after its last call has ended, since a write whose connection is closed has an unknown
// outcome. Lock rank: container.RankConnection.
type relayConnection struct {
	raw    net.Conn
	client *rpc.Client
	lock   container.Lock[container.Connection]
	calls  int
	// retired is set when no further call is to be sent on the connection.
	retired bool
}

// enter begins a call and reports whether the connection may be used.
func (c *relayConnection) enter() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.retired {
		c.calls++
	}
	return !c.retired
}

// leave ends a call.
func (c *relayConnection) leave(retire bool) {
	c.lock.Lock()
	c.calls--
	c.retired = c.retired || retire
	unused := c.retired && c.calls == 0
	c.lock.Unlock()
	if unused {
		_ = c.raw.Close() // no call waits on it
	}
}

// call makes one call. If ctx ends while the arguments are being sent, the connection is closed, as the process does not read them.
func (c *relayConnection) call(ctx context.Context, method string, args, reply any) error {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	call := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	stop()
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// NewRelayClient returns a RelayClient that opens connections with dial.
func NewRelayClient(dial Dial, clock timer.Service, log *logger.Logger) *RelayClient {
	return &RelayClient{dial: dial, clock: clock, log: log}
}

// Reserve asks the process at address to reserve memory for a large call; the ticket is zero if it does not.
func (c *RelayClient) Reserve(ctx context.Context, address string, size identifier.Bytes) int64 {
	var ticket int64
	if c.send(ctx, address, "Relays.Reserve", size, &ticket) != relayer.Delivered {
		return 0
	}
	return ticket
}

// Execute asks the process at address to make a call. The question is sent at most once.
func (c *RelayClient) Execute(ctx context.Context, address string, q relayer.Question) (relayer.Answer, relayer.Delivery) {
	var a relayer.Answer
	delivery := c.send(ctx, address, "Relays.Execute", q, &a)
	if delivery != relayer.Delivered {
		return relayer.Answer{}, delivery
	}
	return a, delivery
}

// send makes one call. A kept connection may have ended since; a question that was not sent on it is sent on a new one.
func (c *RelayClient) send(ctx context.Context, address, method string, args, reply any) relayer.Delivery {
	for {
		conn, kept, err := c.connection(ctx, address)
		if err != nil {
			c.log.Emit(logger.PeerFailed, "address", address, "call", method, "error", err)
			return relayer.Undelivered
		}
		err = conn.call(ctx, method, args, reply)
		var refused rpc.ServerError
		switch {
		case err == nil:
			conn.leave(false)
			return relayer.Delivered
		case errors.As(err, &refused):
			// A process of an earlier release does not know the call.
			conn.leave(false)
			return relayer.Undelivered
		case errors.Is(err, context.Canceled):
			// The asker has its answer from elsewhere. The connection carries other calls.
			conn.leave(false)
			return relayer.Lost
		}
		c.conns.Update(address, func(old *relayConnection, ok bool) (*relayConnection, bool) { return old, ok && old != conn })
		conn.leave(true)
		unsent := errors.Is(err, rpc.ErrShutdown)
		if unsent && kept && ctx.Err() == nil {
			continue
		}
		c.log.Emit(logger.PeerFailed, "address", address, "call", method, "error", err)
		if unsent {
			return relayer.Undelivered
		}
		return relayer.Lost
	}
}

// connection returns the kept connection to address, or opens one. The caller must call leave once.
func (c *RelayClient) connection(ctx context.Context, address string) (conn *relayConnection, kept bool, err error) {
	if conn, ok := c.conns.Get(address); ok && conn.enter() {
		return conn, true, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	opened := &relayConnection{raw: raw, client: rpc.NewClient(raw), calls: 1}
	if present, added := c.conns.PutAbsent(address, opened); !added && present.enter() {
		_ = raw.Close() // a concurrent call has opened a connection first
		return present, false, nil
	} else if !added {
		opened.retired = true // it serves this call only
	}
	return opened, false, nil
}
