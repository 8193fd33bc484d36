package runner

import (
	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/tracker"
)

// observe lets the entry's metrics read its parts and returns the health routes of the operators' listener.
func (e *Entry) observe(x *exporter.Entry, config *configurator.Configurator, members *tracker.Tracker) *httpserver.Health {
	x.Observe(exporter.EntryState{
		Waiting:     e.dispatcher.Waiting,
		Revision:    func() identifier.Revision { return config.Current().Revision() },
		Connections: e.peers.Connections,
		Listed: func() map[identifier.Zone]int {
			zones := make(map[identifier.Zone]int)
			for _, m := range members.Members() {
				zones[m.Zone]++
			}
			return zones
		},
		Serving: func() map[identifier.Zone]int {
			zones := make(map[identifier.Zone]int)
			for _, t := range members.View().Targets() {
				zones[t.Zone]++
			}
			return zones
		},
	})
	return httpserver.NewHealth(e.accepts, x.Gatherer())
}

// serveHealth serves the agent's health routes when its settings name an address for them.
func (a *Agent) serveHealth(address string, x *exporter.Agent) error {
	x.Observe(exporter.AgentState{Load: a.gate.Load, Connections: a.server.Connections})
	if address == "" {
		return nil
	}
	l, err := listen(address)
	if err != nil {
		return err
	}
	a.Health = l.Addr().String()
	a.health = httpserver.NewServer(httpserver.NewHealth(a.ready, x.Gatherer()))
	a.health.Start(l)
	return nil
}

func (a *Agent) ready() bool {
	_, draining := a.gate.Load()
	return !draining
}
