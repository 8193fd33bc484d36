package configurator

import (
	"fmt"
	"slices"

	"github.com/mimosalb/mimosalb/internal/checker"
)

// Onto returns the document that is stored when d, from an operator's file, replaces current: a file doesn't change which zones are
// evacuated, and one without keys leaves the keys as they are.
func (d Document) Onto(current Document) Document {
	d = d.WithEvacuated(current.Evacuated())
	if len(d.keys) == 0 {
		d = d.WithKeys(current.keys...)
	}
	return d
}

// Transition returns what prevents edited, from an operator's file, from replacing current, and which parts of it would not.
func Transition(current, edited Document) []checker.Finding {
	var all []checker.Finding
	if r := edited.revision; r > 0 && r != current.revision {
		all = append(all, checker.New(checker.Error, checker.Stale, "revision",
			fmt.Sprintf("the file is based on revision %d, but revision %d is in force", r, current.revision)))
	}
	all = append(all, keptKeys(current, edited)...)
	if !edited.evacuated.Equal(current.evacuated) && edited.evacuated.Len() > 0 {
		all = append(all, warn(checker.Stale, "evacuated", "a file doesn't evacuate zones or take them back; want mimosactl zone"))
	}
	for _, z := range current.evacuated.Names() {
		if current.Region(z) != "" && edited.Region(z) == "" {
			all = append(all, warn(checker.Unknown, "zones", "zone %s is evacuated and is removed", z))
		}
	}
	return all
}

// keptKeys returns errors for keys that stay although edited lacks their team, and warnings for withdrawn keys that it lists as valid. A
// withdrawn key always stays, and a file without keys leaves all of them.
func keptKeys(current, edited Document) []checker.Finding {
	var all []checker.Finding
	for _, k := range current.keys {
		if _, known := edited.Team(k.Team); !known && (k.Withdrawn || len(edited.keys) == 0) {
			all = append(all, checker.New(checker.Error, checker.Unknown, "teams",
				fmt.Sprintf("want the team %s: the key %s, which the edit keeps, belongs to it", k.Team, k.Caller)))
		}
		i := slices.IndexFunc(edited.keys, func(o Key) bool { return o.Caller == k.Caller })
		if i >= 0 && k.Withdrawn && !edited.keys[i].Withdrawn {
			all = append(all, warn(checker.Stale, fieldPath("keys", i, "withdrawn"), "the key %s stays withdrawn", k.Caller))
		}
	}
	return all
}
