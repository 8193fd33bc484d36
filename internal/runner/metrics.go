package runner

import (
	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// exportState exports the state of the entry as metrics and returns the health routes of the operators' listener.
func (e *Entry) exportState(metrics *exporter.Entry, config *configurator.Configurator, members *membership) *httpserver.Health {
	tracker := members.tracker
	metrics.Observe(exporter.EntryState{
		Waiting:     e.dispatcher.Waiting,
		Revision:    func() identifier.Revision { return config.Current().Revision() },
		Connections: e.peers.Connections, Guarded: e.guards.state,
		Evacuated: func() int { return tracker.Evacuated().Len() },
		Stranded:  func() int { return len(tracker.Stranded(tracker.Evacuated())) },
		Unserved:  func() int { return len(members.unservedBy(config.Current())) },
		Listed: func() map[identifier.Zone]int {
			zones := make(map[identifier.Zone]int)
			for _, m := range tracker.Members() {
				zones[m.Zone]++
			}
			return zones
		},
		Serving: func() map[identifier.Zone]int {
			zones := make(map[identifier.Zone]int)
			for _, t := range tracker.RoutedView().Targets() {
				zones[t.Zone]++
			}
			return zones
		},
	})
	return httpserver.NewHealth(e.accepts, metrics.Gatherer())
}

// serveHealth serves the agent's health routes on address, unless it is empty.
func (a *Agent) serveHealth(address string) error {
	a.metrics.Observe(exporter.AgentState{Load: a.gatekeeper.Load, Connections: a.server.Connections, Guarded: a.guards.state})
	if address == "" {
		return nil
	}
	l, err := listen(address)
	if err != nil {
		return err
	}
	a.Health = l.Addr().String()
	a.health = httpserver.NewServer(httpserver.NewHealth(a.ready, a.metrics.Gatherer())).WithGuard(a.guards.checks)
	a.health.Start(l)
	return nil
}

func (a *Agent) ready() bool {
	_, draining := a.gatekeeper.Load()
	return !draining
}
