package exporter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosalb/mimosalb/internal/guarder"
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
	Cold     func() int
	Unusable func() int64
	// Guarded returns what the process holds for clients.
	Guarded  func() guarder.State
	Relaying func() bool
	// Kinds and Deviation describe the estimator of an entry; both are nil in a controller.
	Kinds     func() int
	Deviation func() float64
	// Evacuation reads the gauges of evacuation; it is nil where evacuation is switched off.
	Evacuation func() EvacuationState
}

// EvacuationState holds the values of the gauges of evacuation.
type EvacuationState struct {
	// Zones is the number of evacuated zones, Unknown that of orders for unknown zones, and Stranded that of services without a target
	// outside the evacuated zones.
	Zones, Unknown, Stranded int
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
	relayed         *prometheus.CounterVec
	statusCounter
}

// NewHosted returns the metrics of a hosted process.
func NewHosted() *Hosted {
	r := newRegistry()
	return &Hosted{
		registry: r, requests: newCounter(r, forwardedRequests), requestDuration: newHistogram(r, forwardedDuration),
		items: newCounter(r, itemAttempts), itemDuration: newHistogram(r, itemAttemptDuration),
		calls: newCounter(r, dependencyCalls), callDuration: newHistogram(r, dependencyCallDuration),
		relayed:       newCounter(r, relayedCalls),
		statusCounter: newStatusCounter(r),
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
	newGauge(h.registry, coldTargets, func() float64 { return float64(s.Cold()) })
	newGauge(h.registry, unusableListings, func() float64 { return float64(s.Unusable()) })
	newGauge(h.registry, relayingState, func() float64 {
		if s.Relaying() {
			return 1
		}
		return 0
	})
	if s.Kinds != nil {
		newGauge(h.registry, estimatorKinds, func() float64 { return float64(s.Kinds()) })
		newGauge(h.registry, estimatorDeviation, s.Deviation)
	}
	newGauge(h.registry, omittedLogLines, func() float64 { return float64(s.Omitted()) })
	if s.Evacuation != nil {
		newGauge(h.registry, evacuatedZones, func() float64 { return float64(s.Evacuation().Zones) })
		newGauge(h.registry, unknownZones, func() float64 { return float64(s.Evacuation().Unknown) })
		newGauge(h.registry, strandedServices, func() float64 { return float64(s.Evacuation().Stranded) })
	}
	newGuardGauges(h.registry, s.Guarded)
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

// Relayed counts a call to the key-value service that another process made for this one (role "asked") or this one for another
// (role "executed").
func (h *Hosted) Relayed(role, outcome string) { h.relayed.WithLabelValues(role, outcome).Inc() }
