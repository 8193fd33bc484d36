package codec

import (
	"encoding/base64"
	"fmt"
	"os"
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// Load reads a configuration file. It returns problems for invalid content and an error if it can't read the file.
func Load(file string) (configurator.Document, []loader.Problem, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return configurator.Document{}, nil, fmt.Errorf("read configuration: %w", err)
	}
	doc, problems := Parse(file, data)
	return doc, problems, nil
}

// Parse reads a configuration file in YAML or JSON. Each problem names the file, the line, the field and the expected
// value.
func Parse(file string, data []byte) (configurator.Document, []loader.Problem) {
	doc, malformed, lines, problems := read(file, data)
	for _, p := range append(malformed, doc.Check()...) {
		problems = append(problems, lines.Problem(p.Field, p.Want))
	}
	return doc, problems
}

// Check returns the problems that exist only in the form, not in a configurator.Document: malformed hashes, durations and
// names of regions.
func (f Document) Check() []configurator.Problem {
	var ps []configurator.Problem
	for i, k := range f.Keys {
		if sum, err := base64.StdEncoding.DecodeString(k.Hash); err != nil || len(sum) != configurator.HashSize {
			ps = append(ps, configurator.Problem{
				Field: fmt.Sprintf("keys[%d].hash", i), Want: fmt.Sprintf("%d bytes in base64", configurator.HashSize),
			})
		}
	}
	for i, t := range f.Teams {
		ps = append(ps, checkRegions(fmt.Sprintf("teams[%d]", i), t.Regions)...)
	}
	for i, s := range f.Services {
		ps = append(ps, checkRegions(fmt.Sprintf("services[%d]", i), s.Regions)...)
		if _, err := time.ParseDuration(s.Timeout); s.Timeout != "" && err != nil {
			ps = append(ps, configurator.Problem{Field: fmt.Sprintf("services[%d].timeout", i), Want: "a duration such as 30s"})
		}
	}
	return ps
}

// checkRegions returns a problem for each name that no region can have. A set of regions leaves such names out.
func checkRegions(element string, names []identifier.Region) []configurator.Problem {
	var ps []configurator.Problem
	for i, name := range names {
		if confiner.NewRegions(name).Empty() {
			ps = append(ps, configurator.Problem{Field: fmt.Sprintf("%s.regions[%d]", element, i), Want: "the name of a region"})
		}
	}
	return ps
}
