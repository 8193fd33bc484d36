package codec_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/checker"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/confiner"
)

// Guards against a document that changes when it is stored and read again, against a panic on malformed input, and against a check that
// passes what apply refuses or refuses what it takes.
func FuzzDocument(f *testing.F) {
	key := configurator.Key{Caller: "driver", Team: "routing", Withdrawn: true}
	doc := configurator.Document{}.WithPreset(configurator.Peak).WithRevision(3).
		WithTeams(configurator.Team{Name: "routing", Weight: 2, Regions: confiner.NewRegions("south", "north")}).WithKeys(key).
		WithServices(configurator.Service{Name: "matcher", Kind: configurator.Model, Timeout: 3, Regions: confiner.NewRegions("south")})
	f.Add(codec.Encode(doc))
	for _, seed := range []string{
		`{`, `null`, `{"services":[{"timeout":"x"}]}`, `{"keys":[{"hash":"AA=="}]}`, "preset: \xff", "zones: [{name: a}]",
		`{"teams":[{"regions":["",null,"a\n"]}]}`, `{"services":[{"name":"a","kind":"plain","regions":["b",""]}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Add([]byte("teams: [{weight: .nan}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, problems := codec.Parse("f.yaml", data)
		for _, p := range problems {
			if p.Line < 1 || p.Field == "" || p.Want == "" {
				t.Errorf("problem %+v names no line, field or expectation", p)
			}
		}
		findings := codec.NewReview("f.yaml", data).Findings()
		if checker.Count(findings, checker.Error) != len(problems) {
			t.Errorf("check found %v, and apply %v", findings, problems)
		}
		for _, f := range findings {
			if f.Place.Line < 1 || f.Place.Path == "" || f.Other.Path != "" && f.Other.Line < 1 {
				t.Errorf("finding %+v names no line or path", f)
			}
		}
		d, err := codec.Decode(data)
		if err != nil || len(d.Check()) > 0 {
			return
		}
		again, err := codec.Decode(codec.Encode(d))
		if err != nil || len(configurator.Diff(d, again)) > 0 || d.Revision() != again.Revision() {
			t.Errorf("document changed: %v %v", configurator.Diff(d, again), err)
		}
	})
}

// Guards against a comparison that does not list a replaced key, or that shows its hash.
func TestDiffNamesReplacedKey(t *testing.T) {
	before := configurator.Document{}.WithKeys(configurator.Key{Caller: "driver", Team: "routing"})
	after := configurator.Document{}.WithKeys(configurator.Key{Caller: "driver", Team: "routing", Hash: [32]byte{1}})
	qt.Assert(t, configurator.Diff(before, after), qt.DeepEquals, []configurator.Change{{
		Field: "keys[driver]", Before: "team=routing withdrawn=false", After: "team=routing withdrawn=false secret=changed",
	}})
}
