package configurator

import (
	"fmt"
	"slices"
)

// Change is one difference between two documents: the field that differs and its value before and after. An empty
// value means that the field is missing.
type Change struct {
	Field  string
	Before string
	After  string
}

// Diff returns the differences from before to after, in the order of the document. The hashes of keys are omitted.
func Diff(before, after Document) []Change {
	var all []Change
	if before.Preset() != after.Preset() {
		all = append(all, Change{Field: "preset", Before: string(before.Preset()), After: string(after.Preset())})
	}
	all = append(all, diff("zones", before.zones, after.zones, func(z Zone) string { return string(z.Name) }, Zone.String)...)
	all = append(all, diffEvacuated(before.evacuated, after.evacuated)...)
	all = append(all, diff("teams", before.teams, after.teams, func(t Team) string { return string(t.Name) }, Team.String)...)
	all = append(all, diffKeys(before.keys, after.keys)...)
	all = append(all, diff("services", before.services, after.services, func(s Service) string { return string(s.Name) }, Service.String)...)
	return append(all, diff("presets", before.rules, after.rules, func(r Rule) string { return string(r.Preset) }, Rule.String)...)
}

// diffKeys compares keys by caller. It marks a changed hash, because the text of a key does not contain it.
func diffKeys(before, after []Key) []Change {
	all := diff("keys", before, after, func(k Key) string { return string(k.Caller) }, Key.String)
	for i, c := range all {
		if c.Before != "" && c.Before == c.After {
			all[i].After += " secret=changed"
		}
	}
	return all
}

// diff compares two lists whose elements are matched by name.
func diff[T comparable](list string, before, after []T, name func(T) string, text func(T) string) []Change {
	var all []Change
	indexOf := func(values []T, n string) int {
		return slices.IndexFunc(values, func(v T) bool { return name(v) == n })
	}
	for _, b := range before {
		c := Change{Field: list + "[" + name(b) + "]", Before: text(b)}
		if i := indexOf(after, name(b)); i >= 0 {
			if after[i] == b {
				continue
			}
			c.After = text(after[i])
		}
		all = append(all, c)
	}
	for _, a := range after {
		if indexOf(before, name(a)) < 0 {
			all = append(all, Change{Field: list + "[" + name(a) + "]", After: text(a)})
		}
	}
	return all
}

// String returns the zone's fields.
func (z Zone) String() string { return "region=" + string(z.Region) }

// String returns the team's fields.
func (t Team) String() string {
	return fmt.Sprintf("weight=%v %v", t.Weight, t.Limits) + regionsText(t.Regions)
}

// String returns the limits; zero means no limit.
func (l Limits) String() string {
	return fmt.Sprintf("requests=%v tokens=%v concurrency=%d", l.RequestRate, l.TokenRate, l.Concurrency)
}

// String returns the key's fields without its hash.
func (k Key) String() string { return fmt.Sprintf("team=%s withdrawn=%t", k.Team, k.Withdrawn) }

// String returns the service's fields.
func (s Service) String() string {
	return fmt.Sprintf("kind=%s open=%t once=%t scoring=%t timeout=%v %v", s.Kind, s.Open, s.Once, s.Scoring, s.Timeout, s.Limits) +
		regionsText(s.Regions)
}

// String returns the rule's fields.
func (r Rule) String() string {
	return fmt.Sprintf("training=%t rollouts=%v spare=%d", r.Training, r.RolloutShare, r.SpareZones)
}
