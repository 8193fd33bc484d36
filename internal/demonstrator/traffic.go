package demonstrator

import (
	"context"
	"fmt"
	"net"
)

// countedListener counts the traffic of the connections that a node accepts.
type countedListener struct {
	net.Listener

	node *FleetNode
}

// Accept returns the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return &countedConn{Conn: c, node: l.node}, nil
}

// countedConn counts the bytes of one connection at one end.
type countedConn struct {
	net.Conn

	node *FleetNode
}

// Read reads from the connection.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.node.Traffic.Add(int64(n))
	return n, err //nolint:wrapcheck // a connection hands on the errors of the one it wraps
}

// Write writes to the connection.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.node.Traffic.Add(int64(n))
	return n, err //nolint:wrapcheck // a connection hands on the errors of the one it wraps
}

// dial connects the node to another.
func (n *FleetNode) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return &countedConn{Conn: c, node: n}, nil
}
