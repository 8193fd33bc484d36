package httpserver

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// SetHeaderTimeout sets the time limit for reading headers. Tests shorten it.
func (s *Server) SetHeaderTimeout(d time.Duration) { s.http.ReadHeaderTimeout = d }

// SetBodyTimeout sets the time limit for reading entire requests.
func (s *Server) SetBodyTimeout(d time.Duration) { s.http.ReadTimeout = d }

// SetWriteTimeout sets the time limit for clients that read nothing.
func (s *Server) SetWriteTimeout(d time.Duration) { s.writeTimeout = d }

// Handler returns the server's router.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Routes returns the method and path of each route. A path that accepts every method is listed once, as ANY. If a path
// is registered with and without a trailing wildcard, only the wildcard is listed.
func (s *Server) Routes() []string {
	router, ok := s.http.Handler.(*echo.Echo)
	if !ok {
		return nil
	}
	methods := make(map[string][]string)
	for _, r := range router.Routes() {
		methods[r.Path] = append(methods[r.Path], r.Method)
	}
	var routes []string
	for path, all := range methods {
		_, longer := methods[path+"/*"]
		switch {
		case longer:
		case len(all) > 5:
			routes = append(routes, "ANY "+path)
		default:
			for _, m := range all {
				routes = append(routes, m+" "+path)
			}
		}
	}
	return routes
}
