// Package rpcclient calls the system's own processes over net/rpc. It keeps one connection per address, probes it and
// replaces it when it no longer answers.
package rpcclient

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/timer"
)

var (
	// ErrUnsent means that no byte of the call left this process.
	ErrUnsent = errors.New("call not sent")
	// ErrLost means that the call may have been executed but its reply did not arrive.
	ErrLost = errors.New("reply lost")
	// errExcluded means that the gate of a call did not allow it any more.
	errExcluded = errors.New("the target is excluded by now")
	// ErrMismatch means that a reply had the ID of another call. The connection was closed.
	ErrMismatch = errors.New("reply has the ID of another call")
)

const (
	// dialTimeout limits the set-up of a connection, including the TLS handshake.
	dialTimeout = 2 * time.Second
	// DefaultInFlight limits the calls to one address that wait for their reply.
	DefaultInFlight = 1024
)

// Identified is a message that carries the ID of its call.
type Identified interface {
	// Identity returns the ID, which is the same in a request and its reply.
	Identity() string
}

// Client calls other processes by address.
type Client struct {
	clock     timer.Service
	tls       *tls.Config
	inFlight  int
	dialer    func(ctx context.Context, address string) (net.Conn, error)
	endpoints container.Table[container.Connection, string, *endpoint]
	stop      chan struct{}
	tasks     sync.WaitGroup
}

// Option sets a property of a Client.
type Option func(*Client)

// WithTLS connects over TLS. Without it the client speaks plain text.
func WithTLS(c *tls.Config) Option { return func(cl *Client) { cl.tls = c } }

// WithDialer sets up connections with dial instead of TCP.
func WithDialer(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(cl *Client) { cl.dialer = dial }
}

// NewClient returns a Client without connections and starts its probes. The caller must call Close.
func NewClient(clock timer.Service, opts ...Option) *Client {
	c := &Client{clock: clock, inFlight: DefaultInFlight, stop: make(chan struct{})}
	for _, o := range opts {
		o(c)
	}
	c.tasks.Go(c.runProbes)
	return c
}

// Call calls method at address and waits for the reply until ctx ends or timeout has passed. The error wraps
// ErrUnsent, ErrLost or ErrMismatch, or is the error that the method returned.
func (c *Client) Call(ctx context.Context, address, method string, args Identified, reply Identified, timeout time.Duration) error {
	return c.callGated(ctx, address, method, args, reply, timeout, func() bool { return true })
}

// callGated is Call with a gate that is asked once the connection is open and before any byte of the call is written. The call ends unsent
// if the gate does not allow it.
func (c *Client) callGated(
	ctx context.Context, address, method string, args, reply Identified, timeout time.Duration, gate func() bool,
) error {
	e, _ := c.endpoints.PutAbsent(address, newEndpoint(c.inFlight))
	release, ok := e.acquire(ctx)
	if !ok {
		return fmt.Errorf("call %s: %w: %w", method, ErrUnsent, ctx.Err())
	}
	defer release()
	conn, err := e.connect(ctx, func(ctx context.Context) (net.Conn, error) { return c.dial(ctx, address) })
	if err != nil {
		return fmt.Errorf("call %s: %w: %w", method, ErrUnsent, err)
	}
	if !gate() {
		return fmt.Errorf("call %s: %w: %w", method, ErrUnsent, errExcluded)
	}
	return c.exchange(ctx, e, conn, method, args, reply, timeout)
}

// Drop closes the connection to address; its open calls fail with ErrLost.
func (c *Client) Drop(address string) {
	if e, ok := c.endpoints.Get(address); ok {
		e.drop(nil)
	}
}

// Close closes all connections and ends the probes. It must be called once.
func (c *Client) Close() {
	close(c.stop)
	for _, e := range c.endpoints.Values() {
		e.close()
	}
	c.tasks.Wait()
}

// exchange makes one call on conn and checks the ID of the reply. It drops conn if the connection fails or the ID is
// that of another call.
func (c *Client) exchange(ctx context.Context, e *endpoint, conn *rpc.Client, method string, args, reply Identified, timeout time.Duration) error {
	expiry := c.clock.After(timeout)
	defer expiry.Stop()
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return fmt.Errorf("call %s: %w: %w", method, ErrLost, ctx.Err())
	case <-expiry.C():
		return fmt.Errorf("call %s: %w: no reply in %v", method, ErrLost, timeout)
	}
	var remote rpc.ServerError
	switch {
	case call.Error == nil:
	case errors.As(call.Error, &remote):
		return fmt.Errorf("call %s: %w", method, call.Error)
	default:
		e.drop(conn)
		return fmt.Errorf("call %s: %w: %w", method, ErrLost, call.Error)
	}
	if reply.Identity() != args.Identity() {
		e.drop(conn)
		return fmt.Errorf("call %s: %w", method, ErrMismatch)
	}
	return nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := timer.WithTimeout(ctx, c.clock, dialTimeout)
	defer cancel()
	if c.dialer != nil {
		return c.dialer(ctx, address)
	}
	if c.tls == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		return conn, nil
	}
	conn, err := (&tls.Dialer{Config: c.tls}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}
