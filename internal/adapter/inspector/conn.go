package inspector

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection of an HTTP client. A read returns io.EOF only if the peer has ended the connection in order, and no line of a
// response head that begins with a blank is passed on.
//
// The kernel reports a broken connection to one system call only. If that is the write of a request, the next read returns io.EOF, and a
// response that lasts until the end of the connection would pass for complete.
type Conn struct {
	net.Conn

	// writes is held for reading by each write in progress.
	writes sync.RWMutex
	// broken is the error of a write that found the connection broken.
	broken atomic.Pointer[error]
	head   head
}

// NewConn returns a Conn over raw.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// BeginResponse makes the connection check the head of the next response. Without it, as below TLS, heads are not checked.
func (c *Conn) BeginResponse() { c.head.begin() }

// Write writes p.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes.RLock()
	defer c.writes.RUnlock()
	n, err := c.Conn.Write(p)
	if breaksConnection(err) {
		c.broken.CompareAndSwap(nil, &err)
	}
	return n, err //nolint:wrapcheck // net/http inspects the error
}

// breaksConnection reports whether the error of a write is that of a connection that broke. EPIPE is not: the peer has ended the
// connection in order before, or another call has got the error.
func breaksConnection(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	if invalid := c.head.check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// pastTime is a deadline that has passed.
var pastTime = time.Unix(1, 0)

// end returns how the connection ended: io.EOF if the peer ended it in order. It ends a write in progress, which may have got the error
// of the connection and not recorded it yet; net/http closes a connection that has ended.
func (c *Conn) end() error {
	_ = c.SetWriteDeadline(pastTime) // fails only on a closed connection, where no write waits
	c.writes.Lock()
	defer c.writes.Unlock()
	if broken := c.broken.Load(); broken != nil {
		return fmt.Errorf("the connection broke while the request was written: %w", *broken)
	}
	return io.EOF
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checked returns a dialFunc that opens a Conn.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
}
