package exporter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// HostedState holds the functions that each scrape calls to read the gauges of a hosted process.
type HostedState struct {
	Revision func() identifier.Revision
	Leading  func() int
	Late     func() int
	Dropped  func() int64
	Omitted  func() int64
	Held     func() int
	Limited  func() int
	Unusable func() int64
}

// Hosted holds the metrics of a process that runs on the users' own platform.
type Hosted struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	requestDuration *prometheus.HistogramVec
	items           *prometheus.CounterVec
	itemDuration    *prometheus.HistogramVec
	calls           *prometheus.CounterVec
	callDuration    *prometheus.HistogramVec
}

// NewHosted returns the metrics of a hosted process.
func NewHosted() *Hosted {
	r := newRegistry()
	return &Hosted{
		registry: r, requests: newCounter(r, forwardedRequests), requestDuration: newHistogram(r, forwardedDuration),
		items: newCounter(r, itemAttempts), itemDuration: newHistogram(r, itemAttemptDuration),
		calls: newCounter(r, dependencyCalls), callDuration: newHistogram(r, dependencyCallDuration),
	}
}

// Observe registers the gauges whose values s provides.
func (h *Hosted) Observe(s HostedState) {
	newGauge(h.registry, planRevision, func() float64 { return float64(s.Revision()) })
	newGauge(h.registry, ledJobs, func() float64 { return float64(s.Leading()) })
	newGauge(h.registry, lateJobs, func() float64 { return float64(s.Late()) })
	newGauge(h.registry, droppedLogLines, func() float64 { return float64(s.Dropped()) })
	newGauge(h.registry, heldRequests, func() float64 { return float64(s.Held()) })
	newGauge(h.registry, limitedTargets, func() float64 { return float64(s.Limited()) })
	newGauge(h.registry, unusableListings, func() float64 { return float64(s.Unusable()) })
	newGauge(h.registry, omittedLogLines, func() float64 { return float64(s.Omitted()) })
}

// Gatherer returns the registry that the metrics route serves.
func (h *Hosted) Gatherer() prometheus.Gatherer { return h.registry }

// Request counts a request that has ended and records its duration.
func (h *Hosted) Request(kind, outcome, reason string, took time.Duration) {
	h.requests.WithLabelValues(kind, outcome, reason).Inc()
	h.requestDuration.WithLabelValues(kind, outcome).Observe(took.Seconds())
}

// Item counts an ended attempt of a batch job item and records its duration.
func (h *Hosted) Item(end string, took time.Duration) {
	h.items.WithLabelValues(end).Inc()
	h.itemDuration.WithLabelValues(end).Observe(took.Seconds())
}

// Call counts a call to a dependency (the key-value service, the platform or another process) and records its
// duration.
func (h *Hosted) Call(dependency, outcome string, took time.Duration) {
	h.calls.WithLabelValues(dependency, outcome).Inc()
	h.callDuration.WithLabelValues(dependency).Observe(took.Seconds())
}
