package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/engineclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/updater"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// registerWeights lets an agent of a model engine fetch and switch weights. Without a weight store in the settings it
// takes chunks from peers only.
func (a *Agent) registerWeights(s loader.Settings, back target, calling []rpcclient.Option) error {
	engine, ok := back.(*engineclient.Engine)
	if !ok {
		return nil
	}
	a.peers = rpcclient.NewClient(a.clock, calling...)
	origin, peers := engineclient.NewOrigin(s.Weights), rpcclient.NewWeights(a.peers)
	receiver := rpcserver.NewWeights(&updater.ChunkCache{}, origin, peers, engine, a.runs.PinnedToOther, a.clock)
	if err := a.server.Register("Weights", receiver); err != nil {
		return fmt.Errorf("serve weights: %w", err)
	}
	return nil
}

// leadPeriod is the time between two looks for services whose weights need a leader.
const leadPeriod = time.Second

// leadWeights campaigns for the weights of each model service until ctx ends.
func (e *Entry) leadWeights(ctx context.Context, config *configurator.Configurator, duties *leaser.Leaser, l *updater.Leader) {
	known := make(map[identifier.Service]bool)
	tick := e.clock.Every(leadPeriod)
	defer tick.Stop()
	for {
		for _, s := range config.Current().Services() {
			if s.Kind != configurator.Model || known[s.Name] {
				continue
			}
			known[s.Name] = true
			e.task(func() {
				duties.Campaign(ctx, updater.Duty(s.Name), func(ctx context.Context, t leaser.Term) { l.Lead(ctx, s.Name, t.Fence) })
			})
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// Engines lists the serving engines of a service.
func (f *fleet) Engines(s identifier.Service) []updater.Engine {
	var all []updater.Engine
	for _, t := range f.members.View().Targets() {
		if t.Service == s {
			all = append(all, updater.Engine{
				Member:  updater.Member{Target: t.ID, Zone: t.Zone, Region: t.Region, Address: t.Address},
				Version: t.Version,
			})
		}
	}
	return all
}
