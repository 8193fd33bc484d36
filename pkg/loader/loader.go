package loader

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Role is what a process does.
type Role string

// Roles of processes.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleStandin Role = "standin"
)

// Problem is one fault of a settings file.
type Problem struct {
	File  string
	Line  int
	Field string
	Want  string
}

// String returns the fault as file, line, field and expectation.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: want %s", p.File, p.Line, p.Field, p.Want)
}

// Load reads the settings in file for a role. Faults of the settings are returned as problems; the error is for a file
// that can't be read.
func Load(file string, role Role) (Settings, []Problem, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, nil, fmt.Errorf("read settings: %w", err)
	}
	s, problems := Parse(file, data, role)
	return s, problems, nil
}

// Parse reads settings from data. file is used in problems only.
func Parse(file string, data []byte, role Role) (Settings, []Problem) {
	var s Settings
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return s, decodeProblems(file, err)
	}
	var root yaml.Node
	_ = yaml.Unmarshal(data, &root)
	c := &checker{file: file, root: &root}
	c.check(s, role)
	return s, c.problems
}

// decodeLine matches the messages of the YAML library that name a line.
var decodeLine = regexp.MustCompile(`line (\d+): (.*)`)

// unknownField matches its message for a field that the settings do not have.
var unknownField = regexp.MustCompile(`field (\S+) not found`)

// decodeProblems turns the errors of the YAML library into problems.
func decodeProblems(file string, err error) []Problem {
	var field *fieldError
	if errors.As(err, &field) {
		return []Problem{{File: file, Line: field.line, Field: "value", Want: field.want}}
	}
	messages := []string{err.Error()}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		messages = typeErr.Errors
	}
	problems := make([]Problem, 0, len(messages))
	for _, m := range messages {
		problems = append(problems, decodeProblem(file, m))
	}
	return problems
}

func decodeProblem(file, message string) Problem {
	p := Problem{File: file, Field: "YAML", Want: strings.TrimPrefix(message, "yaml: ")}
	if m := decodeLine.FindStringSubmatch(message); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Want = m[2]
	}
	if m := unknownField.FindStringSubmatch(message); m != nil {
		p.Field, p.Want = m[1], "a field that the settings have"
	}
	return p
}
