package configurator_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/confiner"
)

func base() configurator.Document {
	return configurator.Document{}.
		WithTeams(configurator.Team{Name: "routing"}).
		WithKeys(configurator.Key{Caller: "driver", Team: "routing"}).
		WithRevision(1)
}

// Guards against a node that returns to an older configuration or restores a withdrawn key.
func TestAdoptOnlyRises(t *testing.T) {
	c := qt.New(t)
	var conf configurator.Configurator
	withdrawn := base().WithKey(configurator.Key{Caller: "driver", Team: "routing", Withdrawn: true}).WithRevision(3)
	c.Assert(conf.Adopt(base()), qt.Equals, configurator.Adopted)
	c.Assert(conf.Adopt(withdrawn), qt.Equals, configurator.Adopted)
	c.Assert(conf.Adopt(base().WithRevision(2)), qt.Equals, configurator.Stale)
	c.Assert(conf.Adopt(base().WithRevision(4)), qt.Equals, configurator.Adopted)
	c.Assert(conf.Current().Keys()[0].Withdrawn, qt.IsTrue)
}

// Guards against a lost update: an edit that is based on an old revision must not be accepted.
func TestProposeRefusesOldBase(t *testing.T) {
	c := qt.New(t)
	current := base().WithRevision(5)
	_, edit, _ := configurator.Propose(current, current.WithPreset(configurator.Peak), 4)
	c.Assert(edit, qt.Equals, configurator.Conflicting)
	next, edit, _ := configurator.Propose(current, current.WithPreset(configurator.Peak), 5)
	c.Assert(edit, qt.Equals, configurator.Accepted)
	c.Assert(next.Revision(), qt.Equals, current.Revision()+1)
}

// Guards against an edit that restores a withdrawn key.
func TestProposeKeepsWithdrawals(t *testing.T) {
	c := qt.New(t)
	current := base().WithKey(configurator.Key{Caller: "driver", Team: "routing", Withdrawn: true})
	next, edit, _ := configurator.Propose(current, base(), 1)
	c.Assert(edit, qt.Equals, configurator.Accepted)
	c.Assert(next.Keys()[0].Withdrawn, qt.IsTrue)
}

// Guards against an edit that is stored although no node can adopt it: the withdrawn key that it lacks is kept, but belongs to a
// team that the edit removes.
func TestProposeChecksWhatIsStored(t *testing.T) {
	c := qt.New(t)
	current := base().WithKey(configurator.Key{Caller: "driver", Team: "routing", Withdrawn: true})
	edited := configurator.Document{}.WithTeams(configurator.Team{Name: "billing"}).
		WithKeys(configurator.Key{Caller: "clerk", Team: "billing"})
	next, edit, problems := configurator.Propose(current, edited, 1)
	c.Assert(edit, qt.Equals, configurator.InvalidEdit, qt.Commentf("%v", next.Check()))
	c.Assert(problems, qt.HasLen, 1)
}

// Guards against documents that share memory: changing a copy must not change the document.
func TestDocumentIsImmutable(t *testing.T) {
	c := qt.New(t)
	d := base()
	d.Teams()[0].Name = "other"
	_ = d.WithTeam(configurator.Team{Name: "routing", Weight: 9})
	c.Assert(d.Teams()[0], qt.Equals, configurator.Team{Name: "routing"})
}

// Guards against problems of a document that Check does not report.
func TestCheckNamesEveryFault(t *testing.T) {
	d := configurator.Document{}.
		WithPreset("holiday").
		WithZones(configurator.Zone{Name: "macon"}, configurator.Zone{Name: "macon", Region: "south"}).
		WithTeams(configurator.Team{Weight: -1, Limits: configurator.Limits{RequestRate: -1}}).
		WithKeys(configurator.Key{Caller: "clerk", Team: "nobody"}).
		WithServices(configurator.Service{Name: "ledger", Kind: "other", Timeout: -1}).
		WithRules(configurator.Rule{Preset: "holiday", RolloutShare: 2})
	// Guards against a set of regions that no target can satisfy and that is adopted; without zones a document does not tell.
	confined := configurator.Document{}.
		WithTeams(configurator.Team{Name: "routing", Regions: confiner.NewRegions("north")}).
		WithServices(configurator.Service{Name: "ledger", Kind: configurator.Plain, Regions: confiner.NewRegions("")})
	var out strings.Builder
	for _, p := range append(d.Check(), confined.Check()...) {
		fmt.Fprintln(&out, p)
	}
	confined = confined.WithZones(configurator.Zone{Name: "macon", Region: "south"}).
		WithServices(configurator.Service{Name: "ledger", Kind: configurator.Plain, Regions: confiner.NewRegions("east", "south")})
	for _, p := range confined.Check() {
		fmt.Fprintln(&out, p)
	}
	goldie.New(t).Assert(t, "faults", []byte(out.String()))
}
