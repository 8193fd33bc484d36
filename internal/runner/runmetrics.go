package runner

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosalb/mimosalb/internal/collector"
)

// runMetrics exports the state of the training runs that an entry owns.
type runMetrics struct {
	statuses func() []collector.Status
	idle     *prometheus.Desc
	step     *prometheus.Desc
	samples  *prometheus.Desc
	waste    *prometheus.Desc
	held     *prometheus.Desc
}

func newRunMetrics(statuses func() []collector.Status) *runMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("mimosalb_collector_"+name, help, append([]string{"run"}, labels...), nil)
	}
	return &runMetrics{
		statuses: statuses,
		idle:     desc("trainer_idle_seconds", "Time that the trainer waited in its pulls, by what it waited for.", "cause"),
		step:     desc("step_idle_seconds", "Time that the trainer waited in its last whole step, by what it waited for.", "cause"),
		samples:  desc("samples_count", "Samples by what became of them in this owner's term.", "fate"),
		waste:    desc("waste_tokens", "Tokens of rollouts that were cancelled or discarded."),
		held:     desc("held_bytes", "Finished samples that wait for the trainer."),
	}
}

// Describe implements prometheus.Collector.
func (m *runMetrics) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.idle, m.step, m.samples, m.waste, m.held} {
		ch <- d
	}
}

// Collect implements prometheus.Collector with the metrics of each training run that the entry owns.
func (m *runMetrics) Collect(ch chan<- prometheus.Metric) {
	for _, s := range m.statuses() {
		gauge := func(d *prometheus.Desc, v float64, labels ...string) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, append([]string{string(s.Spec.Run)}, labels...)...)
		}
		for _, c := range collector.Causes() {
			gauge(m.idle, s.Idle[c].Seconds(), string(c))
			if n := len(s.Steps); n > 0 {
				gauge(m.step, s.Steps[n-1].By[c].Seconds(), string(c))
			}
		}
		for state, n := range map[string]int{
			"started": s.Counts.Started, "hedged": s.Counts.Hedges, "failed": s.Counts.Failed, "unlabelled": s.Counts.Unlabelled,
			"over-age": s.Counts.OverAge, "delivered": s.Counts.Delivered, "acknowledged": s.Counts.Acknowledged,
		} {
			gauge(m.samples, float64(n), state)
		}
		gauge(m.waste, float64(s.Counts.Waste))
		gauge(m.held, float64(s.Held))
	}
}
