package exporter

import (
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/guarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// EntryState holds the functions that each scrape calls to read the gauges of an entry.
type EntryState struct {
	Waiting     func() int
	Revision    func() identifier.Revision
	Listed      func() map[identifier.Zone]int
	Serving     func() map[identifier.Zone]int
	Connections func() int
	// Evacuated is the number of evacuated zones, Stranded that of services without a target outside of them.
	Evacuated func() int
	Stranded  func() int
	// Unserved is the number of restrictions to regions without a listed target.
	Unserved func() int
	// Guarded returns what the process holds for clients.
	Guarded func() guarder.State
}

// Entry holds the metrics of an entry.
type Entry struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	wait      *prometheus.HistogramVec
	responses *prometheus.CounterVec
	statusCounter
}

// NewEntry returns the metrics of an entry.
func NewEntry() *Entry {
	r := newRegistry()
	return &Entry{
		registry: r, requests: newCounter(r, requests), attempts: newCounter(r, requestAttempts),
		duration: newHistogram(r, requestDuration), wait: newHistogram(r, queueWait), responses: newCounter(r, responses),
		statusCounter: newStatusCounter(r),
	}
}

// Observe registers the gauges whose values s provides.
func (e *Entry) Observe(s EntryState) {
	newGauge(e.registry, waitingRequests, func() float64 { return float64(s.Waiting()) })
	newGauge(e.registry, adoptedRevision, func() float64 { return float64(s.Revision()) })
	newGauge(e.registry, evacuatedZones, func() float64 { return float64(s.Evacuated()) })
	newGauge(e.registry, strandedServices, func() float64 { return float64(s.Stranded()) })
	newGauge(e.registry, unservedRestrictions, func() float64 { return float64(s.Unserved()) })
	newGauge(e.registry, clientConnections, func() float64 { return float64(s.Connections()) })
	newGuardGauges(e.registry, s.Guarded)
	e.registry.MustRegister(newZoneGauge(listedTargets, s.Listed), newZoneGauge(servingTargets, s.Serving))
}

// Add registers c with the metrics of the entry.
func (e *Entry) Add(c prometheus.Collector) { e.registry.MustRegister(c) }

// Gatherer returns the registry that the health routes serve.
func (e *Entry) Gatherer() prometheus.Gatherer { return e.registry }

// Ended counts a request that has ended and its attempts, and records its duration and its wait in the queue.
func (e *Entry) Ended(x dispatcher.EndedRequest) {
	service, team := string(x.Request.Service.Name), string(x.Request.Identity.Team)
	e.requests.WithLabelValues(service, team, outcome(x.Result)).Inc()
	e.attempts.WithLabelValues(service).Add(float64(x.Result.Attempts))
	e.duration.WithLabelValues(service, team).Observe(x.Result.Took.Seconds())
	e.wait.WithLabelValues(service, team).Observe(x.Result.Queued.Seconds())
}

// outcome returns the value of the outcome label for a result.
func outcome(r dispatcher.Result) string {
	switch {
	case r.Reason == "":
		return "answered"
	case r.RunState == dispatcher.NotRun:
		return "not-run"
	case r.RunState == dispatcher.HasRun:
		return "ran"
	default:
		return "unknown"
	}
}

// Listener counts the responses of one HTTP listener. It registers with a server like a group of routes, but adds
// middleware instead of paths.
type Listener struct {
	entry *Entry
	name  string
}

// Listener returns the response counter of the listener with the given name.
func (e *Entry) Listener(name string) Listener { return Listener{entry: e, name: name} }

// Register adds the counter as middleware to every route of the server.
func (l Listener) Register(router *echo.Echo) {
	router.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if err := next(c); err != nil {
				c.Error(err)
			}
			l.entry.responses.WithLabelValues(l.name, strconv.Itoa(c.Response().Status)).Inc()
			return nil
		}
	})
}
