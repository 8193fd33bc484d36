package commander_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/commander"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// transcript runs commands against a server and records their output and exit codes.
type transcript struct {
	c      *qt.C
	server *server
	folder string
	out    strings.Builder
}

func newTranscript(t *testing.T, s *server) *transcript {
	c := qt.New(t)
	return &transcript{c: c, server: s, folder: c.TempDir()}
}

// secret matches callers' keys, which are random.
var secret = regexp.MustCompile(`mk-[A-Za-z0-9_-]+`)

func (tr *transcript) run(args ...string) commander.Code {
	return tr.runWith([]string{"--address", tr.server.address, "--token", tr.server.token}, args...)
}

func (tr *transcript) runWith(flags []string, args ...string) commander.Code {
	var out, errOut bytes.Buffer
	code := commander.Run(context.Background(), append(flags, args...), &out, &errOut)
	text := fmt.Sprintf("$ mimosactl %s\n%s", strings.Join(args, " "), &out)
	for line := range strings.Lines(errOut.String()) {
		text += "! " + line
	}
	text = strings.NewReplacer(tr.folder+"/", "", tr.server.address, "ADDRESS", strings.TrimPrefix(tr.server.address, "http://"), "HOST").Replace(text)
	fmt.Fprintf(&tr.out, "%s= %d\n\n", secret.ReplaceAllString(text, "KEY"), code)
	return code
}

func (tr *transcript) file(name, text string) string {
	path := filepath.Join(tr.folder, name)
	tr.c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func (tr *transcript) assert(t *testing.T) {
	goldie.New(t).Assert(t, t.Name(), []byte(tr.out.String()))
}

const document = `preset: ordinary
zones:
  - {name: macon, region: south}
teams:
  - {name: routing, weight: 2, limits: {requests: 50}}
  - {name: billing}
services:
  - {name: matcher, kind: model, scoring: true, timeout: 30s}
  - {name: ledger, kind: plain, once: true}
presets:
  - {name: peak, training: true, rollouts: 0.25, spare: 1}
`

// Guards against unnoticed changes of the commands' output.
func TestCommands(t *testing.T) {
	tr := newTranscript(t, newServer(qt.New(t), fixedRoutes{}))
	file := tr.file("config.yaml", document)
	for _, line := range []string{
		"status",
		"apply --dry-run -f " + file,
		"apply -f " + file,
		"apply -f " + file,
		"get",
		"get -o yaml",
		"preset show",
		"preset switch peak",
		"preset switch holiday",
		"team list",
		"team set sorting --weight 3 --concurrency 8",
		"team set sorting --tokens 100",
		"team remove sorting",
		"team remove sorting",
		"team list -o json",
		"key create driver --team routing",
		"key create driver --team routing",
		"key create clerk --team nobody",
		"key list",
		"key withdraw driver",
		"key withdraw nobody",
		"key list -o yaml",
		"team remove routing",
		"apply --dry-run -f " + file,
		"service list",
		"service set atlas",
		"service set atlas --kind model --open yes --request-timeout 5s",
		"service set atlas --open no --requests 7",
		"service remove atlas",
		"service list -o json",
		"target list",
		"target list -o json",
		"target plan",
		"target drain m-1",
		"usage",
		"usage -o yaml",
		"status -o json",
	} {
		tr.run(strings.Fields(line)...)
	}
	tr.assert(t)
}

// Guards against regions that a command loses, and against a listing that does not show a restriction, or one that shows a column for
// them where there is none.
func TestRegions(t *testing.T) {
	tr := newTranscript(t, newServer(qt.New(t)))
	file := tr.file("config.yaml", document)
	for _, line := range []string{
		"apply -f " + file,
		"team set routing --regions south",
		"team set routing --weight 3",
		"service set matcher --regions south,north",
		"team list",
		"service list",
		"service list -o json",
		"get",
		"service set matcher --regions north",
		"service set matcher --regions south,",
		"service set matcher --regions=",
		"service list",
	} {
		tr.run(strings.Fields(line)...)
	}
	tr.assert(t)
}

// Guards against an error in a configuration file that is reported without the file, the line, the field or the expected
// value.
func TestApplyNamesEveryFault(t *testing.T) {
	tr := newTranscript(t, newServer(qt.New(t)))
	for name, text := range map[string]string{
		"a-unknown-field.yaml": document + "colour: blue\n",
		"b-duration.yaml":      strings.Replace(document, "30s", "soon", 1),
		"c-duplicate.yaml":     strings.Replace(document, "billing", "routing", 1),
		"d-zone.yaml":          strings.Replace(document, ", region: south", "", 1),
		"e-type.yaml":          strings.Replace(document, "weight: 2", "weight: heavy", 1),
		"f-key.yaml":           document + "keys:\n  - {name: driver, team: routing, hash: short}\n",
		"g-json.json":          `{"preset":"peak","teams":[{"name":5,"weight":"x"}]}`,
		"h-bytes.yaml":         "preset: \xff\xfe\n",
		"i-preset.yaml":        "preset: holiday\n",
		"j-regions.yaml":       strings.Replace(document, "billing}", "billing, regions: [south, \"\"]}", 1),
		"k-regions.yaml":       strings.Replace(document, "scoring: true", "scoring: true, regions: [east]", 1),
	} {
		tr.file(name, text)
	}
	files, err := filepath.Glob(tr.folder + "/*")
	tr.c.Assert(err, qt.IsNil)
	for _, f := range append(files, tr.folder+"/missing.yaml") {
		tr.c.Check(tr.run("apply", "-f", f), qt.Equals, commander.BadInput)
	}
	tr.assert(t)
}

// Guards against an edit that overwrites a concurrent one, and against a conflict message without the other edit's
// changes.
func TestLostRaceShowsTheDifference(t *testing.T) {
	tr := newTranscript(t, newServer(qt.New(t)))
	edit := func(change func(configurator.Document) configurator.Document) {
		tr.c.Assert(tr.server.editor.Edit(context.Background(), 0, change).Accepted(), qt.IsTrue)
	}
	file := tr.file("config.yaml", document)
	stale := tr.file("stale.yaml", "revision: 1\n"+document)
	tr.c.Check(tr.run("apply", "-f", file), qt.Equals, commander.Done)
	edit(func(d configurator.Document) configurator.Document { return d.WithPreset(configurator.Peak) })
	tr.c.Check(tr.run("apply", "-f", stale), qt.Equals, commander.Conflict)
	tr.server.store.beforeSwap = func() {
		edit(func(d configurator.Document) configurator.Document {
			return d.WithTeam(configurator.Team{Name: "sorting", Weight: 4})
		})
	}
	tr.c.Check(tr.run("team", "set", "billing", "--weight", "5"), qt.Equals, commander.Conflict)
	tr.c.Check(tr.run("team", "list"), qt.Equals, commander.Done)
	tr.assert(t)
}

// Guards against failures that scripts can't tell apart by their exit codes.
func TestExitCodesTellFailuresApart(t *testing.T) {
	tr := newTranscript(t, newServer(qt.New(t)))
	wrong := tr.file("wrong-token", "wrong")
	tr.c.Check(tr.run(), qt.Equals, commander.Done)
	tr.c.Check(tr.run("--no-such-flag"), qt.Equals, commander.BadInput)
	tr.c.Check(tr.run("target", "list"), qt.Equals, commander.Failed)
	tr.c.Check(tr.run("target", "drain", "m-1"), qt.Equals, commander.Failed)
	tr.c.Check(tr.runWith([]string{"--address", tr.server.address}, "get"), qt.Equals, commander.Failed)
	tr.c.Check(tr.runWith([]string{"--address", tr.server.address, "--token", wrong}, "get"), qt.Equals, commander.Failed)
	tr.c.Check(tr.runWith([]string{"--address", "8090"}, "get"), qt.Equals, commander.BadInput)
	tr.server.store.loseNextReply = true
	tr.c.Check(tr.run("preset", "switch", "peak"), qt.Equals, commander.Unknown)
	tr.server.store.down = storer.Unavailable
	tr.c.Check(tr.run("preset", "switch", "ordinary"), qt.Equals, commander.Unavailable)
	tr.assert(t)
}

// Guards against a change whose outcome is reported as unknown although no connection to the server was established.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := "http://" + l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	var out, errOut bytes.Buffer
	args := []string{"--address", address, "preset", "switch", "peak"}
	c.Assert(commander.Run(context.Background(), args, &out, &errOut), qt.Equals, commander.Unavailable)
}

// Guards against a change that is reported as not sent although the connection was lost after the request.
func TestLostReplyIsUnknown(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() {
		if conn, err := l.Accept(); err == nil {
			_, _ = conn.Read(make([]byte, 1024))
			_ = conn.Close()
		}
	}()
	var out, errOut bytes.Buffer
	args := []string{"--address", "http://" + l.Addr().String(), "preset", "switch", "peak"}
	c.Assert(commander.Run(context.Background(), args, &out, &errOut), qt.Equals, commander.Unknown)
}
