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

// lane is the way to one address: at most one connection and a bound on open calls.
type lane struct {
	room chan struct{}
	// dialing is held by the one goroutine that sets up a connection.
	dialing chan struct{}
	lock    container.Lock[container.Connection]
	conn    *rpc.Client
	wire    *wire
	// probing is set while a probe is open; missed counts the periods since.
	probing bool
	missed  int
	closed  bool
}

func newLane(inFlight int) *lane {
	return &lane{room: make(chan struct{}, inFlight), dialing: make(chan struct{}, 1)}
}

// enter waits for room for one more call. The returned function gives the room back.
func (l *lane) enter(ctx context.Context) (func(), bool) {
	select {
	case l.room <- struct{}{}:
		return func() { <-l.room }, true
	case <-ctx.Done():
		return nil, false
	}
}

// connect returns the connection, which it sets up with dial if there is none.
func (l *lane) connect(ctx context.Context, dial func(context.Context) (net.Conn, error)) (*rpc.Client, error) {
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	raw, err := dial(ctx)
	if err != nil {
		return nil, err
	}
	w := &wire{Conn: raw}
	conn := rpc.NewClient(w)
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.closed {
		_ = w.Close()
		return nil, errClosed
	}
	l.conn, l.wire, l.probing = conn, w, false
	return conn, nil
}

func (l *lane) current() *rpc.Client {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.conn != nil && l.wire.ended.Load() {
		l.conn = nil
	}
	return l.conn
}

// close drops the connection and allows no other.
func (l *lane) close() {
	l.lock.Lock()
	l.closed = true
	l.lock.Unlock()
	l.drop(nil)
}

// drop closes conn if it is still the lane's connection; nil stands for whichever it is.
func (l *lane) drop(conn *rpc.Client) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.conn == nil || conn != nil && conn != l.conn {
		return
	}
	l.conn = nil
	_ = l.wire.Close()
}
