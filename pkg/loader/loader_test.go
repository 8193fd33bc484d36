package loader_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/pkg/loader"
)

const entrySettings = `name: entry-1
zone: macon
region: south
callers: 127.0.0.1:8080
operators: 127.0.0.1:8090
peers: 127.0.0.1:9080
store: http://127.0.0.1:2379
platform: http://127.0.0.1:2380
pepper: pepper.txt
operator: operator.txt
tls:
  plain: true
`

// Guards against complete settings that are rejected.
func TestParseAcceptsCompleteSettings(t *testing.T) {
	c := qt.New(t)
	s, problems := loader.Parse("entry.yaml", []byte(entrySettings), loader.RoleEntry)
	c.Assert(problems, qt.HasLen, 0)
	c.Assert(s.Zone, qt.Equals, "macon")
}

// Guards against problems that lack the file, line, field or expectation, which an operator needs to fix the settings.
func TestParseNamesEveryProblem(t *testing.T) {
	cases := []struct{ name, text string }{
		{"unknown field", entrySettings + "colour: blue\n"},
		{"bad duration", entrySettings + "period: soon\n"},
		{"wrong type", entrySettings + "workers: many\n"},
		{"list for a string", strings.Replace(entrySettings, "zone: macon", "zone: [macon]", 1)},
		{"string for a mapping", entrySettings + "trace: yes\n"},
		{"field twice", entrySettings + "zone: beaufort\n"},
		{"unknown field in a mapping", entrySettings + "target:\n  colour: blue\n"},
		{"two documents", entrySettings + "---\n" + entrySettings},
		{"linger beyond the stop", entrySettings + "linger: 1m\n"},
		{"bad trace receiver", entrySettings + "trace: {otlp: nowhere}\n"},
		{"not YAML", "name: [\n"},
		{"zone without region", strings.Replace(entrySettings, "region: south\n", "", 1)},
		{"bad address", strings.Replace(entrySettings, "127.0.0.1:8080", "8080", 1)},
		{"bad URL", strings.Replace(entrySettings, "http://127.0.0.1:2379", "127.0.0.1", 1)},
		{"no TLS", strings.Replace(entrySettings, "  plain: true\n", "  plain: false\n", 1)},
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

// Guards against problems in the settings of agents and stand-ins that lack the line or field.
func TestParseNamesProblemsOfEachRole(t *testing.T) {
	cases := []struct {
		name, text string
		role       loader.Role
	}{
		{"agent without target", "name: a\nzone: macon\nregion: south\npeers: 127.0.0.1:1\ntls: {plain: true}\n", loader.RoleAgent},
		{"agent with a bad target", "target:\n  name: m\n  kind: other\n  concurrency: -1\n", loader.RoleAgent},
		{"stand-in without list", "name: s\n", loader.RoleStandin},
		{
			"stand-in with one back end twice",
			"standin:\n  engines:\n    - {name: m, address: \"127.0.0.1:1\", token: 1ms}\n    - {name: m, address: x}\n",
			loader.RoleStandin,
		},
		{
			"stand-in with a name in both lists",
			"standin:\n  engines: [{name: m, address: \"127.0.0.1:1\"}]\n  services: [{name: m, address: \"127.0.0.1:2\"}]\n",
			loader.RoleStandin,
		},
	}
	var out strings.Builder
	for _, tc := range cases {
		fmt.Fprintf(&out, "# %s\n", tc.name)
		_, problems := loader.Parse("settings.yaml", []byte(tc.text), tc.role)
		for _, p := range problems {
			fmt.Fprintln(&out, p)
		}
	}
	goldie.New(t).Assert(t, "roles", []byte(out.String()))
}

// Guards against a panic or an endless walk on arbitrary input, such as aliases that contain themselves.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{entrySettings, "a: &x [*x]", "standin: &s\n  vms: [*s]\n", "target: {name: [", "period: 1", "\xff", "<<: 1"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, role := range []loader.Role{loader.RoleEntry, loader.RoleAgent, loader.RoleStandin} {
			_, problems := loader.Parse("f.yaml", data, role)
			for _, p := range problems {
				if p.Line < 1 || p.Field == "" || p.Want == "" {
					t.Errorf("problem %+v names no line, field or expectation", p)
				}
			}
		}
	})
}

// Guards against accepting a VM list in which two VMs have the same name.
func TestParseNamesDuplicateVM(t *testing.T) {
	const text = `standin:
  vms:
    - {name: a, role: target, zone: macon, region: south, state: live, address: "127.0.0.1:1"}
    - {name: a, role: target, zone: macon, region: south, state: live, address: "127.0.0.1:2"}
`
	_, problems := loader.Parse("standin.yaml", []byte(text), loader.RoleStandin)
	qt.Assert(t, fmt.Sprint(problems), qt.Equals, "[standin.yaml:4: standin.vms[1].name: want a name that occurs once]")
}
