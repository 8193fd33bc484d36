package loader

import (
	"errors"
	"fmt"
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
	s, lines, problems := Decode[Settings](file, data)
	if len(problems) > 0 {
		return s, problems
	}
	c := &checker{lines: lines}
	c.check(s, role)
	return s, c.problems
}

// syntaxLine matches the messages of the YAML library that name a line.
var syntaxLine = regexp.MustCompile(`line (\d+): (.*)`)

// syntaxProblems turns the errors of the YAML library into problems.
func syntaxProblems(file string, err error) []Problem {
	messages := []string{err.Error()}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		messages = typeErr.Errors
	}
	problems := make([]Problem, 0, len(messages))
	for _, m := range messages {
		p := Problem{File: file, Line: 1, Field: "YAML", Want: "valid YAML: " + strings.TrimPrefix(m, "yaml: ")}
		if found := syntaxLine.FindStringSubmatch(m); found != nil {
			p.Line, _ = strconv.Atoi(found[1])
			p.Want = "valid YAML: " + found[2]
		}
		problems = append(problems, p)
	}
	return problems
}
