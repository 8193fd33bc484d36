// Package configurator holds the operators' configuration: one immutable document whose revision only increases.
package configurator

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Document is the whole configuration at one revision. It is immutable; the zero value is an empty configuration
// with the preset Ordinary.
type Document struct {
	revision identifier.Revision
	write    identifier.Write
	preset   Preset
	zones    []Zone
	teams    []Team
	keys     []Key
	services []Service
	rules    []Rule
	// evacuated are the zones to whose targets nothing is sent.
	evacuated evacuator.Zones
	// confined states that a team or service is restricted to regions.
	confined bool
}

// Zone is an availability zone and its region.
type Zone struct {
	Name   identifier.Zone
	Region identifier.Region
}

// Team holds the weight and the limits of a team.
type Team struct {
	Name identifier.Team
	// Weight is the team's share of the work relative to other teams; zero counts as one.
	Weight float64
	Limits Limits
	// Regions are those in which the requests of the team may be served.
	Regions confiner.Regions
}

// Limits bounds the work of a team or service. A zero field means no limit.
type Limits struct {
	// RequestRate is in requests per second.
	RequestRate float64
	// TokenRate is in tokens per second.
	TokenRate float64
	// Concurrency is the number of requests that run at the same time.
	Concurrency int
}

// Key is the stored form of a caller's key. The key itself is not stored.
type Key struct {
	Caller identifier.Caller
	Team   identifier.Team
	// Hash is the keyed hash of the key.
	Hash [HashSize]byte
	// Withdrawn marks the key as a tombstone: a withdrawn key is never valid again.
	Withdrawn bool
}

// HashSize is the length of a key's hash in bytes (HMAC-SHA-256).
const HashSize = 32

// Service is a service that callers can send requests to.
type Service struct {
	Name identifier.Service
	Kind Kind
	// Open allows requests without a key.
	Open bool
	// Once marks a service whose calls must not be repeated.
	Once bool
	// Scoring marks a model service whose rollouts have priority during training windows.
	Scoring bool
	// Timeout bounds one request from admission to the last byte; zero means DefaultTimeout.
	Timeout time.Duration
	Limits  Limits
	// Regions are those in which the requests to the service may be served.
	Regions confiner.Regions
}

// DefaultTimeout bounds a request to a service that sets no timeout.
const DefaultTimeout = 2 * time.Minute

// Kind is the way in which targets serve a service.
type Kind string

const (
	// Model means that engines serve the service and stream tokens.
	Model Kind = "model"
	// Plain means that HTTP processes serve the service.
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

// Rules returns a copy of the rules of the presets.
func (d Document) Rules() []Rule { return slices.Clone(d.rules) }

// Team returns the team of the given name.
func (d Document) Team(name identifier.Team) (Team, bool) {
	return find(d.teams, func(t Team) bool { return t.Name == name })
}

// Service returns the service of the given name.
func (d Document) Service(name identifier.Service) (Service, bool) {
	return find(d.services, func(s Service) bool { return s.Name == name })
}

// Region returns the region of a zone, or the zero region if the zone is unknown.
func (d Document) Region(zone identifier.Zone) identifier.Region {
	z, _ := find(d.zones, func(z Zone) bool { return z.Name == zone })
	return z.Region
}

// Rule returns the rule of the preset in force, or the zero rule with that preset if the document has none.
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

// Write returns the identifier of the write that stored the document.
func (d Document) Write() identifier.Write { return d.write }

// WithWrite returns a copy of d with the identifier of the write that stores it.
func (d Document) WithWrite(w identifier.Write) Document {
	d.write = w
	return d
}

// WithPreset returns a copy of d with preset p in force.
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
	return d.withConfined()
}

// WithTeam returns a copy of d in which t replaces the team of the same name or is added.
func (d Document) WithTeam(t Team) Document {
	d.teams = replace(d.teams, t, func(o Team) bool { return o.Name == t.Name })
	return d.withConfined()
}

// WithKeys returns a copy of d with the given keys.
func (d Document) WithKeys(keys ...Key) Document {
	d.keys = slices.Clone(keys)
	return d
}

// WithKey returns a copy of d in which k replaces the key of the same caller or is added.
func (d Document) WithKey(k Key) Document {
	d.keys = replace(d.keys, k, func(o Key) bool { return o.Caller == k.Caller })
	return d
}

// WithServices returns a copy of d with the given services.
func (d Document) WithServices(services ...Service) Document {
	d.services = slices.Clone(services)
	return d.withConfined()
}

// WithService returns a copy of d in which s replaces the service of the same name or is added.
func (d Document) WithService(s Service) Document {
	d.services = replace(d.services, s, func(o Service) bool { return o.Name == s.Name })
	return d.withConfined()
}

// WithRules returns a copy of d with the given rules.
func (d Document) WithRules(rules ...Rule) Document {
	d.rules = slices.Clone(rules)
	return d
}

// find returns the first element for which match returns true.
func find[T any](all []T, match func(T) bool) (T, bool) {
	i := slices.IndexFunc(all, match)
	if i < 0 {
		var zero T
		return zero, false
	}
	return all[i], true
}

// replace returns a copy of all in which v replaces the first element for which match returns true, or is appended if
// there is none.
func replace[T any](all []T, v T, match func(T) bool) []T {
	out := slices.Clone(all)
	if i := slices.IndexFunc(out, match); i >= 0 {
		out[i] = v
		return out
	}
	return append(out, v)
}
