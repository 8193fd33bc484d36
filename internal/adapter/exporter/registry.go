package exporter

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/mimosalb/mimosalb/internal/guarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// firstBucketSeconds is the upper bound of the lowest histogram bucket; each further bound is bucketFactor times the one
// before. 17 buckets reach from 1 ms to 65 s, which covers durations from a routing choice to a long answer.
const (
	firstBucketSeconds = 0.001
	bucketFactor       = 2
	bucketCount        = 17
)

func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func newCounter(r *prometheus.Registry, d Definition) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: d.Name, Help: d.Help}, d.labels())
	r.MustRegister(v)
	return v
}

func newHistogram(r *prometheus.Registry, d Definition) *prometheus.HistogramVec {
	v := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: d.Name, Help: d.Help, Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
	}, d.labels())
	r.MustRegister(v)
	return v
}

func newGauge(r *prometheus.Registry, d Definition, read func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: d.Name, Help: d.Help}, read))
}

// zoneGauge collects a gauge with one value for each availability zone.
type zoneGauge struct {
	desc *prometheus.Desc
	read func() map[identifier.Zone]int
}

func newZoneGauge(d Definition, read func() map[identifier.Zone]int) zoneGauge {
	return zoneGauge{desc: prometheus.NewDesc(d.Name, d.Help, d.labels(), nil), read: read}
}

// Describe sends the gauge's description.
func (g zoneGauge) Describe(ch chan<- *prometheus.Desc) { ch <- g.desc }

// Collect sends the gauge's values.
func (g zoneGauge) Collect(ch chan<- prometheus.Metric) {
	for zone, n := range g.read() {
		ch <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, float64(n), string(zone))
	}
}

// newGuardGauges registers the gauges of what a process holds for clients.
func newGuardGauges(r *prometheus.Registry, read func() guarder.State) {
	newGauge(r, guardedConnections, func() float64 { return float64(read().Connections) })
	newGauge(r, guardedBytes, func() float64 { return float64(read().Held) })
	newGauge(r, cutConnections, func() float64 { return float64(read().Cut) })
	newGauge(r, refusedClients, func() float64 { return float64(read().Refused) })
}
