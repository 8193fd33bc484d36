package exporter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/guarder"
)

// AgentState holds the functions that each scrape calls to read the gauges of an agent.
type AgentState struct {
	Load        func() (running int, draining bool)
	Connections func() int
	// Guarded returns what the process holds for clients.
	Guarded func() guarder.State
}

// Agent holds the metrics of an agent.
type Agent struct {
	registry *prometheus.Registry
	attempts *prometheus.CounterVec
	duration *prometheus.HistogramVec
	statusCounter
}

// NewAgent returns the metrics of an agent.
func NewAgent() *Agent {
	r := newRegistry()
	return &Agent{
		registry: r, attempts: newCounter(r, targetAttempts), duration: newHistogram(r, targetAttemptDuration), statusCounter: newStatusCounter(r),
	}
}

// Observe registers the gauges whose values s provides.
func (a *Agent) Observe(s AgentState) {
	newGauge(a.registry, serverConnections, func() float64 { return float64(s.Connections()) })
	newGuardGauges(a.registry, s.Guarded)
	newGauge(a.registry, runningAttempts, func() float64 {
		n, _ := s.Load()
		return float64(n)
	})
	newGauge(a.registry, drainingState, func() float64 {
		if _, draining := s.Load(); draining {
			return 1
		}
		return 0
	})
}

// Gatherer returns the registry that the health routes serve.
func (a *Agent) Gatherer() prometheus.Gatherer { return a.registry }

// Ended counts an attempt that has ended and records its duration.
func (a *Agent) Ended(x executor.EndedAttempt) {
	a.attempts.WithLabelValues(string(x.Call.Service), x.Final.End.String()).Inc()
	a.duration.WithLabelValues(string(x.Call.Service)).Observe(x.Final.Took.Seconds())
}
