package httpserver_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
)

// faultyRoutes has a route whose answer never ends and one that panics.
type faultyRoutes struct{ ended chan error }

func (f faultyRoutes) Register(e *echo.Echo) {
	e.GET("/endless", func(c echo.Context) error {
		for {
			if _, err := io.Copy(c.Response(), io.LimitReader(zeroReader{}, 1<<20)); err != nil {
				f.ended <- err
				return err
			}
		}
	})
	e.GET("/panic", func(echo.Context) error { panic("fault of a handler") })
}

// Guards against callers that keep a connection open forever by not reading the answer.
func TestClientsThatDoNotReadAreDisconnected(t *testing.T) {
	c := qt.New(t)
	f := faultyRoutes{ended: make(chan error, 1)}
	s := httpserver.NewServer(health(), f)
	s.SetWriteTimeout(50 * time.Millisecond)
	conn, err := net.Dial("tcp", start(c, s))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, request("GET /endless", "", "", ""))
	c.Assert(err, qt.IsNil)
	select {
	case err := <-f.ended:
		c.Assert(err, qt.ErrorMatches, ".*i/o timeout")
	case <-time.After(20 * time.Second):
		c.Fatal("the connection is still open")
	}
}

// Guards against a panic in a handler that ends the process, that is reported as a request that did not run, or whose
// value, which may hold a prompt, gets into the log.
func TestPanicIsAProblem(t *testing.T) {
	c := qt.New(t)
	s := httpserver.NewServer(health(), faultyRoutes{})
	stacks := make(chan string, 1)
	s.OnPanic(func(stack string) { stacks <- stack })
	address := start(c, s)
	c.Assert(send(c, address, strings.NewReader(request("GET /panic", "", "", ""))), qt.Equals,
		"500 unknown internal: "+http.StatusText(http.StatusInternalServerError))
	stack := <-stacks
	c.Assert(stack, qt.Contains, "server_test.go")
	c.Assert(strings.Contains(stack, "fault of a handler"), qt.IsFalse)
	c.Assert(send(c, address, strings.NewReader(request("GET /healthz", "", "", ""))), qt.Contains, "200 ")
}
