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

// registerWeights registers the RPC receiver with which the agent of a model engine fetches and switches weights. Without
// a weight store in the settings it fetches chunks only from peers.
func (a *Agent) registerWeights(s loader.Settings, backEnd target, clientOptions []rpcclient.Option) error {
	engine, ok := backEnd.(*engineclient.Engine)
	if !ok {
		return nil
	}
	a.peers = rpcclient.NewClient(a.clock, clientOptions...)
	origin, peers := engineclient.NewOrigin(s.Weights, reportStatuses(a.log, a.metrics, "weights")), rpcclient.NewWeights(a.peers)
	receiver := rpcserver.NewWeights(&updater.ChunkCache{}, origin, peers, engine, a.executor.PinnedToOther, a.clock)
	if err := a.server.Register("Weights", receiver); err != nil {
		return fmt.Errorf("serve weights: %w", err)
	}
	return nil
}

// servicePollPeriod is the time between two checks for new model services.
const servicePollPeriod = time.Second

// leadWeights campaigns until ctx ends for the duty to lead the weight changes of each model service.
func (e *Entry) leadWeights(ctx context.Context, config *configurator.Configurator, duties *leaser.Leaser, l *updater.Leader) {
	campaigning := make(map[identifier.Service]bool)
	tick := e.clock.Every(servicePollPeriod)
	defer tick.Stop()
	for {
		for _, s := range config.Current().Services() {
			if s.Kind != configurator.Model || campaigning[s.Name] {
				continue
			}
			campaigning[s.Name] = true
			e.startTask(func() {
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
	for _, t := range f.tracker.View().Targets() {
		if t.Service == s {
			all = append(all, updater.Engine{
				Member:  updater.Member{Target: t.ID, Zone: t.Zone, Region: t.Region, Address: t.Address},
				Version: t.Version,
			})
		}
	}
	return all
}
