package rpcclient

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// writeTimeout limits one write to a connection. A silent connection accepts bytes until its buffers are full; without
// the limit the next call would block forever in the write.
const writeTimeout = 2 * time.Second

// socket is a connection with a write timeout that records whether a read has failed.
type socket struct {
	net.Conn

	readFailed atomic.Bool
}

// Read records a failure, so that no later call is sent on a connection that the peer has closed.
func (s *socket) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if err != nil {
		s.readFailed.Store(true)
	}
	return n, err //nolint:wrapcheck // net/rpc compares the error with io.EOF
}

// Write fails if the write takes longer than writeTimeout.
func (s *socket) Write(b []byte) (int, error) {
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	n, err := s.Conn.Write(b)
	if err != nil {
		return n, fmt.Errorf("write: %w", err)
	}
	return n, nil
}
