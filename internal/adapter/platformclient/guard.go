package platformclient

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// guardedConn is a connection that refuses writes once the monotonic clock has reached deadline.
type guardedConn struct {
	net.Conn

	clock      timer.Service
	deadline   time.Duration
	hasWritten atomic.Bool
}

func newGuardedConn(conn net.Conn, clock timer.Service, deadline time.Duration) (*guardedConn, error) {
	// The deadline ends a blocked write. The check in Write also covers time during which the system was suspended.
	if err := conn.SetWriteDeadline(time.Now().Add(deadline - clock.Monotonic())); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("set write deadline: %w", err)
	}
	return &guardedConn{Conn: conn, clock: clock, deadline: deadline}, nil
}

// Write writes b to the connection, or returns errTermEnded when the term has ended.
func (g *guardedConn) Write(b []byte) (int, error) {
	if g.clock.Monotonic() >= g.deadline {
		return 0, errTermEnded
	}
	g.hasWritten.Store(true)
	return g.Conn.Write(b) //nolint:wrapcheck // net/http compares the connection's errors
}
