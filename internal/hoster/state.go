package hoster

import (
	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
)

// state returns the functions that read the gauges of the entry.
func (e *Entry) state(nav *navigator.Navigator, sampler *logger.Sampler) exporter.HostedState {
	return exporter.HostedState{
		Revision: func() identifier.Revision { return nav.Current().Revision() }, Leading: e.conductor.JobCount, Late: e.conductor.LateJobs,
		Omitted: sampler.Omitted,
		Held:    func() int { return e.observer.HeldCount(e.clock.Now()) }, Limited: e.limiter.Count, Cold: e.limiter.ColdCount,
		Unusable:   e.targets.unusableCount.Load,
		Evacuation: e.evacuationState(),
		Relaying:   e.relay.relaying,
		Kinds:      e.placer.estimator.Count, Deviation: e.placer.estimator.Deviation,
	}
}
