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
	// lookPeriod is the time between two looks for new weights and for engines without them.
	lookPeriod = time.Second
	// roundLimit bounds one round of a change; the next one begins with the targets that are there then.
	roundLimit = 30 * time.Second
)

// Store is the part of the key-value service that weight changes use.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
}

// Form encodes and decodes stored manifests.
type Form interface {
	EncodeManifest(m Manifest) []byte
	DecodeManifest(s identifier.Service, data []byte) (Manifest, error)
}

// Engine is a member with the version that it reported last; zero when it has reported none.
type Engine struct {
	Member

	Version identifier.Version
}

// Fleet lists the engines of a service.
type Fleet interface {
	Engines(s identifier.Service) []Engine
}

// Leader announces weights and leads their changes while it holds the duty of a service.
type Leader struct {
	store       Store
	form        Form
	fleet       Fleet
	coordinator *Coordinator
	clock       timer.Service
	due         container.Table[container.Updater, identifier.Service, identifier.Version]
}

// NewLeader returns a Leader that changes the weights of the fleet's engines.
func NewLeader(s Store, f Form, fl Fleet, a Agents, clock timer.Service) *Leader {
	return &Leader{store: s, form: f, fleet: fl, coordinator: NewCoordinator(a, clock), clock: clock}
}

// Duty returns the duty of the leader of a service's weights.
func Duty(s identifier.Service) identifier.Duty { return identifier.Duty("weights-" + string(s)) }

// Announced returns the latest version of a service that this process knows as announced; zero when it knows none.
func (l *Leader) Announced(s identifier.Service) identifier.Version {
	v, _ := l.due.Get(s)
	return v
}

// Announce stores the manifest of new weights. Conflict means that the version does not rise.
func (l *Leader) Announce(ctx context.Context, m Manifest) storer.Outcome {
	before, out := l.store.Get(ctx, weightsKey(m.Service))
	if out != storer.Applied {
		return out
	}
	value := l.form.EncodeManifest(m)
	if bytes.Equal(before.Value, value) {
		return storer.Applied
	}
	if before.Changed != 0 {
		if last, err := l.form.DecodeManifest(m.Service, before.Value); err != nil || last.Version >= m.Version {
			return storer.Conflict
		}
	}
	out = l.store.Commit(ctx, storer.Transaction{}.
		WithGuard(weightsKey(m.Service), before.Changed).WithPut(weightsKey(m.Service), value, 0))
	if out == storer.Applied {
		l.note(m)
	}
	return out
}

func (l *Leader) note(m Manifest) {
	l.due.Update(m.Service, func(old identifier.Version, _ bool) (identifier.Version, bool) { return max(old, m.Version), true })
}

// Lead brings the announced weights of a service to every engine until ctx ends, engines that start later included.
func (l *Leader) Lead(ctx context.Context, s identifier.Service, fence identifier.Fence) {
	tick := l.clock.Every(lookPeriod)
	defer tick.Stop()
	for {
		l.look(ctx, s, fence)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// look leads one round of a change if an engine lacks the announced weights.
func (l *Leader) look(ctx context.Context, s identifier.Service, fence identifier.Fence) {
	e, out := l.store.Get(ctx, weightsKey(s))
	if out != storer.Applied || e.Changed == 0 {
		return
	}
	m, err := l.form.DecodeManifest(s, e.Value)
	if err != nil {
		return
	}
	l.note(m)
	engines := l.fleet.Engines(s)
	members := make([]Member, 0, len(engines))
	names := make([]identifier.Target, 0, len(engines))
	for _, engine := range engines {
		members = append(members, engine.Member)
		names = append(names, engine.Target)
	}
	change := NewChange(m.Version, 0, names...)
	for _, engine := range engines {
		change.Observe(engine.Target, engine.Version)
	}
	if change.Done() {
		return
	}
	ctx, cancel := timer.WithTimeout(ctx, l.clock, roundLimit)
	defer cancel()
	l.coordinator.Lead(ctx, m, members, change, fence)
}

func weightsKey(s identifier.Service) string { return "/weights/" + string(s) }
