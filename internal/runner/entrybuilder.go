package runner

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/claimer"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/persister"
	"github.com/mimosalb/mimosalb/internal/publisher"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/tracker"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// entryBuilder holds the components of an entry while it is assembled.
type entryBuilder struct {
	entry     *Entry
	settings  loader.Settings
	log       *logger.Logger
	ctx       context.Context
	pepper    []byte
	token     string
	peers     peerOptions
	config    *configurator.Configurator
	router    *router.Router
	store     *storer.Storer
	platform  *platformclient.Client
	members   *membership
	usage     *usage
	auth      *authenticator.Authenticator
	publisher *publisher.Publisher
	// editor stores the operators' edits. Unlike publisher, it calls the key-value service also while that counts as down,
	// because a person waits for the result.
	editor  *publisher.Publisher
	metrics *exporter.Entry
	planner *planner
}

// newEntryBuilder reads the secrets and creates the components that need no connection.
func newEntryBuilder(s loader.Settings, log *logger.Logger) (*entryBuilder, error) {
	pepper, err := readPepper(s.Pepper)
	if err != nil {
		return nil, err
	}
	token, err := readOperatorToken(s.Operator)
	if err != nil {
		return nil, err
	}
	clock := timer.NewSystem()
	peers, err := newPeerOptions(s.TLS, clock, log)
	if err != nil {
		clock.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	metrics := exporter.NewEntry()
	b := &entryBuilder{
		entry: &Entry{
			log: log, clock: clock, period: period(s), linger: time.Duration(s.Linger), cancel: cancel,
			guards:   newGuards(clock, log),
			isolator: &isolator.Isolator{}, broadcasts: make(chan chan<- struct{}),
			platform: platformclient.NewClient(s.Platform, clock, reportStatuses(log, metrics, "platform")),
		},
		settings: s, log: log, ctx: ctx, pepper: pepper, token: token, peers: peers,
		config:  &configurator.Configurator{},
		router:  router.NewRouter(router.WithSeed(seed(s.Name))),
		store:   storer.NewStorer(kvclient.NewDriver(s.Store, reportStatuses(log, metrics, "store")), clock),
		metrics: metrics,
	}
	e := b.entry
	b.platform = e.platform
	e.peers = rpcclient.NewClient(clock, peers.client...)
	b.members = &membership{
		clock: clock, log: log, peers: e.peers, zone: identifier.Zone(s.Zone), region: identifier.Region(s.Region),
		seed: seed(s.Name), tracker: &tracker.Tracker{}, router: b.router, config: b.config, period: period(s),
		probes: make(map[string]context.CancelFunc),
	}
	b.usage = newUsage(s, clock, log, b.store, e.platform, e.peers, b.config)
	return b, nil
}

// joinTree makes the entry a node of the relay tree, serves the calls of other nodes and creates the components that
// need the tree.
func (b *entryBuilder) joinTree() error {
	e := b.entry
	deps := treeNodeDependencies{
		clock: e.clock, log: b.log, config: b.config, platform: b.platform, clientOptions: b.peers.client,
		onVMList: func(vms []platformclient.VM) {
			b.members.adoptList(vms)
			b.usage.candidacy.observe(vms)
		},
	}
	if err := e.servePeers(b.settings, deps, append(b.peers.server, rpcserver.WithGuard(e.guards.peers))); err != nil {
		return err
	}
	b.members.assembler = e.tree.Assembler
	b.auth = authenticator.NewAuthenticator(authenticator.WithPepper(b.pepper),
		authenticator.WithFreshnessCheck(authenticator.FreshWithin(keyGrace(b.settings), e.tree.Age)))
	b.publisher = publisher.NewPublisher(b.store.WithPurpose(storer.PurposeConfig), codec.Documents{}, e.tree.Relay, e.clock)
	b.editor = publisher.NewPublisher(b.store.WithPurpose(storer.PurposeConfig).WithoutBackoff(), codec.Documents{}, e.tree.Relay, e.clock)
	return nil
}

// buildDispatcher creates the components that dispatch requests to targets, and the planner.
func (b *entryBuilder) buildDispatcher() {
	e, s := b.entry, b.settings
	settings := dispatcher.Settings{Zone: identifier.Zone(s.Zone), Region: identifier.Region(s.Region), Workers: s.Workers}
	e.claims = claimer.NewClaimer(b.store.WithPurpose(storer.PurposeClaim), codec.Claims{}, e.clock)
	agents := b.usage.meteredAgents(rpcclient.NewAgents(e.peers, b.members.maySend))
	e.dispatcher = dispatcher.NewDispatcher(settings, e.clock, agents, b.config, b.router,
		dispatcher.WithClaims(e.claims), dispatcher.WithIsolator(e.isolator), dispatcher.WithEvidenceHandler(e.broadcastEvidence),
		dispatcher.WithEndHandler(b.metrics.Ended), dispatcher.WithEndHandler(b.usage.countEnded), dispatcher.WithEndHandler(e.logHeld))
	b.planner = newPlanner(s, b.usage, b.store.WithPurpose(storer.PurposeOrder), b.log, b.members, b.config, e.dispatcher.Waiting)
}

// startTasks starts the relay tree node and the entry's background tasks.
func (b *entryBuilder) startTasks() {
	e := b.entry
	leases := leaser.NewLeaser(identifier.Node(b.settings.Name), b.store.WithPurpose(storer.PurposeLease), e.clock,
		leaser.WithEligible(func(identifier.Duty) bool { return e.tree.Candidate() }))
	e.tree.Start(b.publisher, leases)
	e.startTask(func() { e.followConfig(b.ctx, b.config, b.auth, b.members) })
	e.startTask(func() { b.members.run(b.ctx) })
	e.startTask(func() { e.shareEvidence(b.ctx, b.platform) })
	stored := persister.NewPersister(e.isolator, b.store.WithPurpose(storer.PurposeRun), codec.Jobs{}, e.clock, b.log)
	e.startTask(func() { stored.Run(b.ctx) })
	e.startTask(func() { e.watchFreshness(b.ctx, b.auth, period(b.settings)) })
	e.startTask(func() { b.usage.runFlusher(b.ctx) })
	e.startTask(func() { b.usage.runReporter(b.ctx) })
	e.startTask(func() { b.planner.run(b.ctx) })
	e.startTask(func() { e.leadWeights(b.ctx, b.config, b.usage.leaser, e.rollouts.weights) })
}

// buildServers creates the HTTP servers for callers and operators.
func (b *entryBuilder) buildServers() {
	e := b.entry
	b.metrics.Add(newRunMetrics(e.rollouts.collector.Statuses))
	health := e.exportState(b.metrics, b.config, b.members)
	e.callers = httpserver.NewServer(b.metrics.Listener("callers"),
		httpserver.NewHealth(e.accepts, nil), httpserver.NewCallerRoutes(e.dispatcher, b.auth, b.config),
		httpserver.NewTrainerRoutes(e.rollouts.collector, e.rollouts.weights, b.auth, b.config)).WithGuard(e.guards.callers)
	e.operators = httpserver.NewServer(b.metrics.Listener("operators"), health, httpserver.NewGuard(b.token),
		httpserver.NewOperatorRoutes(b.editor, b.config, b.pepper),
		httpserver.NewUsageRoutes(b.usage.reporter, b.usage.calendar), httpserver.NewTargetRoutes(b.planner),
		httpserver.NewEvacuationRoutes(b.editor, b.config, zoneStates{b.members})).WithGuard(e.guards.checks)
	for _, server := range []*httpserver.Server{e.callers, e.operators} {
		server.OnPanic(func(stack string) { b.log.Emit(logger.HandlerPanicked, "stack", stack) })
	}
}
