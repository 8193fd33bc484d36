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

// problemListener accepts connections on which protocol errors are answered with a problem body.
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

// problemConn replaces the plain-text answer of net/http to a request that it can't parse by a problem. Its writes fail
// when the client reads nothing for timeout.
type problemConn struct {
	net.Conn

	timeout time.Duration
}

// maxWriteBytes is the largest number of bytes per write. The write deadline is set anew for each part, so that a client
// that reads slowly is not disconnected.
const maxWriteBytes = 64 << 10

// protocolErrorHeader follows the status line of the answers that problemConn replaces. It never matches the answer of a
// handler, which has a Date field.
var protocolErrorHeader = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write sends p, or a problem if p is the answer of net/http to a malformed request.
func (c problemConn) Write(p []byte) (int, error) {
	line, _, found := bytes.Cut(p, protocolErrorHeader)
	if !found || !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) || bytes.ContainsAny(line, "\r\n") {
		return c.writeWithDeadline(p)
	}
	code, detail, _ := strings.Cut(strings.TrimPrefix(string(line), "HTTP/1.1 "), " ")
	status, err := strconv.Atoi(code)
	if err != nil {
		status = http.StatusBadRequest
	}
	body := notRunProblem(status, reasonForStatus(status), detail).encode()
	header := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Type: " + problemContentType +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\nConnection: close\r\n\r\n"
	if _, err := c.writeWithDeadline(append([]byte(header), body...)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// writeWithDeadline writes p in parts, with a new write deadline for each part.
func (c problemConn) writeWithDeadline(p []byte) (int, error) {
	sent := 0
	for part := range slices.Chunk(p, maxWriteBytes) {
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return sent, err //nolint:wrapcheck // net/http inspects the error
		}
		n, err := c.Conn.Write(part)
		sent += n
		if err != nil {
			return sent, err //nolint:wrapcheck // net/http inspects the error
		}
	}
	return sent, nil
}

// NetConn returns the connection below.
func (c problemConn) NetConn() net.Conn { return c.Conn }

// CloseWrite shuts down the writing side. net/http calls it before it closes a connection with unread input.
func (c problemConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite() //nolint:wrapcheck // net/http ignores the error
	}
	return nil
}
