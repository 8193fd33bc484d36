package mimosalb_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// example holds the settings of one folder below examples.
type example struct {
	c       *qt.C
	doc     configurator.Document
	entries []loader.Settings
	agents  []loader.Settings
}

// readExample loads the files of a folder and fails the test if one of them has a problem.
func readExample(c *qt.C, folder string) example {
	x := example{c: c}
	files, err := filepath.Glob(folder + "/*.yaml")
	c.Assert(err, qt.IsNil)
	for _, f := range files {
		name, _, _ := strings.Cut(strings.TrimSuffix(filepath.Base(f), ".yaml"), "-")
		if name == "config" {
			doc, problems, err := codec.Load(f)
			c.Assert(err, qt.IsNil)
			c.Assert(problems, qt.HasLen, 0, qt.Commentf("%v", problems))
			x.doc = doc
			continue
		}
		s, problems, err := loader.Load(f, loader.Role(name))
		c.Assert(err, qt.IsNil)
		c.Assert(problems, qt.HasLen, 0, qt.Commentf("%v", problems))
		switch loader.Role(name) {
		case loader.RoleEntry:
			x.entries = append(x.entries, s)
		case loader.RoleAgent:
			x.agents = append(x.agents, s)
		default:
		}
	}
	return x
}

// checkSettings checks that names and addresses are unique and that zones, regions, services and kinds agree with the
// configuration.
func (x example) checkSettings() {
	seen := make(map[string]string)
	for _, s := range slices.Concat(x.entries, x.agents) {
		x.c.Check(x.doc.Region(identifier.Zone(s.Zone)), qt.Equals, identifier.Region(s.Region), qt.Commentf(s.Name))
		for _, unique := range []string{s.Name, s.Peers, s.Callers, s.Operators} {
			if unique != "" {
				x.c.Check(seen[unique], qt.Equals, "", qt.Commentf("%s: %s", s.Name, unique))
			}
			seen[unique] = s.Name
		}
	}
	for _, s := range x.agents {
		service, ok := x.doc.Service(identifier.Service(s.Target.Service))
		x.c.Check(ok, qt.IsTrue, qt.Commentf(s.Name))
		x.c.Check(string(service.Kind), qt.Equals, s.Target.Kind, qt.Commentf(s.Name))
	}
}

// Guards against an example that the programs reject, that contradicts itself, or whose size differs from the workload
// on the design page.
func TestExamples(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	for _, folder := range []string{"local", "lumentra", "magnolia"} {
		x := readExample(c, filepath.Join("examples", folder))
		x.checkSettings()
		fmt.Fprintf(&out, "%s: %d entries, %d teams\n", folder, len(x.entries), len(x.doc.Teams()))
		for _, service := range x.doc.Services() {
			zones := make(map[string]int)
			for _, a := range x.agents {
				if a.Target.Service == string(service.Name) {
					zones[a.Zone]++
				}
			}
			fmt.Fprintf(&out, "  %s %s: %v\n", service.Kind, service.Name, zones)
		}
	}
	goldie.New(t).Assert(t, "examples", []byte(out.String()))
}
