package hoster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/guardedconn"
	"github.com/mimosalb/mimosalb/internal/adapter/jobpeer"
	"github.com/mimosalb/mimosalb/internal/attributor"
	"github.com/mimosalb/mimosalb/internal/broadcaster"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/interpreter"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/persister"
	"github.com/mimosalb/mimosalb/internal/rationer"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/reserver"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/tallier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// FrontDependencies holds the dependencies of a Front.
type FrontDependencies struct {
	Navigator *navigator.Navigator
	Forwarder *forwarder.Forwarder
	Conductor *conductor.Conductor
	Clock     timer.Service
	Log       *logger.Logger
	// Synced reports whether the key-value service was reached recently and the listings of targets have been read.
	Synced  func() bool
	Meter   Meter
	Sampler *logger.Sampler
	// Bodies is the memory in which large bodies of callers are read.
	Bodies *reserver.Reserver
}

const (
	// bodyMemoryDivisor divides three parts of the memory of the process to give the part in which large bodies and jobs are read.
	// jobMemoryDivisor divides it to give the part for the large jobs that this process leads, and answerMemoryDivisor that for
	// the beginnings of larger answers. The rest is for what guards bound, for everything else and for what the collector has not
	// freed yet.
	bodyMemoryDivisor   = 8
	jobMemoryDivisor    = 4
	answerMemoryDivisor = 16
)

const (
	// headerTimeout bounds the time for reading the header of a request. idleTimeout bounds the time for which a
	// connection may be idle.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// minAcceptTime is the shortest time for which a stopping entry still accepts connections. The platform sends it no
	// new ones after two failed readiness checks, a second apart.
	minAcceptTime = 2500 * time.Millisecond
	// noConnectionPeriod is the time without a new connection after which the listener is closed. A connection that waits to be
	// accepted at that moment would be reset.
	noConnectionPeriod = 1200 * time.Millisecond
	// finishMargin is the part of the grace time that is reserved for finishing requests. stopMargin is the part
	// at its very end that is reserved for the last writes.
	finishMargin = 2500 * time.Millisecond
	stopMargin   = time.Second
	// answerMargin is the time for sending the answer of a request whose time is up.
	answerMargin = 200 * time.Millisecond
)

// Entry is a process that serves callers and leads batch jobs.
type Entry struct {
	base
	front     Front
	forwarder *forwarder.Forwarder
	conductor *conductor.Conductor
	observer  *isolator.Observer
	limiter   *limiter.Limiter
	rationer  *rationer.Rationer
	// allotter allots the permits for the limited targets that this process is responsible for.
	allotter limiter.Allotter
	// cold knows which targets are cold, and starts asks targets for their starts.
	cold   *coldTargets
	starts startObserver
	// targets are the listed targets, departures those that said that they leave.
	targets    *targetView
	placer     *itemPlacer
	departures registrar.Departures
	// evacuator holds the orders to evacuate zones; it is nil if evacuation is switched off.
	evacuator *evacuator.Evacuator
	stranded  *strandedServices
	// leaving asks targets that leave for their present start.
	leaving  startQueue
	origins  *attributor.Attributor
	presence *presence
	relay    relay
	servers  []*http.Server
	peers    net.Listener
	client   *jobpeer.Client
	// changeBuffers buffer changes for other entries, by key prefix.
	changeBuffers map[string]*storer.ChangeBuffer
	// lastConnection is the monotonic time of the last new connection of a caller.
	lastConnection atomic.Int64
	cancel         context.CancelFunc
	running        sync.WaitGroup
	// stopRegistering ends the renewal of the registration, which registering waits for.
	stopRegistering context.CancelFunc
	registering     sync.WaitGroup
	stopMetrics     func()
}

// errSharedAddress is the error of an entry whose listeners have the same address.
var errSharedAddress = errors.New("callers, readiness checks and peers need different addresses")

// StartEntry starts an entry. newFront creates its Front.
func StartEntry(s Settings, p Platform, newFront func(FrontDependencies) Front, o Observers) (*Entry, error) {
	if s.Callers == s.Ready || s.Callers == s.Peer || s.Ready == s.Peer {
		// One handler would answer for the other: a readiness check accepts every request.
		return nil, fmt.Errorf("start entry at %s, %s and %s: %w", s.Callers, s.Ready, s.Peer, errSharedAddress)
	}
	e, log := &Entry{base: newBase(s, p, o)}, o.Log
	e.useRelay(p.KeyValue)
	sampler := logger.NewSampler(e.clock, logger.DefaultLinesPerSecond)
	e.evacuator = newEvacuator(s)
	nav, reg := &navigator.Navigator{}, registrar.NewRegistrar(s.Regions).WithDepartures(&e.departures).WithEvacuator(e.evacuator)
	e.stranded = &strandedServices{registrar: reg, log: log}
	placer, policy := newPlacer(e)
	route := router.NewRouter(router.WithPolicy(policy))
	e.placer, placer.router, placer.registrar = placer, route, reg
	tally := tallier.NewTallier(
		meter.Calendar{Length: s.Window}, s.Node, e.incarnation, e.relay.direct.WithPurpose(storer.PurposeSeal), e.codec, e.clock, log)
	e.observer = isolator.NewObserver()
	e.limiter = limiter.NewLimiter(permitSource{e}, e.clock, func() { e.conductor.TriggerAssignment() })
	if s.BySlack {
		e.rationer = rationer.NewRationer(e.clock)
	}
	cold := newColdTargets(s.ColdBound, e.limiter, e.clock, log)
	starts := startObserver{StartReader: startGate{StartReader: p.Targets, evacuator: e.evacuator}, cold: cold}
	e.cold, e.starts = cold, starts
	e.leaving = newStartQueue(starts, &e.departures, e.clock, func() { e.targets.update(nil) })
	calls := interpreter.NewInterpreter(p.Targets, e.clock, log, interpreter.WithLimiter(e.limiter),
		interpreter.WithDepartures(&e.departures, e.leaving.add), interpreter.WithEvacuator(e.evacuator),
		interpreter.WithRestarts(cold.restarted), interpreter.WithFaults(cold.failed))
	e.client = jobpeer.NewClient(p.Dial, e.clock, log)
	origins := attributor.NewStoreArchive(e.store.WithPurpose(storer.PurposeRun), e.codec, e.clock, log, s.Node, e.incarnation)
	e.origins = attributor.NewAttributor(origins, originPeer{e}, e.clock)
	fwd := forwarder.NewForwarder(forwarder.Dependencies{
		Navigator: nav, Registrar: reg, Router: route, TargetClient: calls, Opener: p.Targets, Starts: starts, Origins: e.origins,
		Counter: tally, Observer: e.observer, Limiter: e.limiter, Rationer: e.rationer, Clock: e.clock, Zone: s.Zone, Region: s.Region,
		Estimator: placer.estimator, Evacuator: e.evacuator,
		Answers: reserver.NewReserver(s.Memory / answerMemoryDivisor),
	})
	e.changeBuffers = e.newChangeBuffers()
	e.forwarder = fwd
	bodies := reserver.NewReserver(3 * s.Memory / bodyMemoryDivisor)
	e.presence = newPresence(e.base)
	e.observer.Listed = e.presence.storeReached
	e.conductor = conductor.NewConductor(conductor.Dependencies{
		Self: e.owner(), Recorder: recorder.NewRecorder(e.store.WithPurpose(storer.PurposeRun), e.codec), Navigator: nav, Registrar: reg, Router: route,
		Forwarder: fwd, Caller: calls, Opener: p.Targets, Peers: e.client, Clock: e.clock, Log: log,
		Zone: s.Zone, Region: s.Region, Retention: s.Retention, ObserveAttempt: o.Metrics.Item, Sampler: sampler,
		StoreReached: e.presence.reachedJustNow, BySlack: s.BySlack, JobMemory: s.Memory / jobMemoryDivisor, Bodies: bodies,
		Stranded:  e.stranded.contains,
		Estimator: placer.estimator, Shape: p.Shape,
	})
	e.targets = &targetView{
		departures: &e.departures, availability: e.availability,
		decoder: p.Decoder, registrar: reg, router: route, clock: e.clock, log: log,
		cold: cold, onAdopt: e.limiter.Retain, onChange: func() {
			e.stranded.check()
			e.conductor.TriggerAssignment()
		},
		onEnd: func(l registrar.Listing) { e.observer.TargetEnded(l.ID, l.Incarnation, e.clock.Now()) },
	}
	e.front = newFront(FrontDependencies{
		Navigator: nav, Forwarder: fwd, Conductor: e.conductor, Clock: e.clock, Log: log,
		Synced: func() bool { return e.presence.storeReached() && e.targets.synced.Load() && e.evacuator.Synced() },
		Meter:  o.Metrics, Sampler: sampler, Bodies: bodies,
	})
	if err := e.serve(); err != nil {
		return nil, err
	}
	stopMetrics, err := e.serveMetrics(e.state(nav, sampler))
	if err != nil {
		return nil, err
	}
	e.stopMetrics = stopMetrics
	e.startBackground(&operatorView{decoder: p.Decoder, navigator: nav, log: log, onPlan: e.targets.replan}, tally)
	e.conductor.Start()
	log.Emit(logger.ProcessStarted, "node", s.Node, "callers", s.Callers, "peer", s.Peer, "incarnation", e.incarnation)
	return e, nil
}

// newChangeBuffers returns the buffers in which this entry keeps the changes that it reads for others, by key prefix.
func (e *Entry) newChangeBuffers() map[string]*storer.ChangeBuffer {
	p := e.platform
	buffers := map[string]*storer.ChangeBuffer{
		p.PlanPrefix:   storer.NewChangeBuffer(e.clock, watchWait(e.Apply)+bufferAgeMargin),
		p.TargetPrefix: storer.NewChangeBuffer(e.clock, watchWait(e.Drain)+bufferAgeMargin),
	}
	if e.evacuator != nil {
		buffers[p.EvacuationPrefix] = storer.NewChangeBuffer(e.clock, watchWait(e.evacuationDelay())+bufferAgeMargin)
	}
	return buffers
}

// startBackground follows the key-value service and starts the periodic work, until the entry stops.
func (e *Entry) startBackground(operators *operatorView, tally *tallier.Tallier) {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	p := e.platform
	e.running.Go(func() {
		e.followShared(ctx, p.PlanPrefix, 0, e.Apply, operators, regionReader{e}, e.changeBuffers[p.PlanPrefix])
	})
	e.running.Go(func() {
		e.followShared(ctx, p.TargetPrefix, e.Drain/batchDelayDivisor, e.Drain, e.targets, regionReader{e}, e.changeBuffers[p.TargetPrefix])
	})
	if e.evacuator != nil {
		e.running.Go(func() {
			e.followShared(ctx, p.EvacuationPrefix, 0, e.evacuationDelay(), e.zoneView(p.Decoder), regionReader{e}, e.changeBuffers[p.EvacuationPrefix])
		})
	}
	e.running.Go(func() {
		e.follow(ctx, recorder.NodePrefix, e.batchDelay, membershipDelay, conductor.NewMembershipView(e.conductor, e.codec))
	})
	registerCtx, stopRegistering := context.WithCancel(ctx)
	e.stopRegistering = stopRegistering
	e.registering.Go(func() { e.presence.keepRegistered(registerCtx) })
	e.running.Go(func() { tally.Run(ctx) })
	residency := residencyReport{navigator: operators.navigator, router: e.targets.router, log: e.log, synced: e.targets.synced.Load}
	e.running.Go(func() { e.expireListings(ctx, e.targets, &residency) })
	e.running.Go(func() { e.limiter.Run(ctx) })
	e.running.Go(func() { e.leaving.run(ctx) })
	e.running.Go(func() { e.cold.run(ctx, e.starts) })
	crashes := broadcaster.NewBroadcaster(e.observer, e.conductor.OtherMembers, e.client.Inform, e.clock)
	e.running.Go(func() { crashes.Run(ctx) })
	departures := broadcaster.NewBroadcaster(departureSource{e}, e.conductor.OtherMembers, e.client.NotifyDepartures, e.clock)
	e.running.Go(func() { departures.Run(ctx) })
	limits := broadcaster.NewBroadcaster(e.limiter, e.conductor.OtherMembers, e.client.NotifyLimits, e.clock)
	e.running.Go(func() { limits.Run(ctx) })
	if e.BySlack {
		e.shareLoads(ctx)
	}
	stored := persister.NewPersister(e.observer.Isolator, e.relay.direct.WithPurpose(storer.PurposeRun), e.codec, e.clock, e.log)
	e.running.Go(func() { stored.Run(ctx) })
	e.running.Go(func() { e.origins.Run(ctx) })
	e.placer.start(ctx)
}

// serve opens the listeners for callers, readiness checks and peers, and serves them.
func (e *Entry) serve() error {
	ready := http.NewServeMux()
	ready.HandleFunc("/", e.front.Ready)
	for address, handler := range map[string]http.Handler{e.Callers: e.front, e.Ready: ready} {
		l, err := listen(address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		server, guard := newServer(address, handler), e.guards.checks
		if address == e.Callers {
			server.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					e.lastConnection.Store(int64(e.clock.Monotonic()))
				}
			}
			guard = e.guards.callers
		}
		guardedconn.Guard(server)
		guarded := guardedconn.NewListener(l, guard)
		e.servers = append(e.servers, server)
		e.running.Go(func() { _ = server.Serve(guarded) }) // returns when the server is shut down
	}
	l, err := listen(e.Peer)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", e.Peer, err)
	}
	e.peers = l
	e.running.Go(func() {
		services := jobpeer.Services{
			Jobs: e.conductor, Buffers: e.changeBuffers, Isolator: e.observer.Isolator, Allotter: permitSource{e},
			Limiter: e.limiter, Departures: departureSource{e}, Placements: e.placer, Usage: e.usageTaker(), Attributor: e.origins, Clock: e.clock,
			Relays: e.relay.executor,
		}
		if err := jobpeer.Serve(guardedconn.NewListener(l, e.guards.peers), services); err != nil {
			e.log.Emit(logger.PeerFailed, "error", err)
		}
	})
	return nil
}

// regionReader is the storer.Source of an entry: the entry that reads changes for all entries of the region.
type regionReader struct{ *Entry }

// Address returns the address of the region's reader, unless it is this entry.
func (s regionReader) Address() (string, bool) {
	p, ok := s.conductor.RegionReader()
	return p.Address, ok && p.Owner != s.owner()
}

// ServesPeers reports whether other entries read changes at this one.
func (s regionReader) ServesPeers() bool {
	p, ok := s.conductor.RegionReader()
	return ok && p.Owner == s.owner() && s.conductor.RegionPeerCount() > 0
}

// ReadChanges reads changes at the entry with the given address.
func (s regionReader) ReadChanges(
	ctx context.Context, address, prefix string, after int64, wait time.Duration,
) ([]storer.Change, int64, storer.Outcome) {
	return s.client.Changes(ctx, address, prefix, after, wait)
}

// batchDelay returns the pause of the watch of the processes after a change. It is zero for the sweeper, which
// reassigns the jobs of missing processes.
func (e *Entry) batchDelay() time.Duration {
	if e.conductor.IsSweeper() {
		return 0
	}
	return membershipBatchDelay
}

// expiryCheckPeriod is the time between two checks for targets whose listings did not return in time.
const expiryCheckPeriod = time.Second

// expireListings removes targets whose listings were lost and did not return in time, and checks each new plan against the listings.
func (e *Entry) expireListings(ctx context.Context, v *targetView, r *residencyReport) {
	ticks := e.clock.Every(expiryCheckPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			v.expire()
			r.check()
		case <-ctx.Done():
			return
		}
	}
}

// Stop stops the entry within its grace time. It hands over its batch jobs, waits until callers connect to other
// entries and finishes the open requests.
func (e *Entry) Stop(ctx context.Context) {
	began := e.clock.Monotonic()
	e.log.Emit(logger.DrainStarted, "grace", e.Grace)
	e.front.Drain()
	e.forwarder.StopBy(began+minAcceptTime, began+e.Grace-stopMargin-answerMargin)
	ctx, cancel := timer.WithTimeout(ctx, e.clock, e.Grace-stopMargin)
	defer cancel()
	e.stopRegistering()
	e.registering.Wait()
	e.presence.announceLeaving(ctx)
	e.conductor.Close(ctx)
	e.presence.revoke(ctx)
	e.awaitNoConnections(ctx, began)
	for _, s := range e.servers {
		if err := s.Shutdown(ctx); err != nil {
			// A caller that has lost its network closes no connection, so this is not a fault of the process.
			e.log.Emit(logger.ConnectionsCut, "address", s.Addr, "error", err)
			_ = s.Close() // the connections are cut anyway
		}
	}
	e.cancel()
	_ = e.peers.Close() // the listener is not used again
	e.guards.stop()     // ends the wait of a listener for room
	e.running.Wait()
	e.relay.close()
	e.stopMetrics()
	e.log.Emit(logger.ProcessStopped, "took", e.clock.Monotonic()-began)
}

// awaitNoConnections waits until callers open no more connections, as long as the grace time allows.
func (e *Entry) awaitNoConnections(ctx context.Context, began time.Duration) {
	for {
		now := e.clock.Monotonic()
		wait := max(began+minAcceptTime, time.Duration(e.lastConnection.Load())+noConnectionPeriod) - now
		if wait = min(wait, began+e.Grace-finishMargin-now); wait <= 0 || ctx.Err() != nil {
			return
		}
		timer.Wait(ctx, e.clock, wait)
	}
}
