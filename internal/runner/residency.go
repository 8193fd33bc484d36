package runner

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
)

// unservedBy returns the restrictions of a document that no listed target satisfies, whether or not it answers now.
func (m *membership) unservedBy(doc configurator.Document) []configurator.Unserved {
	type place struct {
		service identifier.Service
		region  identifier.Region
	}
	places := make(map[place]bool)
	for _, t := range m.tracker.Members() {
		places[place{t.Service, t.Region}] = true
	}
	return doc.Unserved(func(s identifier.Service, r confiner.Regions) bool {
		for p := range places {
			if p.service == s && r.Allows(p.region) {
				return true
			}
		}
		return false
	})
}

// logUnserved logs the restrictions that no listed target satisfies and that were satisfied before. Only the goroutine that refreshes the
// view calls it.
func (m *membership) logUnserved() {
	doc := m.config.Current()
	if !doc.Confined() {
		m.unserved = nil
		return
	}
	if m.listed.Load() == nil {
		return
	}
	now := m.unservedBy(doc)
	for _, u := range now {
		if !slices.Contains(m.unserved, u) {
			m.log.Emit(logger.RegionsUnserved, "revision", doc.Revision(), "team", u.Team, "service", u.Service, "regions", u.Regions.String())
		}
	}
	m.unserved = now
}
