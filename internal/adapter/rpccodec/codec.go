// Package rpccodec is the codec of net/rpc of the system's own processes, with limits on what a connection makes the process hold.
package rpccodec

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"net/rpc"

	"github.com/mimosalb/mimosalb/internal/adapter/guardedconn"
)

// DefaultInFlight limits the calls of one connection that run at the same time. Further calls stay unread in the
// socket.
const DefaultInFlight = 1024

// errNoRoom is the cause of the end of a connection whose calls take more memory than there is.
var errNoRoom = errors.New("no room for the call")

// Codec is the gob codec of net/rpc with a limit on the calls in flight: it reads the next request only when a slot is
// free.
type Codec struct {
	conn net.Conn
	// guard bounds what the connection holds; nil means that nothing does.
	guard *guardedconn.Conn
	dec   *gob.Decoder
	enc   *gob.Encoder
	buf   *bufio.Writer
	// slots holds one element per call in flight.
	slots chan struct{}
	calls openCalls
}

// New returns a Codec for a connection with a limit on the calls in flight.
func New(conn net.Conn, inFlight int) *Codec {
	buf, guard := bufio.NewWriter(conn), guardedconn.Unwrap(conn)
	if guard != nil {
		guard.BeginMessages()
	}
	return &Codec{
		conn: conn, guard: guard,
		dec:   gob.NewDecoder(bufio.NewReader(conn)),
		enc:   gob.NewEncoder(buf),
		buf:   buf,
		slots: make(chan struct{}, inFlight),
	}
}

// ReadRequestHeader waits for a free slot and reads the header of the next request.
func (c *Codec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	err := c.dec.Decode(r)
	if err == nil && c.guard != nil && !c.guard.Account.Reserve(guardedconn.CallBytes) {
		err = errNoRoom
	}
	if err == nil {
		c.calls.begin()
	}
	return err //nolint:wrapcheck // net/rpc compares the error with io.EOF
}

// ReadRequestBody reads the body of the request whose header was read.
func (c *Codec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	if c.guard != nil {
		c.guard.EndMessage(err == nil && body != nil)
	}
	return err //nolint:wrapcheck // net/rpc reports the error to the peer as it is
}

// WriteResponse writes a reply and frees the slot of its request.
func (c *Codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	defer c.calls.end()
	if c.guard != nil {
		defer c.guard.Account.Release(guardedconn.CallBytes)
	}
	if err := c.enc.Encode(r); err != nil {
		return c.fail("encode response header", err)
	}
	if err := c.enc.Encode(body); err != nil {
		return c.fail("encode response body", err)
	}
	if err := c.buf.Flush(); err != nil {
		return c.fail("flush", err)
	}
	return nil
}

// Close closes the connection.
func (c *Codec) Close() error {
	if err := c.conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// fail closes the connection, because after a partial write the peer cannot tell where the next reply begins.
func (c *Codec) fail(step string, err error) error {
	_ = c.conn.Close()
	return fmt.Errorf("%s: %w", step, err)
}

// Drained returns a channel that is closed once every call has its reply.
func (c *Codec) Drained() <-chan struct{} { return c.calls.drained() }
