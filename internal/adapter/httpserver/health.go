package httpserver

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// storeRetryAfter is the Retry-After hint while the key-value service is not available.
const storeRetryAfter = 5 * time.Second

// Paths of the health routes.
const (
	pathHealth  = "/healthz"
	pathReady   = "/readyz"
	pathMetrics = "/metrics"
)

// Health serves the liveness, readiness and metrics routes.
type Health struct {
	ready   func() bool
	metrics prometheus.Gatherer
}

// NewHealth returns the health routes. ready reports whether the process accepts new work. If metrics is nil, there is
// no /metrics route: the callers' listener must not have one, since metrics name teams and services.
func NewHealth(ready func() bool, metrics prometheus.Gatherer) *Health {
	return &Health{ready: ready, metrics: metrics}
}

// Register adds the routes to e.
func (h *Health) Register(e *echo.Echo) {
	e.GET(pathHealth, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET(pathReady, func(c echo.Context) error {
		if !h.ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	if h.metrics == nil {
		return
	}
	e.GET(pathMetrics, echo.WrapHandler(promhttp.HandlerFor(h.metrics, promhttp.HandlerOpts{})))
}
