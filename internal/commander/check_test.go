package commander_test

import (
	"context"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/commander"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/evacuator"
)

// clean is a configuration file without findings.
const clean = `preset: ordinary
zones:
  - {name: macon, region: south}
  - {name: beaufort, region: carolina}
teams:
  - {name: routing, weight: 2, limits: {requests: 50}}
  - {name: billing}
services:
  - {name: matcher, kind: model, scoring: true, timeout: 30s}
  - {name: ledger, kind: plain, once: true}
presets:
  - {name: peak, training: true, rollouts: 0.25, spare: 1}
`

// conflicting is a configuration file whose parts contradict each other or can never take effect.
const conflicting = `preset: peak
zones:
  - name: macon
    region: south
evacuated: [macon, atlantis]
teams:
  - name: routing
    limits:
      requests: 80
      tokens: 900
      concurrency: 3
keys:
  - {name: clerk, team: routing, hash: AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE=}
  - {name: driver, team: routing, hash: AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE=}
  - {name: former, team: routing, hash: AgICAgICAgICAgICAgICAgICAgICAgICAgICAgICAgI=, withdrawn: true}
  - {name: porter, team: routing, hash: AgICAgICAgICAgICAgICAgICAgICAgICAgICAgICAgI=}
services:
  - name: matcher
    kind: model
    scoring: true
    limits: {requests: 20, tokens: 5, concurrency: 4}
  - name: ledger
    kind: plain
    scoring: true
    limits: {requests: 30, tokens: 7}
presets:
  - name: peak
    rollouts: 1
    spare: 1
  - name: ordinary
    spare: -1
`

// faulty is a configuration file with errors of several kinds, which all have to be reported at once.
const faulty = `preset: holiday
zones:
  - {name: macon}
teams:
  - {name: routing, weight: .nan}
  - {name: routing, limits: {requests: .inf}}
keys:
  - {name: clerk, team: nobody, hash: short}
services:
  - {name: matcher, kind: other, timeout: soon}
presets:
  - {name: peak, rollouts: 2}
`

// onlyModels is a configuration file without plain services.
const onlyModels = `teams:
  - {name: a, limits: {requests: 9, tokens: 3}}
services: [{name: m, kind: model}]
presets: [{name: peak, training: true}]
`

// confined is a configuration file whose regions don't fit together.
const confined = `zones:
  - {name: macon, region: south}
  - {name: beaufort, region: carolina}
evacuated: [beaufort]
teams:
  - {name: a, regions: [south, atlantis]}
  - {name: b, regions: [carolina]}
  - {name: c, regions: [nowhere]}
  - {name: d, regions: [carolina]}
services:
  - {name: ledger, kind: plain, regions: [south]}
  - {name: pledge, kind: plain}
`

// Guards against errors, entries without effect or contradictions that are not reported, or are reported without their line or with the
// wrong exit code, and against one error that hides others.
func TestCheckFindings(t *testing.T) {
	tr := newTranscript(t, newServer(qt.New(t)))
	for _, f := range []struct {
		name, text    string
		code, lenient commander.Code
	}{
		{"clean.yaml", clean, 0, 0},
		{"conflicting.yaml", conflicting, 1, 0},
		{"models.yaml", onlyModels, 1, 0},
		{"plain.yaml", "teams:\n  - name: a\n    limits: {tokens: 3}\nservices: [{name: m, kind: plain}]\n", 1, 0},
		{"confined.yaml", confined, 1, 1},
		{"faulty.yaml", faulty, 1, 1},
		{"form.yaml", clean + "colour: blue\n", 1, 1},
		{"syntax.yaml", "zones: [\n", 1, 1},
		{"empty.yaml", "", 1, 0},
	} {
		path := tr.file(f.name, f.text)
		tr.c.Check(tr.run("check", "--compare", "no", path), qt.Equals, f.code)
		tr.c.Check(tr.run("check", "--compare", "no", "--warnings", "show", "-o", "json", path), qt.Equals, f.lenient)
	}
	tr.assert(t)
}

// Guards against a check that hides what an edit would change or that it would be refused, and against keys in a comparison.
func TestCheckComparesWithTheVersionInForce(t *testing.T) {
	tr := newTranscript(t, newServer(qt.New(t)))
	tr.run("check", "--compare", "yes", tr.file("clean.yaml", clean))
	tr.run("apply", "-f", tr.folder+"/clean.yaml")
	tr.run("key", "create", "driver", "--team", "routing")
	tr.run("key", "create", "clerk", "--team", "billing")
	tr.run("key", "withdraw", "clerk")
	tr.server.editor.Edit(t.Context(), 0, func(d configurator.Document) configurator.Document {
		return d.WithEvacuated(evacuator.NewZones("beaufort"))
	})
	tr.run("check", tr.folder+"/clean.yaml")
	edited := strings.NewReplacer(
		"weight: 2", "weight: 3", "  - {name: billing}\n", "", "  - {name: beaufort, region: carolina}\n", "", ", spare: 1", "",
	).Replace(clean)
	edited = "revision: 2\nevacuated: [macon]\n" + edited
	path := tr.file("edited.yaml", edited)
	tr.c.Check(tr.run("check", path), qt.Equals, commander.Failed)
	tr.run("check", "-o", "json", path)
	keys := "keys: [{name: clerk, team: routing, hash: AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE=}]\n"
	tr.run("check", tr.file("keys.yaml", edited+keys))
	tr.assert(t)
}

// Guards against a check that reports findings when it could not be made, that fails because no entry answers, or that does not say that
// it compared nothing.
func TestCheckWithoutAnEntry(t *testing.T) {
	tr := newTranscript(t, newServer(qt.New(t)))
	path := tr.file("clean.yaml", clean)
	tr.c.Check(tr.runWith([]string{"--address", tr.server.address}, "check", path), qt.Equals, commander.Done)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	tr.c.Assert(err, qt.IsNil)
	flags := []string{"--address", "http://" + l.Addr().String(), "--timeout", "5s"}
	tr.c.Assert(l.Close(), qt.IsNil)
	tr.server.address = flags[1]
	tr.c.Check(tr.runWith(flags, "check", path), qt.Equals, commander.Done)
	tr.c.Check(tr.runWith(flags, "check", "-o", "json", path), qt.Equals, commander.Done)
	tr.c.Check(tr.runWith(flags, "check", "--compare", "yes", path), qt.Equals, commander.BadInput)
	tr.c.Check(tr.runWith(flags, "check", tr.folder+"/missing.yaml"), qt.Equals, commander.BadInput)
	tr.c.Check(tr.runWith(flags, "check"), qt.Equals, commander.BadInput)
	tr.c.Check(commander.Run(context.Background(), []string{"check", path}, full{}, &tr.out), qt.Equals, commander.BadInput)
	tr.assert(t)
}

// full is an output that can't be written to.
type full struct{}

func (full) Write([]byte) (int, error) { return 0, net.ErrClosed }
