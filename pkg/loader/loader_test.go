package loader_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/pkg/loader"
)

const entry = `name: entry-1
zone: macon
region: south
callers: 127.0.0.1:8080
operators: 127.0.0.1:8090
peers: 127.0.0.1:9080
store: http://127.0.0.1:2379
platform: http://127.0.0.1:2380
pepper: pepper.txt
tls:
  plain: true
`

// Guards against settings that are complete and still refused.
func TestParseAcceptsCompleteSettings(t *testing.T) {
	c := qt.New(t)
	s, problems := loader.Parse("entry.yaml", []byte(entry), loader.RoleEntry)
	c.Assert(problems, qt.HasLen, 0)
	c.Assert(s.Zone, qt.Equals, "macon")
}

// Guards against a fault that names no file, line, field or expectation.
func TestParseNamesEveryFault(t *testing.T) {
	cases := []struct{ name, text string }{
		{"unknown field", entry + "colour: blue\n"},
		{"bad duration", entry + "period: soon\n"},
		{"wrong type", entry + "workers: many\n"},
		{"not YAML", "name: [\n"},
		{"zone without region", strings.Replace(entry, "region: south\n", "", 1)},
		{"bad address", strings.Replace(entry, "127.0.0.1:8080", "8080", 1)},
		{"bad URL", strings.Replace(entry, "http://127.0.0.1:2379", "127.0.0.1", 1)},
		{"no TLS", strings.Replace(entry, "  plain: true\n", "  plain: false\n", 1)},
		{"empty", ""},
	}
	var out strings.Builder
	for _, tc := range cases {
		fmt.Fprintf(&out, "# %s\n", tc.name)
		_, problems := loader.Parse("entry.yaml", []byte(tc.text), loader.RoleEntry)
		for _, p := range problems {
			fmt.Fprintln(&out, p)
		}
	}
	goldie.New(t).Assert(t, "faults", []byte(out.String()))
}

// Guards against a VM list with one name twice.
func TestParseNamesDuplicateVM(t *testing.T) {
	const text = `standin:
  vms:
    - {name: a, role: target, zone: macon, region: south, state: live, address: "127.0.0.1:1"}
    - {name: a, role: target, zone: macon, region: south, state: live, address: "127.0.0.1:2"}
`
	_, problems := loader.Parse("standin.yaml", []byte(text), loader.RoleStandin)
	qt.Assert(t, fmt.Sprint(problems), qt.Equals, "[standin.yaml:4: standin.vms[1].name: want a name that occurs once]")
}
