// Package runner builds the processes of the system from their settings.
package runner

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
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
	// Callers and Operators are the addresses that the entry listens on.
	Callers   string
	Operators string
	// Peers is the address at which other entries reach this one.
	Peers string

	log        *logger.Logger
	clock      *timer.System
	peers      *rpcclient.Client
	dispatcher *dispatcher.Dispatcher
	claims     *claimer.Claimer
	isolator   *isolator.Isolator
	list       *platformclient.Client
	server     *rpcserver.Server
	callers    *httpserver.Server
	operators  *httpserver.Server
	ready      atomic.Bool
	stopping   atomic.Bool
	period     time.Duration
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
}

// StartEntry starts an entry. Stop ends it.
func StartEntry(s loader.Settings, log *logger.Logger) (*Entry, error) {
	pepper, err := os.ReadFile(s.Pepper)
	if err != nil {
		return nil, fmt.Errorf("read pepper: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{log: log, clock: timer.NewSystem(), period: period(s), cancel: cancel}
	e.peers = rpcclient.NewClient(e.clock)

	config := &configurator.Configurator{}
	auth := authenticator.NewAuthenticator(authenticator.WithPepper(pepper))
	route := router.NewRouter(router.WithSeed(seed(s.Name)))
	store := storer.NewStorer(kvclient.NewDriver(s.Store), e.clock)
	publish := publisher.NewPublisher(store, codec.Form{}, config, e.clock)
	place := dispatcher.Settings{Zone: identifier.Zone(s.Zone), Region: identifier.Region(s.Region), Workers: s.Workers}
	e.claims = claimer.NewClaimer(store, codec.ClaimForm{}, e.clock)
	e.isolator = &isolator.Isolator{}
	e.dispatcher = dispatcher.NewDispatcher(place, e.clock, rpcclient.NewAgents(e.peers), config, route,
		dispatcher.WithClaims(e.claims), dispatcher.WithIsolator(e.isolator),
		dispatcher.WithHeld(e.warn), dispatcher.WithEnded(e.logHeld))

	m := &membership{
		clock: e.clock, log: log, peers: e.peers, platform: platformclient.NewClient(s.Platform, e.clock),
		tracker: &tracker.Tracker{}, router: route, period: period(s), probing: make(map[string]context.CancelFunc),
	}
	e.list = m.platform
	e.task(func() { publish.Follow(ctx) })
	e.task(func() { e.adopt(ctx, config, auth) })
	e.task(func() { m.run(ctx) })
	e.task(func() { e.shareEvidence(ctx, m.platform) })

	metrics := prometheus.NewRegistry()
	metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	health := httpserver.NewHealth(e.accepts, metrics)
	e.callers = httpserver.NewServer(health, httpserver.NewCallers(e.dispatcher, auth, config))
	e.operators = httpserver.NewServer(health, httpserver.NewOperators(publish, config, pepper))
	if err := e.listen(s); err != nil {
		return nil, errors.Join(err, e.Stop(context.Background()))
	}
	log.Emit(logger.ProcessStarted, "role", "entry", "name", s.Name, "callers", e.Callers)
	return e, nil
}

// Stop takes no new requests, waits for the open ones until ctx ends, and ends the process's parts.
func (e *Entry) Stop(ctx context.Context) error {
	e.log.Emit(logger.DrainStarted)
	err := e.drain(ctx)
	e.dispatcher.Close()
	e.claims.Close()
	e.cancel()
	e.tasks.Wait()
	err = errors.Join(err, e.closePeers())
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
	if err := e.servePeers(s); err != nil {
		return errors.Join(err, callers.Close(), operators.Close())
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
