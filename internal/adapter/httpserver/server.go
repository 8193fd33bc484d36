// Package httpserver implements the HTTP API: callers and trainers use one listener, operators another.
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

	"github.com/mimosalb/mimosalb/internal/adapter/guardedconn"
	"github.com/mimosalb/mimosalb/internal/guarder"
)

const (
	// headerTimeout is the time limit for reading a request header.
	headerTimeout = 5 * time.Second
	// bodyTimeout is the time limit for reading an entire request.
	bodyTimeout = 60 * time.Second
	// idleTimeout is the time after which a connection without a request is closed.
	idleTimeout = 2 * time.Minute
	// writeTimeout is the time after which a connection whose client reads nothing is closed. It applies to each write, so
	// the total duration of a stream has no limit.
	writeTimeout = 30 * time.Second
	// maxHeaderBytes is the largest request header in bytes.
	maxHeaderBytes = 64 << 10
	// bodyLimit is the largest request body, in the notation of echo's BodyLimit middleware.
	bodyLimit = "8M"
)

// Server serves the routes of its route groups on one listener.
type Server struct {
	http         *http.Server
	writeTimeout time.Duration
	// onPanic is called with the stack trace of a handler that panicked.
	onPanic func(stack string)
	// guard bounds what clients make the process hold; nil means that nothing does.
	guard   *guarder.Guarder
	serving sync.WaitGroup
}

// RouteGroup adds the routes of one part of the API.
type RouteGroup interface {
	Register(e *echo.Echo)
}

// NewServer returns a server with the given route groups.
func NewServer(routes ...RouteGroup) *Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = handleError
	s := &Server{writeTimeout: writeTimeout}
	e.Use(middleware.RecoverWithConfig(middleware.RecoverConfig{LogErrorFunc: s.reportPanic, DisableStackAll: true}),
		middleware.BodyLimit(bodyLimit), traceContext)
	for _, r := range routes {
		r.Register(e)
	}
	s.http = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	return s
}

// OnPanic sets a function that is called with the stack trace of a handler that panicked. It must be called before Start.
func (s *Server) OnPanic(f func(stack string)) { s.onPanic = f }

// WithGuard sets the guard of the server and returns the server. It must be called before Start.
func (s *Server) WithGuard(g *guarder.Guarder) *Server {
	s.guard = g
	return s
}

// reportPanic passes the stack trace to onPanic, without the value of the panic: that may hold a prompt or a key.
func (s *Server) reportPanic(_ echo.Context, err error, stack []byte) error {
	if s.onPanic != nil {
		s.onPanic(string(stack))
	}
	return err
}

// Start serves connections of l in the background until Stop is called.
func (s *Server) Start(l net.Listener) {
	if s.guard != nil {
		guardedconn.Guard(s.http)
		l = guardedconn.NewListener(l, s.guard)
	}
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		_ = s.http.Serve(problemListener{Listener: l, timeout: s.writeTimeout})
	}()
}

// Stop closes the listener, waits until open requests have ended or ctx is done, and then closes all connections.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	s.serving.Wait()
	if err != nil {
		return fmt.Errorf("stop HTTP server: %w", err)
	}
	return nil
}

// traceContext is middleware that adds the caller's trace context to the context of the request.
func traceContext(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		c.SetRequest(r.WithContext(ctx))
		return next(c)
	}
}
