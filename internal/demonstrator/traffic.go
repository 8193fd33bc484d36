package demonstrator

import (
	"context"
	"fmt"
	"net"
)

// countingListener counts the bytes on the connections that a node accepts.
type countingListener struct {
	net.Listener

	node *FleetNode
}

// Accept returns the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return &countingConn{Conn: c, node: l.node}, nil
}

// countingConn adds the bytes that are read from and written to a connection to the traffic of its node.
type countingConn struct {
	net.Conn

	node *FleetNode
}

// Read reads from the connection.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.node.Traffic.Add(int64(n))
	return n, err //nolint:wrapcheck // errors of the wrapped connection stay unchanged
}

// Write writes to the connection.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.node.Traffic.Add(int64(n))
	return n, err //nolint:wrapcheck // errors of the wrapped connection stay unchanged
}

// dial opens a connection to another node and counts its bytes.
func (n *FleetNode) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return &countingConn{Conn: c, node: n}, nil
}
