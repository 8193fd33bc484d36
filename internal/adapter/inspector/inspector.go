// Package inspector rejects HTTP responses that are broken and that net/http passes on: those with a status or a field name that the
// protocol does not allow, and those that end with a connection that broke.
package inspector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// StatusError is the error of a response whose status the protocol does not allow. Its request may have been executed.
type StatusError struct {
	Status int
}

// Error returns the status with its three digits.
func (e *StatusError) Error() string {
	return fmt.Sprintf("response status %03d is not allowed", e.Status)
}

// Final returns an error if a status is not that of a final response: 200 to 599. No request of this system asks for another
// protocol (101).
func Final(status int) error {
	if status < 200 || status > 599 {
		return &StatusError{Status: status}
	}
	return nil
}

// Response returns an error if the head of a final response is not sound: StatusError or ErrFieldName.
func Response(r *http.Response) error {
	if err := Final(r.StatusCode); err != nil {
		return err
	}
	return checkNames(r.Header)
}

// maxInterimBytes bounds the interim responses of a request. net/http bounds only each of them if they are traced.
const maxInterimBytes = 64 << 10

// errInterimTooLong is the error of a response after too many bytes of interim ones.
var errInterimTooLong = errors.New("interim responses are too long")

// Interims checks the interim responses of one request. The zero value has seen none.
type Interims struct {
	bytes int
}

// Check returns an error if a status is not that of a known interim response, if a field name is not allowed, or if the interim responses
// are too long. Without the first check a final response with such a status would be waited for until the time of the request is up.
func (i *Interims) Check(status int, header textproto.MIMEHeader) error {
	const lineBytes = len("HTTP/1.1 100 \r\n\r\n")
	switch status {
	case http.StatusContinue, http.StatusProcessing, http.StatusEarlyHints:
	default:
		return &StatusError{Status: status}
	}
	if err := checkNames(header); err != nil {
		return err
	}
	i.bytes += lineBytes
	for name, values := range header {
		for _, value := range values {
			i.bytes += len(name) + len(value) + len(": \r\n")
		}
	}
	if i.bytes > maxInterimBytes {
		return errInterimTooLong
	}
	return nil
}

// Report is called for each response whose status the protocol does not allow.
type Report func(r *http.Request, status int)

// Transport is an http.RoundTripper that returns an error for a response that is not sound and closes its connection.
type Transport struct {
	base    http.RoundTripper
	reports []Report
}

// NewTransport returns a Transport over base, with what is called for each response with a status that is not allowed. If base is an
// http.Transport, it uses a copy whose connections are each a Conn; the copies of http.DefaultTransport share theirs.
func NewTransport(base http.RoundTripper, reports ...Report) *Transport {
	if t, ok := base.(*http.Transport); ok && base == http.DefaultTransport {
		base = defaultTransport()
	} else if ok {
		base = withConn(t)
	}
	return &Transport{base: base, reports: reports}
}

// defaultTransport is the copy of http.DefaultTransport, which was checked to be an http.Transport.
var defaultTransport = sync.OnceValue(func() *http.Transport { return withConn(http.DefaultTransport.(*http.Transport)) })

// withConn returns a copy of t whose connections are each a Conn.
func withConn(t *http.Transport) *http.Transport {
	t = t.Clone()
	dial := t.DialContext
	if old := t.Dial; dial == nil && old != nil { //nolint:staticcheck // a user's transport may still have it
		dial = func(_ context.Context, network, address string) (net.Conn, error) { return old(network, address) }
	}
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = checked(dial)
	return t
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// BeginResponse makes a connection check the head of the response to the request that has got it, if it is a Conn.
func BeginResponse(c net.Conn) {
	if conn, ok := c.(interface{ BeginResponse() }); ok {
		conn.BeginResponse()
	}
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	var interims Interims
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn
			BeginResponse(conn)
		},
		Got1xxResponse: interims.Check,
	})
	resp, err := t.base.RoundTrip(r.WithContext(ctx))
	if err == nil {
		if err = Response(resp); err == nil {
			return resp, nil
		}
		_ = resp.Body.Close() // the response is not used
		if conn != nil {
			_ = conn.Close() // an empty response would leave it open
		}
	}
	var invalid *StatusError
	if errors.As(err, &invalid) {
		for _, report := range t.reports {
			report(r, invalid.Status)
		}
	}
	return nil, err
}
