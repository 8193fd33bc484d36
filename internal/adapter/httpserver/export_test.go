package httpserver

import (
	"net/http"
	"time"
)

// SetHeaderTimeout shortens the time limit for headers, so that a test need not wait for the real one.
func (s *Server) SetHeaderTimeout(d time.Duration) { s.http.ReadHeaderTimeout = d }

// Handler returns the server's router.
func (s *Server) Handler() http.Handler { return s.http.Handler }
