// Package runner assembles and runs the processes of the system from their settings.
package runner

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/claimer"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
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
	tree       *treeNode
	dispatcher *dispatcher.Dispatcher
	claims     *claimer.Claimer
	isolator   *isolator.Isolator
	// broadcasts takes the responses that wait for an exchange of evidence. Each channel is closed after its exchange.
	broadcasts chan chan<- struct{}
	platform   *platformclient.Client
	callers    *httpserver.Server
	operators  *httpserver.Server
	rollouts   *rollouts
	ready      atomic.Bool
	stopping   atomic.Bool
	linger     time.Duration
	period     time.Duration
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	guards     *guards
}

// StartEntry starts an entry. The caller must call Stop.
func StartEntry(s loader.Settings, log *logger.Logger) (*Entry, error) {
	b, err := newEntryBuilder(s, log)
	if err != nil {
		return nil, err
	}
	if err := b.joinTree(); err != nil {
		b.entry.cancel()
		b.entry.guards.stop()
		b.entry.clock.Close()
		return nil, err
	}
	b.buildDispatcher()
	err = b.buildCollector()
	b.startTasks()
	b.buildServers()
	if err == nil {
		err = b.entry.listen(s)
	}
	if err != nil {
		return nil, errors.Join(err, b.entry.Stop(context.Background()))
	}
	log.Emit(logger.ProcessStarted, "role", "entry", "name", s.Name, "callers", b.entry.Callers)
	return b.entry, nil
}

// Stop makes the entry not ready and continues to serve until the balancer has had time to notice. Then it accepts no new
// requests, waits for the open ones until ctx ends, and releases the resources of the process.
func (e *Entry) Stop(ctx context.Context) error {
	e.log.Emit(logger.DrainStarted)
	e.rollouts.release()
	err := e.drain(ctx)
	e.dispatcher.Close()
	e.claims.Close()
	e.cancel()
	e.tasks.Wait()
	e.guards.stop()
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

// followConfig passes each new configuration to the authenticator and its evacuated zones to the membership. The entry is ready once it
// has a configuration.
func (e *Entry) followConfig(ctx context.Context, config *configurator.Configurator, auth *authenticator.Authenticator, members *membership) {
	for {
		doc, changed := config.Watch()
		if doc.Revision() > 0 {
			auth.Adopt(doc)
			members.adoptEvacuated(doc)
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

func (e *Entry) startTask(f func()) { e.tasks.Go(f) }

// seed returns a hash of a name, so that each entry has a different random seed.
func seed(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
