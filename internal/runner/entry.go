// Package runner builds the processes of the system from their settings.
package runner

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/claimer"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/publisher"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/tracker"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// Entry is a running entry process.
type Entry struct {
	// Callers, Operators and Peers are the addresses that the entry listens on.
	Callers   string
	Operators string
	Peers     string

	log        *logger.Logger
	clock      *timer.System
	peers      *rpcclient.Client
	tree       *tree
	dispatcher *dispatcher.Dispatcher
	claims     *claimer.Claimer
	isolator   *isolator.Isolator
	others     atomic.Pointer[[]string]
	callers    *httpserver.Server
	operators  *httpserver.Server
	ready      atomic.Bool
	stopping   atomic.Bool
	linger     time.Duration
	period     time.Duration
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
}

// StartEntry starts an entry. Stop ends it.
func StartEntry(s loader.Settings, log *logger.Logger) (*Entry, error) {
	pepper, err := readPepper(s.Pepper)
	if err != nil {
		return nil, err
	}
	token, err := operatorToken(s.Operator)
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
	e := &Entry{log: log, clock: clock, period: period(s), linger: time.Duration(s.Linger), cancel: cancel}
	e.peers = rpcclient.NewClient(e.clock, peers.client...)

	config := &configurator.Configurator{}
	route := router.NewRouter(router.WithSeed(seed(s.Name)))
	store := storer.NewStorer(kvclient.NewDriver(s.Store), e.clock)
	platform := platformclient.NewClient(s.Platform, e.clock)
	m := &membership{
		clock: e.clock, log: log, peers: e.peers, zone: identifier.Zone(s.Zone), region: identifier.Region(s.Region),
		seed: seed(s.Name), tracker: &tracker.Tracker{}, router: route, period: period(s),
		probing: make(map[string]context.CancelFunc),
	}
	use := newUsage(s, e.clock, log, store, e.peers, config)
	e.isolator = &isolator.Isolator{}
	parts := treeParts{
		clock: e.clock, log: log, config: config, platform: platform, calling: peers.client,
		listed: func(vms []platformclient.VM) {
			m.adopt(vms)
			use.candidacy.observe(vms)
		},
	}
	if err := e.servePeers(s, parts, peers.server); err != nil {
		cancel()
		e.clock.Close()
		return nil, err
	}
	m.reports = e.tree.Assembler
	auth := authenticator.NewAuthenticator(authenticator.WithPepper(pepper),
		authenticator.WithFresh(authenticator.Grace(keyGrace(s), e.tree.Age)))
	publish := publisher.NewPublisher(store.For(storer.PurposeConfig), codec.Form{}, e.tree.Relay, e.clock)
	leases := leaser.NewLeaser(identifier.Node(s.Name), store.For(storer.PurposeLease), e.clock,
		leaser.WithEligible(func(identifier.Duty) bool { return e.tree.Candidate() }))
	place := dispatcher.Settings{Zone: identifier.Zone(s.Zone), Region: identifier.Region(s.Region), Workers: s.Workers}
	metrics := exporter.NewEntry()
	e.claims = claimer.NewClaimer(store.For(storer.PurposeClaim), codec.ClaimForm{}, e.clock)
	e.dispatcher = dispatcher.NewDispatcher(place, e.clock, use.wrap(rpcclient.NewAgents(e.peers)), config, route,
		dispatcher.WithEnded(metrics.Ended), dispatcher.WithEnded(use.ended), dispatcher.WithClaims(e.claims),
		dispatcher.WithIsolator(e.isolator), dispatcher.WithHeld(e.warn))

	e.tree.Start(publish, leases)
	e.task(func() { e.adopt(ctx, config, auth) })
	e.task(func() { m.run(ctx) })
	e.task(func() { e.shareEvidence(ctx, platform) })
	e.task(func() { use.flush(ctx) })
	e.task(func() { use.report(ctx) })
	e.task(func() { e.watchFreshness(ctx, auth, period(s)) })
	order := newOrders(s, use, store.For(storer.PurposeOrder), log, m, config, e.dispatcher.Waiting)
	e.task(func() { order.run(ctx) })

	health := e.observe(metrics, config, m.tracker)
	e.callers = httpserver.NewServer(
		metrics.Listener("callers"), httpserver.NewHealth(e.accepts, nil), httpserver.NewCallers(e.dispatcher, auth, config))
	e.operators = httpserver.NewServer(metrics.Listener("operators"), health, httpserver.NewGuard(token),
		httpserver.NewOperators(publish, config, pepper), httpserver.NewUsageOperators(use.reporter, use.calendar),
		httpserver.NewTargetOperators(order))
	for _, server := range []*httpserver.Server{e.callers, e.operators} {
		server.OnPanic(func(stack string) { log.Emit(logger.HandlerPanicked, "stack", stack) })
	}
	if err := e.listen(s); err != nil {
		return nil, errors.Join(err, e.Stop(context.Background()))
	}
	log.Emit(logger.ProcessStarted, "role", "entry", "name", s.Name, "callers", e.Callers)
	return e, nil
}

// Stop first says that the entry is not ready and goes on until the balancer has noticed. Then it takes no new requests, waits
// for the open ones until ctx ends, and ends the process's parts.
func (e *Entry) Stop(ctx context.Context) error {
	e.log.Emit(logger.DrainStarted)
	err := e.drain(ctx)
	e.dispatcher.Close()
	e.claims.Close()
	e.cancel()
	e.tasks.Wait()
	err = errors.Join(err, e.tree.close())
	e.peers.Close()
	e.clock.Close()
	e.log.Emit(logger.ProcessStopped)
	return err
}

func (e *Entry) listen(s loader.Settings) error {
	callers, err := listen(s.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := listen(s.Operators)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	e.Callers, e.Operators = callers.Addr().String(), operators.Addr().String()
	e.callers.Start(callers)
	e.operators.Start(operators)
	return nil
}

// adopt hands each configuration to the parts that keep something of it. The entry is ready once it has one.
func (e *Entry) adopt(ctx context.Context, config *configurator.Configurator, auth *authenticator.Authenticator) {
	for {
		doc, changed := config.Watch()
		if doc.Revision() > 0 {
			auth.Adopt(doc)
			e.ready.Store(true)
			e.log.Emit(logger.ConfigAdopted, "revision", doc.Revision(), "preset", doc.Preset())
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) task(f func()) { e.tasks.Go(f) }

// seed derives a random seed from a name, so that each entry has its own.
func seed(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
