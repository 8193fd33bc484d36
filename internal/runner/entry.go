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

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
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

	log        *logger.Logger
	clock      *timer.System
	peers      *rpcclient.Client
	dispatcher *dispatcher.Dispatcher
	callers    *httpserver.Server
	operators  *httpserver.Server
	rollouts   *rollouts
	ready      atomic.Bool
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
	e := &Entry{log: log, clock: timer.NewSystem(), cancel: cancel}
	e.peers = rpcclient.NewClient(e.clock)

	config := &configurator.Configurator{}
	auth := authenticator.NewAuthenticator(authenticator.WithPepper(pepper))
	route := router.NewRouter(router.WithSeed(seed(s.Name)))
	store := storer.NewStorer(kvclient.NewDriver(s.Store), e.clock)
	publish := publisher.NewPublisher(store, codec.Form{}, config, e.clock)
	place := dispatcher.Settings{Zone: identifier.Zone(s.Zone), Region: identifier.Region(s.Region), Workers: s.Workers}
	e.dispatcher = dispatcher.NewDispatcher(place, e.clock, rpcclient.NewAgents(e.peers), config, route)

	m := &membership{
		clock: e.clock, log: log, peers: e.peers, platform: platformclient.NewClient(s.Platform, e.clock),
		tracker: &tracker.Tracker{}, router: route, period: period(s), probing: make(map[string]context.CancelFunc),
	}
	e.task(func() { publish.Follow(ctx) })
	e.task(func() { e.adopt(ctx, config, auth) })
	e.task(func() { m.run(ctx) })

	if err := e.startRollouts(ctx, s, store, config, m.tracker); err != nil {
		return nil, errors.Join(err, e.Stop(context.Background()))
	}
	metrics := prometheus.NewRegistry()
	metrics.MustRegister(newRunMetrics(e.rollouts.collector.Statuses))
	metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	health := httpserver.NewHealth(e.ready.Load, metrics)
	e.callers = httpserver.NewServer(health, httpserver.NewCallers(e.dispatcher, auth, config),
		httpserver.NewTrainers(e.rollouts.collector, e.rollouts.weights, auth, config))
	e.operators = httpserver.NewServer(health, httpserver.NewOperators(publish, config, pepper))
	if err := e.listen(s); err != nil {
		return nil, errors.Join(err, e.Stop(context.Background()))
	}
	log.Emit(logger.ProcessStarted, "role", "entry", "name", s.Name, "callers", e.Callers)
	return e, nil
}

// Stop takes no new requests, waits for the open ones until ctx ends, and ends the process's parts.
func (e *Entry) Stop(ctx context.Context) error {
	e.ready.Store(false)
	e.log.Emit(logger.DrainStarted)
	err := e.rollouts.stop()
	for _, srv := range []*httpserver.Server{e.callers, e.operators} {
		if srv != nil {
			err = errors.Join(err, srv.Stop(ctx))
		}
	}
	e.dispatcher.Close()
	e.cancel()
	e.tasks.Wait()
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
