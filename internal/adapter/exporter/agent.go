package exporter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosalb/mimosalb/internal/executor"
)

// AgentState is read at each scrape.
type AgentState struct {
	Load        func() (running int, draining bool)
	Connections func() int
}

// Agent holds the metrics of an agent.
type Agent struct {
	registry *prometheus.Registry
	ended    *prometheus.CounterVec
	ran      *prometheus.HistogramVec
}

// NewAgent returns the metrics of an agent.
func NewAgent() *Agent {
	r := newRegistry()
	return &Agent{registry: r, ended: newCounter(r, ended), ran: newHistogram(r, ran)}
}

// Observe adds the gauges that are read from s.
func (a *Agent) Observe(s AgentState) {
	newGauge(a.registry, peers, func() float64 { return float64(s.Connections()) })
	newGauge(a.registry, running, func() float64 {
		n, _ := s.Load()
		return float64(n)
	})
	newGauge(a.registry, draining, func() float64 {
		if _, on := s.Load(); on {
			return 1
		}
		return 0
	})
}

// Gatherer returns the metrics for the health routes.
func (a *Agent) Gatherer() prometheus.Gatherer { return a.registry }

// Ended counts an attempt that has ended.
func (a *Agent) Ended(x executor.EndedAttempt) {
	a.ended.WithLabelValues(string(x.Call.Service), x.Final.End.String()).Inc()
	a.ran.WithLabelValues(string(x.Call.Service)).Observe(x.Final.Took.Seconds())
}
