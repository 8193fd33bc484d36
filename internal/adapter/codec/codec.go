// Package codec encodes and decodes the stored and sent forms of configuration documents, claims, jobs, orders,
// training runs, usage and the VM list.
package codec

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Document is the form of a configuration document in operators' files and in the store.
type Document struct {
	Revision identifier.Revision `json:"revision,omitempty" yaml:"revision,omitempty"`
	// Write identifies the write that stored the document. Only the stored form has it.
	Write  identifier.Write    `json:"write,omitempty" yaml:"-"`
	Preset configurator.Preset `json:"preset" yaml:"preset"`
	Zones  []Zone              `json:"zones,omitempty" yaml:"zones,omitempty"`
	// Evacuated are the zones to whose targets nothing is sent. An edit of the whole document does not change them.
	Evacuated []identifier.Zone `json:"evacuated,omitempty" yaml:"evacuated,omitempty"`
	Teams     []Team            `json:"teams,omitempty" yaml:"teams,omitempty"`
	Keys      []Key             `json:"keys,omitempty" yaml:"keys,omitempty"`
	Services  []Service         `json:"services,omitempty" yaml:"services,omitempty"`
	Presets   []Rule            `json:"presets,omitempty" yaml:"presets,omitempty"`
}

// Zone is an availability zone and its region.
type Zone struct {
	Name   identifier.Zone   `json:"name" yaml:"name"`
	Region identifier.Region `json:"region" yaml:"region"`
}

// Team holds a team's share of the work relative to other teams, and its limits.
type Team struct {
	Name   identifier.Team `json:"name" yaml:"name"`
	Weight float64         `json:"weight,omitempty" yaml:"weight,omitempty"`
	Limits Limits          `json:"limits,omitzero" yaml:"limits,omitempty"`
	// Regions are those in which the requests of the team may be served; empty: all.
	Regions []identifier.Region `json:"regions,omitempty" yaml:"regions,omitempty"`
}

// Limits holds the limits of a team or service. Rates are per second.
type Limits struct {
	Requests    float64 `json:"requests,omitempty" yaml:"requests,omitempty"`
	Tokens      float64 `json:"tokens,omitempty" yaml:"tokens,omitempty"`
	Concurrency int     `json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
}

// Key is the stored form of a caller's key; Hash is base64.
type Key struct {
	Name      identifier.Caller `json:"name" yaml:"name"`
	Team      identifier.Team   `json:"team" yaml:"team"`
	Hash      string            `json:"hash" yaml:"hash"`
	Withdrawn bool              `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// Service is a service that callers can use; Timeout is a duration such as 30s.
type Service struct {
	Name    identifier.Service `json:"name" yaml:"name"`
	Kind    configurator.Kind  `json:"kind" yaml:"kind"`
	Open    bool               `json:"open,omitempty" yaml:"open,omitempty"`
	Once    bool               `json:"once,omitempty" yaml:"once,omitempty"`
	Scoring bool               `json:"scoring,omitempty" yaml:"scoring,omitempty"`
	Timeout string             `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	Limits  Limits             `json:"limits,omitzero" yaml:"limits,omitempty"`
	// Regions are those in which the requests to the service may be served; empty: all.
	Regions []identifier.Region `json:"regions,omitempty" yaml:"regions,omitempty"`
}

// Rule holds the settings of a preset.
type Rule struct {
	Name     configurator.Preset `json:"name" yaml:"name"`
	Training bool                `json:"training,omitempty" yaml:"training,omitempty"`
	Rollouts float64             `json:"rollouts,omitempty" yaml:"rollouts,omitempty"`
	Spare    int                 `json:"spare,omitempty" yaml:"spare,omitempty"`
}

// Encode returns the JSON form of a document.
func Encode(d configurator.Document) []byte {
	f := FromDocument(d)
	f.Write = d.Write()
	data, err := json.Marshal(f)
	if err != nil {
		panic("invariant document-form: every document can be encoded: " + err.Error())
	}
	return data
}

// Decode reads the JSON form of a document.
func Decode(data []byte) (configurator.Document, error) {
	var f Document
	if err := json.Unmarshal(data, &f); err != nil {
		return configurator.Document{}, fmt.Errorf("decode configuration: %w", err)
	}
	return f.Document()
}

// FromDocument returns the form of d without the identity of its write.
func FromDocument(d configurator.Document) Document {
	f := Document{Revision: d.Revision(), Preset: d.Preset(), Evacuated: d.Evacuated().Names()}
	for _, z := range d.Zones() {
		f.Zones = append(f.Zones, Zone(z))
	}
	for _, t := range d.Teams() {
		f.Teams = append(f.Teams, Team{Name: t.Name, Weight: t.Weight, Limits: fromLimits(t.Limits), Regions: t.Regions.Names()})
	}
	for _, k := range d.Keys() {
		f.Keys = append(f.Keys, Key{
			Name: k.Caller, Team: k.Team, Hash: base64.StdEncoding.EncodeToString(k.Hash[:]), Withdrawn: k.Withdrawn,
		})
	}
	for _, s := range d.Services() {
		f.Services = append(f.Services, fromService(s))
	}
	for _, r := range d.Rules() {
		f.Presets = append(f.Presets, Rule{Name: r.Preset, Training: r.Training, Rollouts: r.RolloutShare, Spare: r.SpareZones})
	}
	return f
}

// Document returns the configuration document of the form. It fails on a malformed hash or duration.
func (f Document) Document() (configurator.Document, error) {
	d := configurator.Document{}.WithRevision(f.Revision).WithWrite(f.Write).WithPreset(f.Preset).
		WithEvacuated(evacuator.NewZones(f.Evacuated...))
	for _, z := range f.Zones {
		d = d.WithZones(append(d.Zones(), configurator.Zone(z))...)
	}
	teams := make([]configurator.Team, 0, len(f.Teams))
	for _, t := range f.Teams {
		teams = append(teams, configurator.Team{
			Name: t.Name, Weight: t.Weight, Limits: t.Limits.limits(), Regions: confiner.NewRegions(t.Regions...),
		})
	}
	keys := make([]configurator.Key, 0, len(f.Keys))
	for i, k := range f.Keys {
		key := configurator.Key{Caller: k.Name, Team: k.Team, Withdrawn: k.Withdrawn}
		sum, err := base64.StdEncoding.DecodeString(k.Hash)
		if err != nil || len(sum) != configurator.HashSize {
			return d, fmt.Errorf("keys[%d].hash: want %d bytes in base64", i, configurator.HashSize)
		}
		copy(key.Hash[:], sum)
		keys = append(keys, key)
	}
	services := make([]configurator.Service, 0, len(f.Services))
	for i, s := range f.Services {
		service, err := s.service()
		if err != nil {
			return d, fmt.Errorf("services[%d].timeout: want a duration such as 30s: %w", i, err)
		}
		services = append(services, service)
	}
	rules := make([]configurator.Rule, 0, len(f.Presets))
	for _, r := range f.Presets {
		rules = append(rules, configurator.Rule{Preset: r.Name, Training: r.Training, RolloutShare: r.Rollouts, SpareZones: r.Spare})
	}
	return d.WithTeams(teams...).WithKeys(keys...).WithServices(services...).WithRules(rules...), nil
}

func fromLimits(l configurator.Limits) Limits {
	return Limits{Requests: l.RequestRate, Tokens: l.TokenRate, Concurrency: l.Concurrency}
}

func (l Limits) limits() configurator.Limits {
	return configurator.Limits{RequestRate: l.Requests, TokenRate: l.Tokens, Concurrency: l.Concurrency}
}

func fromService(s configurator.Service) Service {
	f := Service{
		Name: s.Name, Kind: s.Kind, Open: s.Open, Once: s.Once, Scoring: s.Scoring, Limits: fromLimits(s.Limits), Regions: s.Regions.Names(),
	}
	if s.Timeout != 0 {
		f.Timeout = s.Timeout.String()
	}
	return f
}

func (f Service) service() (configurator.Service, error) {
	s := configurator.Service{
		Name: f.Name, Kind: f.Kind, Open: f.Open, Once: f.Once, Scoring: f.Scoring, Limits: f.Limits.limits(),
		Regions: confiner.NewRegions(f.Regions...),
	}
	if f.Timeout == "" {
		return s, nil
	}
	d, err := time.ParseDuration(f.Timeout)
	if err != nil {
		return s, fmt.Errorf("parse duration: %w", err)
	}
	s.Timeout = d
	return s, nil
}

// Documents provides Encode and Decode as methods, for packages that take the codec as a parameter.
type Documents struct{}

// Encode returns the JSON form of a document.
func (Documents) Encode(d configurator.Document) []byte { return Encode(d) }

// Decode reads the JSON form of a document.
func (Documents) Decode(data []byte) (configurator.Document, error) { return Decode(data) }
