package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/standin/engine"
	"github.com/mimosalb/mimosalb/internal/standin/platform"
	"github.com/mimosalb/mimosalb/internal/standin/service"
	"github.com/mimosalb/mimosalb/internal/standin/store"
	"github.com/mimosalb/mimosalb/internal/standin/weights"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// Standin is a running stand-in process, which simulates the platform and the back ends, each on its own address.
type Standin struct {
	Store    *store.Store
	Platform *platform.Platform
	Weights  *weights.Store
	Engines  map[string]*engine.Engine
	Services map[string]*service.Service
	// Addresses holds the listening address of "store", "platform" and each back end by name.
	Addresses map[string]string

	log     *logger.Logger
	clock   *timer.System
	servers map[string]*http.Server
	refused int
}

// StartStandin starts the stand-ins. The caller must call Stop.
func StartStandin(s loader.Standin, log *logger.Logger) (*Standin, error) {
	clock := timer.NewSystem()
	st := &Standin{
		Store:     store.NewStore(clock),
		Platform:  platform.NewPlatform(),
		Weights:   weights.NewStore(clock, s.WeightRate),
		Engines:   make(map[string]*engine.Engine),
		Services:  make(map[string]*service.Service),
		Addresses: make(map[string]string),
		log:       log,
		clock:     clock,
		servers:   make(map[string]*http.Server),
	}
	for _, vm := range s.VMs {
		st.Platform.AddVM(platform.VM(vm))
	}
	err := errors.Join(st.serve("store", s.Store, st.Store.Handler()), st.serve("platform", s.Platform, st.Platform.Handler()),
		st.serve("weights", s.Weights, st.Weights.Handler()))
	for _, t := range s.Engines {
		opts := []engine.Option{}
		if t.Token > 0 {
			opts = append(opts, engine.WithTokenTime(time.Duration(t.Token)))
		}
		st.Engines[t.Name] = engine.NewEngine(clock, opts...)
		err = errors.Join(err, st.serve(t.Name, t.Address, st.Engines[t.Name].Handler()))
	}
	for _, t := range s.Services {
		st.Services[t.Name] = &service.Service{}
		err = errors.Join(err, st.serve(t.Name, t.Address, st.Services[t.Name].Handler()))
	}
	if err != nil {
		return nil, errors.Join(err, st.Stop(context.Background()))
	}
	log.Emit(logger.ProcessStarted, "role", "standin", "store", st.Addresses["store"], "platform", st.Addresses["platform"])
	return st, nil
}

// Stop closes the stand-ins without draining them, like a failure of the platform.
func (s *Standin) Stop(context.Context) error {
	var err error
	for _, srv := range s.servers {
		err = errors.Join(err, srv.Close())
	}
	s.clock.Close()
	return err
}

// Refuse permanently closes the server of a stand-in, so that connections to it are refused.
func (s *Standin) Refuse(name string) error {
	srv, ok := s.servers[name]
	if !ok {
		return nil
	}
	delete(s.servers, name)
	s.refused++
	if err := srv.Close(); err != nil {
		return fmt.Errorf("close %s: %w", name, err)
	}
	return nil
}

// Refused returns how many stand-ins refuse connections.
func (s *Standin) Refused() int { return s.refused }

// standinHeaderTimeout limits the time to read a request header.
const standinHeaderTimeout = 5 * time.Second

// serve serves h on address, unless it is empty, and records the address under the name of the stand-in.
func (s *Standin) serve(name, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := listen(address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", name, err)
	}
	s.Addresses[name] = l.Addr().String()
	srv := &http.Server{Handler: h, ReadHeaderTimeout: standinHeaderTimeout}
	s.servers[name] = srv
	go func() { _ = srv.Serve(l) }()
	return nil
}
