package httpserver

import (
	"bytes"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// problemListener makes connections whose protocol errors have a problem body.
type problemListener struct {
	net.Listener

	timeout time.Duration
}

// Accept waits for the next connection.
func (l problemListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http compares the error with http.ErrServerClosed and net.ErrClosed
	}
	return problemConn{Conn: c, timeout: l.timeout}, nil
}

// problemConn replaces the plain text with which net/http answers a request that it can't parse, and ends the
// connection when the client reads nothing for the time of timeout.
type problemConn struct {
	net.Conn

	timeout time.Duration
}

// writeSize is the most that is sent at a time. A client that reads slowly has the time limit for each part.
const writeSize = 64 << 10

// parseFailure is the header of those answers. An answer of a handler has a Date field and so never matches.
var parseFailure = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write sends p, or a problem in place of a protocol error.
func (c problemConn) Write(p []byte) (int, error) {
	line, _, found := bytes.Cut(p, parseFailure)
	if !found || !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) || bytes.ContainsAny(line, "\r\n") {
		return c.send(p)
	}
	code, detail, _ := strings.Cut(strings.TrimPrefix(string(line), "HTTP/1.1 "), " ")
	status, err := strconv.Atoi(code)
	if err != nil {
		status = http.StatusBadRequest
	}
	body := refused(status, reasonOf(status), detail).encode()
	header := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Type: " + problemContentType +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\nConnection: close\r\n\r\n"
	if _, err := c.send(append([]byte(header), body...)); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c problemConn) send(p []byte) (int, error) {
	sent := 0
	for part := range slices.Chunk(p, writeSize) {
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return sent, err //nolint:wrapcheck // net/http looks at the error
		}
		n, err := c.Conn.Write(part)
		sent += n
		if err != nil {
			return sent, err //nolint:wrapcheck // net/http looks at the error
		}
	}
	return sent, nil
}

// CloseWrite ends the connection's sending side, which net/http does before it closes a connection with unread input.
func (c problemConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // net/http ignores the error
	}
	return nil
}
