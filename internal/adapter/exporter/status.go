package exporter

import "github.com/prometheus/client_golang/prometheus"

// statusCounter counts answers of dependencies whose status the protocol does not allow.
type statusCounter struct {
	statuses *prometheus.CounterVec
}

func newStatusCounter(r *prometheus.Registry) statusCounter {
	return statusCounter{statuses: newCounter(r, invalidStatuses)}
}

// InvalidStatus counts an answer of a dependency whose status the protocol does not allow.
func (c statusCounter) InvalidStatus(dependency string) {
	c.statuses.WithLabelValues(dependency).Inc()
}
