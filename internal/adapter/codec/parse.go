package codec

import (
	"encoding/base64"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
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

// read decodes a configuration file. If it doesn't have the form of a configuration, problems says why and the document is empty.
// Malformed hashes and durations are returned as such, and left out of the document, so that the rest can be checked as well.
func read(file string, data []byte) (doc configurator.Document, malformed []configurator.Problem, lines loader.Lines, problems []loader.Problem) {
	form, lines, problems := loader.Decode[Document](file, data)
	if len(problems) > 0 {
		return doc, nil, lines, problems
	}
	malformed = form.Check()
	doc, err := form.wellFormed().Document()
	if err != nil {
		panic("invariant well-formed: what is malformed was left out: " + err.Error())
	}
	return doc, malformed, lines, nil
}

// wellFormed returns a copy of f with an empty hash and no timeout where these are malformed.
func (f Document) wellFormed() Document {
	f.Keys, f.Services = slices.Clone(f.Keys), slices.Clone(f.Services)
	for i, k := range f.Keys {
		if !isHash(k.Hash) {
			f.Keys[i].Hash = base64.StdEncoding.EncodeToString(make([]byte, configurator.HashSize))
		}
	}
	for i, s := range f.Services {
		if !isTimeout(s.Timeout) {
			f.Services[i].Timeout = ""
		}
	}
	return f
}

// Check returns the problems that exist only in the form, not in a configurator.Document: malformed hashes and
// durations.
func (f Document) Check() []configurator.Problem {
	var ps []configurator.Problem
	for i, k := range f.Keys {
		if !isHash(k.Hash) {
			ps = append(ps, configurator.Problem{
				Field: fmt.Sprintf("keys[%d].hash", i), Want: fmt.Sprintf("%d bytes in base64", configurator.HashSize),
			})
		}
	}
	for i, s := range f.Services {
		if !isTimeout(s.Timeout) {
			ps = append(ps, configurator.Problem{Field: fmt.Sprintf("services[%d].timeout", i), Want: "a duration such as 30s"})
		}
	}
	return ps
}

// isHash reports whether text is the hash of a key in base64.
func isHash(text string) bool {
	sum, err := base64.StdEncoding.DecodeString(text)
	return err == nil && len(sum) == configurator.HashSize
}

// isTimeout reports whether text is a duration or empty.
func isTimeout(text string) bool {
	_, err := time.ParseDuration(text)
	return text == "" || err == nil
}
