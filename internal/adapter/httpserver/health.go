package httpserver

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// storeRetry is the retry hint while the key-value service is not available.
const storeRetry = 5 * time.Second

// Paths of the health routes.
const (
	pathHealth  = "/healthz"
	pathReady   = "/readyz"
	pathMetrics = "/metrics"
)

// Health serves /healthz, /readyz and /metrics.
type Health struct {
	ready   func() bool
	metrics prometheus.Gatherer
}

// NewHealth returns the health routes. ready tells whether the process takes new work. Without metrics there is no
// /metrics: they name teams and services, which callers must not learn.
func NewHealth(ready func() bool, metrics prometheus.Gatherer) *Health {
	return &Health{ready: ready, metrics: metrics}
}

// Register adds the health routes.
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
