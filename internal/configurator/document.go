// Package configurator owns the operators' configuration: one immutable document with a revision that only rises.
package configurator

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Document is the whole configuration at one revision. It is immutable; the zero value is an empty configuration in
// the preset Ordinary.
type Document struct {
	revision identifier.Revision
	write    identifier.Write
	preset   Preset
	zones    []Zone
	teams    []Team
	keys     []Key
	services []Service
	rules    []Rule
}

// Zone is an availability zone and the region that it lies in.
type Zone struct {
	Name   identifier.Zone
	Region identifier.Region
}

// Team is a customer with its share and limits. A zero limit means no limit.
type Team struct {
	Name identifier.Team
	// Weight is the team's share relative to others; zero counts as one.
	Weight float64
	Limits Limits
}

// Limits bound the work of a team or service. A zero field is no limit.
type Limits struct {
	// RequestRate is in requests per second.
	RequestRate float64
	// TokenRate is in tokens per second.
	TokenRate float64
	// Concurrency is the number of requests that run at a time.
	Concurrency int
}

// Key is the stored form of a caller's key. The key itself is not stored.
type Key struct {
	Caller identifier.Caller
	Team   identifier.Team
	// Hash is the keyed hash of the key.
	Hash [HashSize]byte
	// Withdrawn marks a tombstone; a withdrawn key never works again.
	Withdrawn bool
}

// HashSize is the length of a key's hash in bytes (HMAC-SHA-256).
const HashSize = 32

// Service is something that callers can ask for.
type Service struct {
	Name identifier.Service
	Kind Kind
	// Open lets requests without a key run.
	Open bool
	// Once marks a service whose calls may not be repeated.
	Once bool
	// Scoring marks a model service whose rollouts come first in training windows.
	Scoring bool
	// Timeout bounds one request from admission to the last byte; zero means DefaultTimeout.
	Timeout time.Duration
	Limits  Limits
}

// DefaultTimeout bounds a request of a service that sets no timeout.
const DefaultTimeout = 2 * time.Minute

// Kind tells how a target serves a service.
type Kind string

const (
	// Model is served by engines that stream tokens.
	Model Kind = "model"
	// Plain is served by HTTP processes.
	Plain Kind = "plain"
)

// Revision returns the revision of the document.
func (d Document) Revision() identifier.Revision { return d.revision }

// Preset returns the preset in force.
func (d Document) Preset() Preset {
	if d.preset == "" {
		return Ordinary
	}
	return d.preset
}

// Zones returns a copy of the availability zones.
func (d Document) Zones() []Zone { return slices.Clone(d.zones) }

// Teams returns a copy of the teams.
func (d Document) Teams() []Team { return slices.Clone(d.teams) }

// Keys returns a copy of the keys, withdrawn ones included.
func (d Document) Keys() []Key { return slices.Clone(d.keys) }

// Services returns a copy of the services.
func (d Document) Services() []Service { return slices.Clone(d.services) }

// Rules returns a copy of the presets' rules.
func (d Document) Rules() []Rule { return slices.Clone(d.rules) }

// Team returns the team of the given name.
func (d Document) Team(name identifier.Team) (Team, bool) {
	return find(d.teams, func(t Team) bool { return t.Name == name })
}

// Service returns the service of the given name.
func (d Document) Service(name identifier.Service) (Service, bool) {
	return find(d.services, func(s Service) bool { return s.Name == name })
}

// Region returns the region of a zone; the zero region when the zone is not known.
func (d Document) Region(zone identifier.Zone) identifier.Region {
	z, _ := find(d.zones, func(z Zone) bool { return z.Name == zone })
	return z.Region
}

// Rule returns the rule of the preset in force.
func (d Document) Rule() Rule {
	r, ok := find(d.rules, func(r Rule) bool { return r.Preset == d.Preset() })
	if !ok {
		return Rule{Preset: d.Preset()}
	}
	return r
}

// WithRevision returns a copy of d at revision r.
func (d Document) WithRevision(r identifier.Revision) Document {
	d.revision = r
	return d
}

// Write returns the identity of the write that stored the document.
func (d Document) Write() identifier.Write { return d.write }

// WithWrite returns a copy of d with the identity of the write that stores it.
func (d Document) WithWrite(w identifier.Write) Document {
	d.write = w
	return d
}

// WithPreset returns a copy of d in which p is in force.
func (d Document) WithPreset(p Preset) Document {
	d.preset = p
	return d
}

// WithZones returns a copy of d with the given availability zones.
func (d Document) WithZones(zones ...Zone) Document {
	d.zones = slices.Clone(zones)
	return d
}

// WithTeams returns a copy of d with the given teams.
func (d Document) WithTeams(teams ...Team) Document {
	d.teams = slices.Clone(teams)
	return d
}

// WithTeam returns a copy of d in which t replaces the team of its name or is added.
func (d Document) WithTeam(t Team) Document {
	d.teams = replace(d.teams, t, func(o Team) bool { return o.Name == t.Name })
	return d
}

// WithKeys returns a copy of d with the given keys.
func (d Document) WithKeys(keys ...Key) Document {
	d.keys = slices.Clone(keys)
	return d
}

// WithKey returns a copy of d in which k replaces the key of its caller or is added.
func (d Document) WithKey(k Key) Document {
	d.keys = replace(d.keys, k, func(o Key) bool { return o.Caller == k.Caller })
	return d
}

// WithServices returns a copy of d with the given services.
func (d Document) WithServices(services ...Service) Document {
	d.services = slices.Clone(services)
	return d
}

// WithService returns a copy of d in which s replaces the service of its name or is added.
func (d Document) WithService(s Service) Document {
	d.services = replace(d.services, s, func(o Service) bool { return o.Name == s.Name })
	return d
}

// WithRules returns a copy of d with the given rules.
func (d Document) WithRules(rules ...Rule) Document {
	d.rules = slices.Clone(rules)
	return d
}

func find[T any](all []T, match func(T) bool) (T, bool) {
	i := slices.IndexFunc(all, match)
	if i < 0 {
		var zero T
		return zero, false
	}
	return all[i], true
}

// replace returns a copy of all in which v stands for the element that match finds, or is appended.
func replace[T any](all []T, v T, match func(T) bool) []T {
	out := slices.Clone(all)
	if i := slices.IndexFunc(out, match); i >= 0 {
		out[i] = v
		return out
	}
	return append(out, v)
}
