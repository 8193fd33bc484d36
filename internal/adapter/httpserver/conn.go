package httpserver

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// problemListener makes connections whose protocol errors have a problem body.
type problemListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l problemListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http compares the error with http.ErrServerClosed and net.ErrClosed
	}
	return problemConn{c}, nil
}

// problemConn replaces the plain text with which net/http answers a request that it can't parse.
type problemConn struct {
	net.Conn
}

// parseFailure is the header of those answers. An answer of a handler has a Date field and so never matches.
var parseFailure = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write sends p, or a problem in place of a protocol error.
func (c problemConn) Write(p []byte) (int, error) {
	line, _, found := bytes.Cut(p, parseFailure)
	if !found || !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) || bytes.ContainsAny(line, "\r\n") {
		return c.Conn.Write(p) //nolint:wrapcheck // net/http looks at the error
	}
	code, detail, _ := strings.Cut(strings.TrimPrefix(string(line), "HTTP/1.1 "), " ")
	status, err := strconv.Atoi(code)
	if err != nil {
		status = http.StatusBadRequest
	}
	body := refused(status, reasonOf(status), detail).encode()
	header := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Type: " + problemContentType +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\nConnection: close\r\n\r\n"
	if _, err := c.Conn.Write(append([]byte(header), body...)); err != nil {
		return 0, err //nolint:wrapcheck // net/http looks at the error
	}
	return len(p), nil
}

// CloseWrite ends the connection's sending side, which net/http does before it closes a connection with unread input.
func (c problemConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // net/http ignores the error
	}
	return nil
}
