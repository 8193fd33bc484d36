package rpcclient

import (
	"context"
	"errors"
	"net"
	"net/rpc"

	"github.com/mimosalb/mimosalb/internal/container"
)

// errClosed means that the client was closed.
var errClosed = errors.New("client closed")

// endpoint holds the connection to one address, if there is one, and limits the open calls to that address.
type endpoint struct {
	// slots holds one element per open call.
	slots chan struct{}
	// dialing holds one element while a goroutine sets up a connection.
	dialing chan struct{}
	lock    container.Lock[container.Connection]
	conn    *rpc.Client
	socket  *socket
	// probePending is set while a probe has no reply; missedPeriods counts the probe periods since.
	probePending  bool
	missedPeriods int
	closed        bool
}

func newEndpoint(inFlight int) *endpoint {
	return &endpoint{slots: make(chan struct{}, inFlight), dialing: make(chan struct{}, 1)}
}

// acquire waits for a free slot for one more call. The returned function frees it. The second result is false if ctx
// ends first.
func (e *endpoint) acquire(ctx context.Context) (func(), bool) {
	select {
	case e.slots <- struct{}{}:
		return func() { <-e.slots }, true
	case <-ctx.Done():
		return nil, false
	}
}

// connect returns the connection and sets it up with dial if there is none.
func (e *endpoint) connect(ctx context.Context, dial func(context.Context) (net.Conn, error)) (*rpc.Client, error) {
	if conn := e.current(); conn != nil {
		return conn, nil
	}
	select {
	case e.dialing <- struct{}{}:
		defer func() { <-e.dialing }()
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if conn := e.current(); conn != nil {
		return conn, nil
	}
	raw, err := dial(ctx)
	if err != nil {
		return nil, err
	}
	s := &socket{Conn: raw}
	conn := rpc.NewClient(s)
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.closed {
		_ = s.Close()
		return nil, errClosed
	}
	e.conn, e.socket, e.probePending = conn, s, false
	return conn, nil
}

// current returns the connection; nil if there is none or a read from it has failed.
func (e *endpoint) current() *rpc.Client {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.conn != nil && e.socket.readFailed.Load() {
		e.conn = nil
	}
	return e.conn
}

// close closes the connection and makes connect fail from then on.
func (e *endpoint) close() {
	e.lock.Lock()
	e.closed = true
	e.lock.Unlock()
	e.drop(nil)
}

// drop closes conn if it is still the endpoint's connection; nil closes whichever connection there is.
func (e *endpoint) drop(conn *rpc.Client) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.conn == nil || conn != nil && conn != e.conn {
		return
	}
	e.conn = nil
	_ = e.socket.Close()
}
