// Package httpserver is the HTTP front end: callers and trainers on one listener, operators on another.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"go.opentelemetry.io/otel/propagation"
)

const (
	// headerTimeout bounds the time that a client may take for its request header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time that a client may take for its whole request.
	bodyTimeout = 60 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 2 * time.Minute
	// writeTimeout ends connections whose client reads nothing for so long. A stream has no time limit as a whole.
	writeTimeout = 30 * time.Second
	// headerLimit is the largest request header in bytes.
	headerLimit = 64 << 10
	// bodyLimit is the largest request body.
	bodyLimit = "8M"
)

// Server serves one echo router on one listener.
type Server struct {
	http  *http.Server
	write time.Duration
	// panicked is called with the stack of a handler that panicked.
	panicked func(stack string)
	done     sync.WaitGroup
}

// RouteGroup adds the routes of one part of the interface.
type RouteGroup interface {
	Register(e *echo.Echo)
}

// NewServer returns a server with the given routes.
func NewServer(routes ...RouteGroup) *Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = handleError
	s := &Server{write: writeTimeout}
	e.Use(middleware.RecoverWithConfig(middleware.RecoverConfig{LogErrorFunc: s.reportPanic, DisableStackAll: true}),
		middleware.BodyLimit(bodyLimit), traceContext)
	for _, r := range routes {
		r.Register(e)
	}
	s.http = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		MaxHeaderBytes:    headerLimit,
		IdleTimeout:       idleTimeout,
	}
	return s
}

// OnPanic sets a function that is called with the stack of a handler that panicked. It must be set before Start.
func (s *Server) OnPanic(f func(stack string)) { s.panicked = f }

// reportPanic passes the stack on. The value of the panic is left out: it may hold a prompt or a key.
func (s *Server) reportPanic(_ echo.Context, err error, stack []byte) error {
	if s.panicked != nil {
		s.panicked(string(stack))
	}
	return err
}

// Start serves connections of l until Stop.
func (s *Server) Start(l net.Listener) {
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		_ = s.http.Serve(problemListener{Listener: l, timeout: s.write})
	}()
}

// Stop refuses new connections, waits until open requests have ended or ctx ends, and closes the rest.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	s.done.Wait()
	if err != nil {
		return fmt.Errorf("stop HTTP server: %w", err)
	}
	return nil
}

// traceContext takes the trace context of the caller into the request.
func traceContext(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		c.SetRequest(r.WithContext(ctx))
		return next(c)
	}
}
