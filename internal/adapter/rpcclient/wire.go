package rpcclient

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// writeTimeout bounds one write to a connection. A silent connection takes bytes until its buffers are full; without
// the bound the next call would wait for ever in the write.
const writeTimeout = 2 * time.Second

// wire is a connection that notices its end.
type wire struct {
	net.Conn

	ended atomic.Bool
}

// Read reads and remembers a failure, so that no later call is sent on a connection that the peer has closed.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil {
		w.ended.Store(true)
	}
	return n, err //nolint:wrapcheck // net/rpc compares the error with io.EOF
}

// Write writes within writeTimeout.
func (w *wire) Write(b []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	n, err := w.Conn.Write(b)
	if err != nil {
		return n, fmt.Errorf("write: %w", err)
	}
	return n, nil
}
