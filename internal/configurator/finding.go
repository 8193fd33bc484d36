package configurator

import (
	"fmt"
	"slices"

	"github.com/mimosalb/mimosalb/internal/checker"
)

// Findings returns the problems of the document as errors, and what has no effect or contradicts another part of it as warnings.
func (d Document) Findings() []checker.Finding {
	var all []checker.Finding
	for _, p := range d.Check() {
		all = append(all, p.Finding())
	}
	all = append(all, d.warnZones()...)
	all = append(all, d.warnTeams()...)
	all = append(all, d.warnKeys()...)
	all = append(all, d.warnServices()...)
	all = append(all, d.warnRegions()...)
	return append(all, d.warnRules()...)
}

// Finding returns the problem as a finding.
func (p Problem) Finding() checker.Finding {
	return checker.New(checker.Error, p.Kind, p.Field, "want "+p.Want).WithOther(p.Other)
}

// warn returns a warning.
func warn(k checker.Kind, path, format string, args ...any) checker.Finding {
	return checker.New(checker.Warning, k, path, fmt.Sprintf(format, args...))
}

func (d Document) warnZones() []checker.Finding {
	var all []checker.Finding
	if len(d.zones) == 0 {
		return nil
	}
	serving := len(d.zones)
	for _, z := range d.zones {
		if d.evacuated.Contains(z.Name) {
			serving--
		}
	}
	for _, name := range d.evacuated.Names() {
		if d.Region(name) == "" {
			all = append(all, warn(checker.Unknown, "evacuated", "zone %s is not one of zones", name))
		}
	}
	if serving == 0 {
		all = append(all, warn(checker.Conflict, "evacuated", "all zones are evacuated: every request is refused"))
	}
	return all
}

// hasKind reports whether the document has a service of a kind.
func (d Document) hasKind(k Kind) bool {
	_, found := find(d.services, func(s Service) bool { return s.Kind == k })
	return found
}

func (d Document) warnTeams() []checker.Finding {
	var all []checker.Finding
	onlyModels := d.hasKind(Model) && !d.hasKind(Plain)
	onlyPlain := d.hasKind(Plain) && !d.hasKind(Model)
	for i, t := range d.teams {
		path := fieldPath("teams", i, "limits")
		all = append(all, d.warnAboveServices(path, t.Limits)...)
		if onlyModels {
			all = append(all, warnRates(path, t.Limits)...)
		}
		if onlyPlain && t.Limits.TokenRate > 0 {
			all = append(all, warn(checker.Unused, path+".tokens", "no service is a model, and others have no tokens").WithOther("services"))
		}
	}
	return all
}

// warnAboveServices warns of limits of a team that are above what all services together admit, so that they are never reached.
func (d Document) warnAboveServices(path string, l Limits) []checker.Finding {
	var all []checker.Finding
	for _, c := range []struct {
		field string
		limit func(Limits) float64
		kinds []Kind
	}{
		{"requests", func(l Limits) float64 { return l.RequestRate }, []Kind{Model, Plain}},
		{"tokens", func(l Limits) float64 { return l.TokenRate }, []Kind{Model}},
		{"concurrency", func(l Limits) float64 { return float64(l.Concurrency) }, []Kind{Model, Plain}},
	} {
		total, bounded := d.sumOfServices(c.limit, c.kinds...)
		if bounded && c.limit(l) > total {
			all = append(all, warn(checker.Conflict, path+"."+c.field, "the limit is %v, but all services together admit %v", c.limit(l), total).
				WithOther("services"))
		}
	}
	return all
}

// sumOfServices returns the sum of a limit over the services of the given kinds. bounded is false if there are none, or if one of them
// has no such limit.
func (d Document) sumOfServices(limit func(Limits) float64, kinds ...Kind) (total float64, bounded bool) {
	for _, s := range d.services {
		if !slices.Contains(kinds, s.Kind) {
			continue
		}
		if limit(s.Limits) <= 0 {
			return 0, false
		}
		total, bounded = total+limit(s.Limits), true
	}
	return total, bounded
}

// warnRates warns of a limit of requests that is never reached, because each request has at least one token.
func warnRates(path string, l Limits) []checker.Finding {
	if l.RequestRate <= 0 || l.TokenRate <= 0 || l.RequestRate <= l.TokenRate {
		return nil
	}
	return []checker.Finding{warn(checker.Conflict, path+".requests",
		"%v requests a second are never reached: each has a token, and %v tokens a second are the limit", l.RequestRate, l.TokenRate).
		WithOther(path + ".tokens")}
}

// warnKeys warns of keys with equal secrets, of which only the last valid one is found. Keys without a hash are left out.
func (d Document) warnKeys() []checker.Finding {
	last := make(map[[HashSize]byte]int, len(d.keys))
	withdrawn := make(map[[HashSize]byte]int)
	for i, k := range d.keys {
		if k.Withdrawn {
			withdrawn[k.Hash] = i
		} else {
			last[k.Hash] = i
		}
	}
	var all []checker.Finding
	for i, k := range d.keys {
		if k.Withdrawn || k.Hash == ([HashSize]byte{}) {
			continue
		}
		path := fieldPath("keys", i, "hash")
		if j := last[k.Hash]; j != i {
			all = append(all, warn(checker.Covered, path, "the secret is also that of the key %s, which is used instead", d.keys[j].Caller).
				WithOther(fieldPath("keys", j, "hash")))
		}
		if j, found := withdrawn[k.Hash]; found {
			all = append(all, warn(checker.Conflict, path, "the secret is that of the withdrawn key %s and is valid again", d.keys[j].Caller).
				WithOther(fieldPath("keys", j, "hash")))
		}
	}
	return all
}

func (d Document) warnServices() []checker.Finding {
	var all []checker.Finding
	if len(d.services) == 0 {
		all = append(all, warn(checker.Unused, "services", "the document has no service: every request is refused"))
	}
	for i, s := range d.services {
		path := fieldPath("services", i, "limits")
		switch {
		case s.Kind == Model:
			all = append(all, warnRates(path, s.Limits)...)
		case s.Kind == Plain && s.Limits.TokenRate > 0:
			all = append(all, warn(checker.Unused, path+".tokens", "requests to a plain service have no tokens"))
		}
		if s.Kind == Plain && s.Scoring {
			all = append(all, warn(checker.Unused, fieldPath("services", i, "scoring"), "a plain service has no rollouts"))
		}
		if s.Kind == Model && s.Scoring && !d.hasTraining() {
			all = append(all, warn(checker.Unused, fieldPath("services", i, "scoring"), "no preset is a training window").WithOther("presets"))
		}
	}
	return all
}

// hasTraining reports whether a preset is a training window.
func (d Document) hasTraining() bool {
	_, found := find(d.rules, func(r Rule) bool { return r.Training })
	return found
}

func (d Document) warnRules() []checker.Finding {
	var all []checker.Finding
	_, scoring := find(d.services, func(s Service) bool { return s.Kind == Model && s.Scoring })
	for i, r := range d.rules {
		if r.Training && len(d.services) > 0 && !scoring {
			all = append(all, warn(checker.Unused, fieldPath("presets", i, "training"), "no model service is scoring: no rollouts have priority").
				WithOther("services"))
		}
		if r.RolloutShare == 1 {
			all = append(all, warn(checker.Conflict, fieldPath("presets", i, "rollouts"), "a share of 1 leaves nothing to callers and counts as %v",
				DefaultRolloutShare))
		}
		if r.SpareZones < 0 {
			all = append(all, warn(checker.Invalid, fieldPath("presets", i, "spare"), "a negative number of zones counts as 0"))
		}
		if n := len(d.zones); n > 0 && r.SpareZones >= n {
			all = append(all, warn(checker.Conflict, fieldPath("presets", i, "spare"),
				"the loss of that many zones can't be absorbed: want less than the number of zones, %d", n).WithOther("zones"))
		}
	}
	return all
}
