package updater

import (
	"bytes"
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// roundPeriod is the interval of the checks for new weights and for engines without them.
	roundPeriod = time.Second
	// roundLimit bounds one round of a change; the next round begins with the engines that are listed then.
	roundLimit = 30 * time.Second
)

// Store is the part of the key-value service that weight changes use.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
}

// Codec encodes and decodes stored manifests.
type Codec interface {
	EncodeManifest(m Manifest) []byte
	DecodeManifest(s identifier.Service, data []byte) (Manifest, error)
}

// Engine is a member with the version that its engine reported last; zero when it has reported none.
type Engine struct {
	Member

	Version identifier.Version
}

// Fleet lists the engines of a service.
type Fleet interface {
	Engines(s identifier.Service) []Engine
}

// Leader announces weights. While its process holds the duty of a service, it changes the engines to them.
type Leader struct {
	store       Store
	codec       Codec
	fleet       Fleet
	coordinator *Coordinator
	clock       timer.Service
	announced   container.Table[container.Updater, identifier.Service, identifier.Version]
}

// NewLeader returns a Leader for the engines of a fleet.
func NewLeader(store Store, codec Codec, fleet Fleet, agents Agents, clock timer.Service) *Leader {
	return &Leader{store: store, codec: codec, fleet: fleet, coordinator: NewCoordinator(agents, clock), clock: clock}
}

// Duty returns the duty of the leader of a service's weights.
func Duty(s identifier.Service) identifier.Duty { return identifier.Duty("weights-" + string(s)) }

// Announced returns the latest announced version of a service that this process knows; zero when it knows none.
func (l *Leader) Announced(s identifier.Service) identifier.Version {
	v, _ := l.announced.Get(s)
	return v
}

// Announce stores the manifest of new weights. It returns Conflict unless the version is higher than the stored one;
// announcing the same manifest again succeeds.
func (l *Leader) Announce(ctx context.Context, m Manifest) storer.Outcome {
	before, out := l.store.Get(ctx, weightsKey(m.Service))
	if out != storer.Applied {
		return out
	}
	value := l.codec.EncodeManifest(m)
	if bytes.Equal(before.Value, value) {
		return storer.Applied
	}
	if before.Changed != 0 {
		if last, err := l.codec.DecodeManifest(m.Service, before.Value); err != nil || last.Version >= m.Version {
			return storer.Conflict
		}
	}
	out = l.store.Commit(ctx, storer.Transaction{}.
		WithGuard(weightsKey(m.Service), before.Changed).WithPut(weightsKey(m.Service), value, 0))
	if out == storer.Applied {
		l.recordAnnounced(m)
	}
	return out
}

func (l *Leader) recordAnnounced(m Manifest) {
	l.announced.Update(m.Service, func(old identifier.Version, _ bool) (identifier.Version, bool) { return max(old, m.Version), true })
}

// Lead changes every engine of a service to the announced weights, engines that start later included, until ctx ends.
func (l *Leader) Lead(ctx context.Context, s identifier.Service, fence identifier.Fence) {
	tick := l.clock.Every(roundPeriod)
	defer tick.Stop()
	for {
		l.runRound(ctx, s, fence)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// runRound runs one round of a change if an engine has not reported the announced version.
func (l *Leader) runRound(ctx context.Context, s identifier.Service, fence identifier.Fence) {
	e, out := l.store.Get(ctx, weightsKey(s))
	if out != storer.Applied || e.Changed == 0 {
		return
	}
	m, err := l.codec.DecodeManifest(s, e.Value)
	if err != nil {
		return
	}
	l.recordAnnounced(m)
	engines := l.fleet.Engines(s)
	members := make([]Member, 0, len(engines))
	targets := make([]identifier.Target, 0, len(engines))
	for _, engine := range engines {
		members = append(members, engine.Member)
		targets = append(targets, engine.Target)
	}
	change := NewChange(m.Version, 0, targets...)
	for _, engine := range engines {
		change.Observe(engine.Target, engine.Version)
	}
	if change.Done() {
		return
	}
	ctx, cancel := timer.WithTimeout(ctx, l.clock, roundLimit)
	defer cancel()
	l.coordinator.Run(ctx, m, members, change, fence)
}

func weightsKey(s identifier.Service) string { return "/weights/" + string(s) }
