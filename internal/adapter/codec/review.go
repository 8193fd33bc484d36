package codec

import (
	"encoding/base64"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/checker"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// Review is a configuration file with the findings of its check. It is immutable.
type Review struct {
	document configurator.Document
	readable bool
	findings []checker.Finding
	lines    loader.Lines
}

// NewReview checks the contents of a configuration file in YAML or JSON.
func NewReview(file string, data []byte) Review {
	doc, malformed, lines, problems := read(file, data)
	r := Review{document: doc, readable: len(problems) == 0, lines: lines}
	if !r.readable {
		return r.WithProblems(problems...)
	}
	for _, p := range malformed {
		r = r.WithFindings(p.Finding())
	}
	return r.WithFindings(doc.Findings()...)
}

// WithProblems returns a copy of r with problems of the file's form, whose lines are known.
func (r Review) WithProblems(problems ...loader.Problem) Review {
	r.findings = slices.Clone(r.findings)
	for _, p := range problems {
		f := checker.New(checker.Error, checker.Invalid, p.Field, "want "+p.Want)
		f.Place.Line = p.Line
		r.findings = append(r.findings, f)
	}
	return r
}

// WithFindings returns a copy of r with further findings, at the lines of their paths.
func (r Review) WithFindings(findings ...checker.Finding) Review {
	r.findings = slices.Clone(r.findings)
	for _, f := range findings {
		r.findings = append(r.findings, f.WithLines(r.lines.Line))
	}
	return r
}

// Document returns the document of the file. ok is false if the file doesn't have the form of a configuration.
func (r Review) Document() (doc configurator.Document, ok bool) { return r.document, r.readable }

// Findings returns the findings in the order of their lines.
func (r Review) Findings() []checker.Finding { return checker.ByLine(r.findings) }

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
		if sum, err := base64.StdEncoding.DecodeString(k.Hash); err != nil || len(sum) != configurator.HashSize {
			f.Keys[i].Hash = base64.StdEncoding.EncodeToString(make([]byte, configurator.HashSize))
		}
	}
	for i, s := range f.Services {
		if _, err := time.ParseDuration(s.Timeout); err != nil {
			f.Services[i].Timeout = ""
		}
	}
	return f
}
