// Package guardedconn serves connections whose number, heads and answers a guarder.Guarder bounds.
package guardedconn

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/mimosalb/mimosalb/internal/guarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// freeBytes and freeFields are the size and the fields of a head that the memory of its connection includes.
	freeBytes  = 2 << 10
	freeFields = 40
	// fieldBytes is what a header field takes beside its text: its key, its place in the map of net/http and the list of its values.
	// Heads of 60,000 bytes with 10,000 fields took 320 KiB each at the peak.
	fieldBytes = 120
	// headFactor is what the text of a head takes, in its size: the copy of each line, and its strings.
	headFactor = 2
	// headStep is the memory that is reserved at a time while a head is read.
	headStep = 16 << 10
	// writeStep is the largest number of bytes per write. Each is progress.
	writeStep = 64 << 10
	// freeWrite is the size of an answer that the memory of its connection includes.
	freeWrite = 8 << 10
)

// errCut is the cause of the read error of a connection that was closed for lack of room.
var errCut = errors.New("closed for lack of room")

// Listener accepts the connections that a Guarder admits.
type Listener struct {
	net.Listener

	guard *guarder.Guarder
}

// NewListener returns a Listener of the connections of l.
func NewListener(l net.Listener, g *guarder.Guarder) Listener { return Listener{Listener: l, guard: g} }

// Accept waits for the next connection, and for room for it. Connections without room are closed.
func (l Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // servers compare the error with net.ErrClosed
		}
		client, _, err := net.SplitHostPort(raw.RemoteAddr().String())
		if err != nil {
			client = "" // the peer has gone, or the network has no ports
		}
		account, ok := l.guard.Open(client, func() { _ = raw.Close() })
		if !ok {
			_ = raw.Close() // refused
			continue
		}
		return &Conn{Conn: raw, Account: account}, nil
	}
}

// Conn is a connection with the account of what the process holds for it.
type Conn struct {
	net.Conn

	Account *guarder.Account
	// inHead is set while the head of a request is read. headBytes and headFields are of that head, and reserved is the memory that
	// was reserved for it. One goroutine at a time reads.
	inHead                bool
	headBytes, headFields int
	reserved              identifier.Bytes
	// inMessages is set if the connection carries messages of net/rpc, and messageBytes is the size of the one that is being read.
	inMessages   bool
	messageBytes int
}

// Read reads from the connection. While a head is read, it reserves the memory that the head takes.
func (c *Conn) Read(p []byte) (int, error) {
	c.Account.Await(true)
	// The wait for memory counts as well: connections that each hold a part of a head and wait for more would wait for each other.
	defer c.Account.Await(false)
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err //nolint:wrapcheck // net/http inspects the error
	}
	if c.Account.Phase() == guarder.Idle {
		c.Account.Enter(guarder.Reading)
	}
	c.Account.Progress(n)
	if c.inHead && !c.reserveHead(p[:n]) || c.inMessages && !c.reserveMessage(n) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errCut}
	}
	return n, err //nolint:wrapcheck // net/http inspects the error
}

// reserveHead reserves the memory for a part of a head.
func (c *Conn) reserveHead(part []byte) bool {
	c.headBytes += len(part)
	c.headFields += bytes.Count(part, []byte{'\n'})
	need := identifier.Bytes(max(c.headBytes-freeBytes, 0)*headFactor + max(c.headFields-freeFields, 0)*fieldBytes)
	if need <= c.reserved {
		return true
	}
	step := max(need-c.reserved, headStep)
	if !c.Account.Reserve(step) {
		return false
	}
	c.reserved += step
	return true
}

// Write writes p in parts, each of which is progress. It holds what is not small until it is written.
func (c *Conn) Write(p []byte) (sent int, err error) {
	if len(p) > freeWrite {
		c.Account.Hold(identifier.Bytes(len(p)))
		defer c.Account.Release(identifier.Bytes(len(p)))
	}
	defer c.Account.Wrote(true)
	for sent < len(p) && err == nil {
		c.Account.Wrote(false)
		var n int
		n, err = c.Conn.Write(p[sent:min(sent+writeStep, len(p))])
		sent += n
	}
	return sent, err //nolint:wrapcheck // net/http inspects the error
}

// Close closes the connection and its account. The server calls it after the last request of the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.Account.Close()
	return err //nolint:wrapcheck // net/http ignores the error
}

// CloseWrite shuts down the writing side. net/http calls it before it closes a connection with unread input.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite() //nolint:wrapcheck // net/http ignores the error
	}
	return nil
}

// Unwrap returns the Conn below a connection, or nil.
func Unwrap(raw net.Conn) *Conn {
	for {
		switch c := raw.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			raw = c.NetConn()
		default:
			return nil
		}
	}
}

type contextKey struct{}

// Guard prepares a server for the connections of a Listener. It must be called before the server starts, after its handler is set.
func Guard(s *http.Server) {
	next := s.ConnState
	s.ConnState = func(raw net.Conn, state http.ConnState) {
		if c := Unwrap(raw); c != nil {
			c.setState(state)
		}
		if next != nil {
			next(raw, state)
		}
	}
	s.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if c := Unwrap(raw); c != nil {
			ctx = context.WithValue(ctx, contextKey{}, c)
		}
		return ctx
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*Conn); ok {
			c.beginRequest(r)
		}
		handler.ServeHTTP(w, r)
	})
}

// setState follows what the server does with the connection.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.inHead = true
	case http.StateActive:
		// The server calls this before it reads ahead in another goroutine.
		c.inHead = false
	case http.StateIdle:
		c.Account.SetLarge(false)
		c.Account.Release(c.reserved)
		c.headBytes, c.headFields, c.reserved, c.inHead = 0, 0, 0, true
		c.Account.Enter(guarder.Idle)
	default:
	}
}

// beginRequest notes that the head of a request is read.
func (c *Conn) beginRequest(r *http.Request) {
	if r.ContentLength == 0 {
		c.Account.Enter(guarder.Working)
		return
	}
	c.Account.Enter(guarder.Reading)
}
