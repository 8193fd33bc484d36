package rpcserver

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"net/rpc"
)

// codec is the gob codec of net/rpc with a bound on the calls in flight: it reads the next request only when there is
// room.
type codec struct {
	conn io.ReadWriteCloser
	dec  *gob.Decoder
	enc  *gob.Encoder
	buf  *bufio.Writer
	room chan struct{}
	open open
}

func newCodec(conn io.ReadWriteCloser, inFlight int) *codec {
	buf := bufio.NewWriter(conn)
	return &codec{
		conn: conn,
		dec:  gob.NewDecoder(bufio.NewReader(conn)),
		enc:  gob.NewEncoder(buf),
		buf:  buf,
		room: make(chan struct{}, inFlight),
	}
}

// ReadRequestHeader waits for room and reads the header of the next request.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	c.room <- struct{}{}
	err := c.dec.Decode(r)
	if err == nil {
		c.open.begin()
	}
	return err //nolint:wrapcheck // net/rpc compares the error with io.EOF
}

// ReadRequestBody reads the body of the request whose header was read.
func (c *codec) ReadRequestBody(body any) error {
	return c.dec.Decode(body) //nolint:wrapcheck // net/rpc reports the error to the peer as it is
}

// WriteResponse writes a reply and makes room for one more request.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.room }()
	defer c.open.end()
	if err := c.enc.Encode(r); err != nil {
		return c.fail("encode header", err)
	}
	if err := c.enc.Encode(body); err != nil {
		return c.fail("encode body", err)
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

// fail closes the connection: after a partial write the peer could not find the next reply.
func (c *codec) fail(what string, err error) error {
	_ = c.conn.Close()
	return fmt.Errorf("%s: %w", what, err)
}
