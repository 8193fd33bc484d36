package rpcclient

import (
	"context"
	"net"
	"net/rpc"

	"github.com/mimosalb/mimosalb/internal/container"
)

// lane is the way to one address: at most one connection and a bound on open calls.
type lane struct {
	room chan struct{}
	// dialing is held by the one goroutine that sets up a connection.
	dialing chan struct{}
	lock    container.Lock[container.Connection]
	conn    *rpc.Client
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
	conn := rpc.NewClient(raw)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.conn = conn
	return conn, nil
}

func (l *lane) current() *rpc.Client {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.conn
}

// drop closes conn if it is still the lane's connection; nil stands for whichever it is.
func (l *lane) drop(conn *rpc.Client) {
	l.lock.Lock()
	old := l.conn
	if old == nil || conn != nil && conn != old {
		l.lock.Unlock()
		return
	}
	l.conn = nil
	l.lock.Unlock()
	_ = old.Close()
}
