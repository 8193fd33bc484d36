package runner

import (
	"fmt"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/collector"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/scheduler"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/tracker"
	"github.com/mimosalb/mimosalb/internal/updater"
)

const (
	// versionCacheTTL is how long fleet uses the computed versions before it reads the view again.
	versionCacheTTL = 100 * time.Millisecond
)

// rollouts holds the components of an entry that serve training runs.
type rollouts struct {
	collector *collector.Collector
	weights   *updater.Leader
}

// buildCollector creates the components that serve training runs and registers the RPC receiver for other entries' calls
// about them.
func (b *entryBuilder) buildCollector() error {
	e := b.entry
	workers := b.settings.Workers
	if workers <= 0 {
		workers = dispatcher.DefaultWorkers
	}
	// Rollouts use at most their share of the entry's workers, so that callers' requests find a free one.
	workers = max(1, int(configurator.DefaultRolloutShare*float64(workers)))
	store := b.store.WithPurpose(storer.PurposeRun)
	var c *collector.Collector
	duties := leaser.NewLeaser(identifier.Node(b.settings.Name), b.store.WithPurpose(storer.PurposeLease), e.clock,
		leaser.WithEligible(func(d identifier.Duty) bool { return c.MayLead(d) }))
	f := &fleet{clock: e.clock, config: b.config, tracker: b.members.tracker, router: b.router}
	f.weights = updater.NewLeader(store, codec.Rollouts{}, f, rpcclient.NewWeights(e.peers), e.clock)
	settings := collector.Settings{Address: e.Peers, Region: identifier.Region(b.settings.Region), Workers: workers}
	c = collector.NewCollector(settings,
		store, codec.Rollouts{}, e.clock, duties, e.dispatcher, rpcclient.NewOwners(e.peers), f)
	e.rollouts = &rollouts{collector: c, weights: f.weights}
	if err := e.tree.server.Register("Runs", rpcserver.NewRuns(c)); err != nil {
		return fmt.Errorf("serve runs: %w", err)
	}
	return nil
}

// release gives up the owned training runs, so that another entry can take them over at once.
func (r *rollouts) release() {
	if r != nil {
		r.collector.Close()
	}
}

// fleet gives the collector and the updater the entry's view of the engines.
type fleet struct {
	clock   timer.Service
	config  *configurator.Configurator
	tracker *tracker.Tracker
	router  *router.Router
	weights *updater.Leader

	mu             sync.Mutex
	versions       map[identifier.Service]versionBounds
	versionsReadAt time.Duration
}

// versionBounds holds the oldest and the newest weight version among the serving engines of a service.
type versionBounds struct{ oldest, newest identifier.Version }

// Request returns the request that runs a rollout, and false if the service of the run is not a model service.
func (f *fleet) Request(s collector.Spec, t collector.Task) (dispatcher.Request, bool) {
	doc := f.config.Current()
	service, ok := doc.Service(s.Service)
	if !ok || service.Kind != configurator.Model {
		return dispatcher.Request{}, false
	}
	r := dispatcher.Request{
		ID:       identifier.NewRequest(),
		Identity: authenticator.Identity{Team: s.Team, Caller: identifier.Caller(s.Run.Duty())},
		Service:  service,
		Regions:  s.Scope.Regions,
		Rollout:  true,
		Call:     executor.Call{Service: s.Service, Team: s.Team, Adapter: s.Adapter, Prompt: t.Prompt.Text, Limit: t.Prompt.Limit},
		Expected: t.Prompt.Limit,
	}
	if service.Scoring && doc.Rule().Training {
		r.Class = scheduler.ClassScoring
	}
	return r, true
}

// Regions returns where the requests of a run may be served by the present configuration; false while there is none.
func (f *fleet) Regions(s collector.Spec) (confiner.Regions, bool) {
	doc := f.config.Current()
	return doc.Regions(s.Service, s.Team), doc.Revision() > 0
}

// Serves reports whether a target of a service is in one of the regions.
func (f *fleet) Serves(s identifier.Service, r confiner.Regions) bool {
	return f.router.View().ServesIn(s, r)
}

// Versions returns the oldest and the newest weight version among the serving engines of a service, and as due the newest
// version that is announced or served.
func (f *fleet) Versions(s identifier.Service) (oldest, newest, due identifier.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.clock.Monotonic(); f.versions == nil || now-f.versionsReadAt >= versionCacheTTL {
		f.refresh()
		f.versionsReadAt = now
	}
	v := f.versions[s]
	return v.oldest, v.newest, max(v.newest, f.weights.Announced(s))
}

func (f *fleet) refresh() {
	f.versions = make(map[identifier.Service]versionBounds)
	for _, t := range f.tracker.View().Targets() {
		if t.Version == 0 {
			continue
		}
		v := f.versions[t.Service]
		if v.oldest == 0 || t.Version < v.oldest {
			v.oldest = t.Version
		}
		v.newest = max(v.newest, t.Version)
		f.versions[t.Service] = v
	}
}
