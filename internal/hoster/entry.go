package hoster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/adapter/jobpeer"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/tallier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// FrontDependencies holds the collaborators of a Front.
type FrontDependencies struct {
	Navigator *navigator.Navigator
	Forwarder *forwarder.Forwarder
	Conductor *conductor.Conductor
	Clock     timer.Service
	Log       *logger.Logger
	// InTouch reports whether the key-value service was reached lately and the listings of targets have been read.
	InTouch func() bool
	Meter   Meter
	Sampler *logger.Sampler
}

const (
	// headerTime bounds the time in which a caller sends the head of a request, and idleTime the time for which its
	// connection may be idle.
	headerTime = 10 * time.Second
	idleTime   = time.Minute
	// headerBytes bounds the head of a request.
	headerBytes = 64 << 10
	// leaveTime is the least time for which a stopping entry goes on taking connections: the platform sends it no new
	// ones once it has found the entry not ready twice, a second apart.
	leaveTime = 2500 * time.Millisecond
	// quietTime is how long no new connection must have come before the listener is closed: one that waits to be accepted
	// at that moment would be reset.
	quietTime = 1200 * time.Millisecond
	// finishTime is the part of the grace time that is left at the end for the requests that an entry still has, and
	// stopMargin the part of it for the last writes.
	finishTime = 2500 * time.Millisecond
	stopMargin = time.Second
)

// Entry is a process that serves callers and leads batch jobs.
type Entry struct {
	base
	front     Front
	conductor *conductor.Conductor
	presence  *presence
	servers   []*http.Server
	peers     net.Listener
	client    *jobpeer.Client
	// relays pass the changes below a prefix on to other entries.
	relays map[string]*storer.ChangeBuffer
	// connected is the boot clock time of the last new connection.
	connected atomic.Int64
	cancel    context.CancelFunc
	running   sync.WaitGroup
	leave     context.CancelFunc
	attending sync.WaitGroup
	unexport  func()
}

// StartEntry starts an entry. newFront makes its interface to callers.
func StartEntry(s Settings, p Platform, newFront func(FrontDependencies) Front, o Observers) (*Entry, error) {
	e, log := &Entry{base: newBase(s, p, o)}, o.Log
	sampler := logger.NewSampler(e.clock, logger.DefaultLinesPerSecond)
	nav, reg, route := &navigator.Navigator{}, registrar.NewRegistrar(s.Regions), router.NewRouter(router.WithPolicy(router.NewCombined()))
	tally := tallier.NewTallier(
		meter.Calendar{Length: s.Window}, s.Node, e.incarnation, e.store.WithPurpose(storer.PurposeSeal), e.codec, e.clock, log)
	fwd := forwarder.NewForwarder(forwarder.Dependencies{
		Navigator: nav, Registrar: reg, Router: route, Caller: p.Targets, Opener: p.Targets, Counter: tally, Clock: e.clock,
		Zone: s.Zone, Region: s.Region,
	})
	e.client = jobpeer.NewClient(p.Dial, e.clock, log)
	e.relays = map[string]*storer.ChangeBuffer{
		p.PlanPrefix:   storer.NewChangeBuffer(e.clock, watchWait(e.Apply)+relayMargin),
		p.TargetPrefix: storer.NewChangeBuffer(e.clock, watchWait(e.Drain)+relayMargin),
	}
	e.conductor = conductor.NewConductor(conductor.Dependencies{
		Self: e.owner(), Recorder: recorder.NewRecorder(e.store.WithPurpose(storer.PurposeRun), e.codec), Navigator: nav, Registrar: reg, Router: route,
		Forwarder: fwd, Caller: p.Targets, Opener: p.Targets, Peers: e.client, Clock: e.clock, Log: log,
		Zone: s.Zone, Region: s.Region, Retention: s.Retention, ObserveAttempt: o.Metrics.Item, Sampler: sampler,
	})
	targets := &targetView{decoder: p.Decoder, registrar: reg, router: route, clock: e.clock, log: log, changed: e.conductor.WakeDispatcher}
	e.presence = newPresence(e.base)
	e.front = newFront(FrontDependencies{
		Navigator: nav, Forwarder: fwd, Conductor: e.conductor, Clock: e.clock, Log: log,
		InTouch: func() bool { return e.presence.inTouch() && targets.known.Load() },
		Meter:   o.Metrics, Sampler: sampler,
	})
	if err := e.serve(); err != nil {
		return nil, err
	}
	unexport, err := e.export(exporter.HostedState{
		Revision: func() identifier.Revision { return nav.Current().Revision() }, Leading: e.conductor.JobCount, Omitted: sampler.Omitted,
	})
	if err != nil {
		return nil, err
	}
	e.unexport = unexport
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	operators := &operatorView{decoder: p.Decoder, navigator: nav, log: log}
	e.running.Go(func() { e.followShared(ctx, p.PlanPrefix, 0, e.Apply, operators, source{e}, e.relays[p.PlanPrefix]) })
	e.running.Go(func() {
		e.followShared(ctx, p.TargetPrefix, e.Drain/settleShare, e.Drain, targets, source{e}, e.relays[p.TargetPrefix])
	})
	e.running.Go(func() {
		e.follow(ctx, recorder.NodePrefix, e.nodesSettle, nodesWithin, conductor.NewMembershipView(e.conductor, e.codec))
	})
	attending, leave := context.WithCancel(ctx)
	e.leave = leave
	e.attending.Go(func() { e.presence.attend(attending) })
	e.running.Go(func() { tally.Run(ctx) })
	e.running.Go(func() { e.expire(ctx, targets) })
	e.conductor.Start()
	log.Emit(logger.ProcessStarted, "node", s.Node, "callers", s.Callers, "peer", s.Peer, "incarnation", e.incarnation)
	return e, nil
}

// serve opens the listeners.
func (e *Entry) serve() error {
	ready := http.NewServeMux()
	ready.HandleFunc("/", e.front.Ready)
	for address, handler := range map[string]http.Handler{e.Callers: e.front, e.Ready: ready} {
		l, err := listen(address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes}
		if address == e.Callers {
			server.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					e.connected.Store(int64(e.clock.Boot()))
				}
			}
		}
		e.servers = append(e.servers, server)
		e.running.Go(func() { _ = server.Serve(l) }) // it returns when the server is shut down
	}
	l, err := listen(e.Peer)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", e.Peer, err)
	}
	e.peers = l
	e.running.Go(func() {
		if err := jobpeer.Serve(l, e.conductor, e.relays); err != nil {
			e.log.Emit(logger.PeerFailed, "error", err)
		}
	})
	return nil
}

// source is the entry of the region that reads changes for the others.
type source struct{ *Entry }

// Address returns that entry, unless it is this one.
func (s source) Address() (string, bool) {
	p, ok := s.conductor.RegionReader()
	return p.Address, ok && p.Owner != s.owner()
}

// Serves reports whether other entries read changes at this one.
func (s source) Serves() bool {
	p, ok := s.conductor.RegionReader()
	return ok && p.Owner == s.owner() && s.conductor.RegionPeerCount() > 0
}

// ReadChanges reads changes at an entry.
func (s source) ReadChanges(ctx context.Context, address, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, storer.Outcome) {
	return s.client.Changes(ctx, address, prefix, after, wait)
}

// nodesSettle returns the pause of the watch of the processes after a change. The process that gives the jobs of missing
// ones to others learns of each at once.
func (e *Entry) nodesSettle() time.Duration {
	if e.conductor.IsSweeper() {
		return 0
	}
	return nodesSettle
}

// expire drops targets whose listings did not come back in time.
func (e *Entry) expire(ctx context.Context, v *targetView) {
	ticks := e.clock.Every(time.Second)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			if v.registrar.Expire(e.clock.Boot()) {
				v.adopt()
			}
		case <-ctx.Done():
			return
		}
	}
}

// Stop stops the entry within its grace time: it hands its jobs over, lets callers go elsewhere and ends the requests
// that it has.
func (e *Entry) Stop(ctx context.Context) {
	began := e.clock.Boot()
	e.log.Emit(logger.DrainStarted, "grace", e.Grace)
	e.front.Drain()
	ctx, cancel := timer.WithTimeout(ctx, e.clock, e.Grace-stopMargin)
	defer cancel()
	e.leave()
	e.attending.Wait()
	e.presence.leave(ctx)
	e.conductor.Close(ctx)
	e.presence.revoke(ctx)
	e.quiet(ctx, began)
	for _, s := range e.servers {
		if err := s.Shutdown(ctx); err != nil {
			// A caller that is cut off ends no connection, so that this is no fault of the process.
			e.log.Emit(logger.ConnectionsCut, "address", s.Addr, "error", err)
			_ = s.Close() // the connections are dropped
		}
	}
	e.cancel()
	_ = e.peers.Close() // no reader is left
	e.running.Wait()
	e.unexport()
	e.log.Emit(logger.ProcessStopped, "took", e.clock.Boot()-began)
}

// quiet waits until callers open no more connections, as long as the grace time allows.
func (e *Entry) quiet(ctx context.Context, began time.Duration) {
	for {
		now := e.clock.Boot()
		wait := max(began+leaveTime, time.Duration(e.connected.Load())+quietTime) - now
		if wait = min(wait, began+e.Grace-finishTime-now); wait <= 0 || ctx.Err() != nil {
			return
		}
		timer.Wait(ctx, e.clock, wait)
	}
}
