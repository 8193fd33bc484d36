package configurator

import (
	"fmt"
	"math"
	"slices"

	"github.com/mimosalb/mimosalb/internal/checker"
)

// Problem describes an invalid field of a document and what is expected there. A document with a problem is not adopted.
type Problem struct {
	Field string
	Want  string
	Kind  checker.Kind
	// Other is the field of an earlier element that the problem refers to; empty if there is none.
	Other string
}

// String returns the field and the expectation.
func (p Problem) String() string { return p.Field + ": " + p.Want }

// Check returns every problem of the document. A document without problems is valid.
func (d Document) Check() []Problem {
	var ps []Problem
	ps = append(ps, d.checkZones()...)
	ps = append(ps, d.checkTeams()...)
	ps = append(ps, d.checkKeys()...)
	ps = append(ps, d.checkServices()...)
	ps = append(ps, d.checkRegions()...)
	if !slices.Contains(Presets(), d.Preset()) {
		ps = append(ps, Problem{Field: "preset", Want: "one of ordinary, peak, maintenance"})
	}
	for i, r := range d.rules {
		if !slices.Contains(Presets(), r.Preset) {
			ps = append(ps, Problem{Field: fieldPath("presets", i, "name"), Want: "one of ordinary, peak, maintenance"})
		}
		if isNegative(r.RolloutShare) || r.RolloutShare > 1 {
			ps = append(ps, Problem{Field: fieldPath("presets", i, "rollouts"), Want: "a share from 0 to 1"})
		}
	}
	return append(ps, duplicates("presets", d.rules, func(r Rule) string { return string(r.Preset) })...)
}

func (d Document) checkZones() []Problem {
	var ps []Problem
	for i, z := range d.zones {
		if z.Name == "" {
			ps = append(ps, Problem{Field: fieldPath("zones", i, "name"), Want: "a name"})
		}
		if z.Region == "" {
			ps = append(ps, Problem{Field: fieldPath("zones", i, "region"), Want: "the region of the availability zone"})
		}
	}
	return append(ps, duplicates("zones", d.zones, func(z Zone) string { return string(z.Name) })...)
}

func (d Document) checkTeams() []Problem {
	var ps []Problem
	for i, t := range d.teams {
		if t.Name == "" {
			ps = append(ps, Problem{Field: fieldPath("teams", i, "name"), Want: "a name"})
		}
		if isNegative(t.Weight) {
			ps = append(ps, Problem{Field: fieldPath("teams", i, "weight"), Want: "a weight of zero or more"})
		}
		ps = append(ps, t.Limits.check(fieldPath("teams", i, "limits"))...)
	}
	return append(ps, duplicates("teams", d.teams, func(t Team) string { return string(t.Name) })...)
}

func (d Document) checkKeys() []Problem {
	var ps []Problem
	for i, k := range d.keys {
		if k.Caller == "" {
			ps = append(ps, Problem{Field: fieldPath("keys", i, "name"), Want: "a name"})
		}
		if _, ok := d.Team(k.Team); !ok {
			ps = append(ps, Problem{Field: fieldPath("keys", i, "team"), Want: "the name of a team of this document", Kind: checker.Unknown})
		}
	}
	return append(ps, duplicates("keys", d.keys, func(k Key) string { return string(k.Caller) })...)
}

func (d Document) checkServices() []Problem {
	var ps []Problem
	for i, s := range d.services {
		if s.Name == "" {
			ps = append(ps, Problem{Field: fieldPath("services", i, "name"), Want: "a name"})
		}
		if s.Kind != Model && s.Kind != Plain {
			ps = append(ps, Problem{Field: fieldPath("services", i, "kind"), Want: "model or plain"})
		}
		if s.Timeout < 0 {
			ps = append(ps, Problem{Field: fieldPath("services", i, "timeout"), Want: "a duration of zero or more"})
		}
		ps = append(ps, s.Limits.check(fieldPath("services", i, "limits"))...)
	}
	return append(ps, duplicates("services", d.services, func(s Service) string { return string(s.Name) })...)
}

func (l Limits) check(field string) []Problem {
	if isNegative(l.RequestRate) || isNegative(l.TokenRate) || l.Concurrency < 0 {
		return []Problem{{Field: field, Want: "limits of zero or more"}}
	}
	return nil
}

// isNegative reports whether v is below zero or not finite. A number that is not finite can't be stored.
func isNegative(v float64) bool { return v < 0 || math.IsNaN(v) || math.IsInf(v, 0) }

// duplicates returns a problem for each element whose name occurred earlier in the list.
func duplicates[T any](field string, all []T, name func(T) string) []Problem {
	var ps []Problem
	first := make(map[string]int, len(all))
	for i, v := range all {
		if earlier, seen := first[name(v)]; seen {
			ps = append(ps, Problem{
				Field: fieldPath(field, i, "name"), Want: "a name that occurs once", Kind: checker.Covered, Other: fieldPath(field, earlier, "name"),
			})
			continue
		}
		first[name(v)] = i
	}
	return ps
}

// fieldPath returns the path of a field of the element at index i.
func fieldPath(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
