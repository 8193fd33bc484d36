package rpcserver

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"net/rpc"
)

// codec is the gob codec of net/rpc with a limit on the calls in flight: it reads the next request only when a slot is
// free.
type codec struct {
	conn io.ReadWriteCloser
	dec  *gob.Decoder
	enc  *gob.Encoder
	buf  *bufio.Writer
	// slots holds one element per call in flight.
	slots chan struct{}
	calls openCalls
}

func newCodec(conn io.ReadWriteCloser, inFlight int) *codec {
	buf := bufio.NewWriter(conn)
	return &codec{
		conn:  conn,
		dec:   gob.NewDecoder(bufio.NewReader(conn)),
		enc:   gob.NewEncoder(buf),
		buf:   buf,
		slots: make(chan struct{}, inFlight),
	}
}

// ReadRequestHeader waits for a free slot and reads the header of the next request.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	err := c.dec.Decode(r)
	if err == nil {
		c.calls.begin()
	}
	return err //nolint:wrapcheck // net/rpc compares the error with io.EOF
}

// ReadRequestBody reads the body of the request whose header was read.
func (c *codec) ReadRequestBody(body any) error {
	return c.dec.Decode(body) //nolint:wrapcheck // net/rpc reports the error to the peer as it is
}

// WriteResponse writes a reply and frees the slot of its request.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	defer c.calls.end()
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
func (c *codec) Close() error {
	if err := c.conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// fail closes the connection, because after a partial write the peer cannot tell where the next reply begins.
func (c *codec) fail(step string, err error) error {
	_ = c.conn.Close()
	return fmt.Errorf("%s: %w", step, err)
}
