package loader

import (
	"bytes"
	"errors"
	"io"

	"go.yaml.in/yaml/v3"
)

// Lines maps the fields of a YAML file to their line numbers.
type Lines struct {
	file string
	root *yaml.Node
}

// Problem returns a problem at the line of a field such as target.kind or teams[2].weight.
func (l Lines) Problem(field, want string) Problem {
	return Problem{File: l.file, Line: l.Line(field), Field: field, Want: want}
}

// Line returns the line of a field. If the field is missing, it is the line of the deepest part of its path that the
// file has.
func (l Lines) Line(field string) int {
	if l.root == nil {
		return 1
	}
	return lineOf(l.root, field)
}

// NewLines returns the lines of the fields of a file, which may have any fields. Those of a file that is not YAML or JSON are all 1.
func NewLines(file string, data []byte) Lines {
	root := &yaml.Node{}
	if yaml.Unmarshal(data, root) != nil {
		return Lines{file: file}
	}
	return Lines{file: file, root: root}
}

// Decode decodes data, which must hold one YAML document, into a T. It reports every unknown field, every duplicate
// field and every value of a wrong type as a problem. file is used in problems only.
func Decode[T any](file string, data []byte) (T, Lines, []Problem) {
	var value T
	lines := Lines{file: file, root: &yaml.Node{}}
	if err := yaml.Unmarshal(data, lines.root); err != nil {
		return value, lines, syntaxProblems(file, err)
	}
	w := &walker{lines: lines}
	if len(lines.root.Content) > 0 {
		w.walk(lines.root.Content[0], typeOf[T](), "")
	}
	if len(w.problems) > 0 {
		return value, lines, w.problems
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&value); err != nil && !errors.Is(err, io.EOF) {
		return value, lines, syntaxProblems(file, err)
	}
	if err := dec.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return value, lines, []Problem{{File: file, Line: 1, Field: "YAML", Want: "one document in the file"}}
	}
	return value, lines, nil
}
