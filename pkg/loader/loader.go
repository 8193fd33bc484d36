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

// Role is the function of a process, which decides which settings it requires.
type Role string

// Roles of processes.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleStandin Role = "standin"
)

// Problem describes an invalid or missing field of a settings file and what was expected.
type Problem struct {
	File  string
	Line  int
	Field string
	Want  string
}

// String formats the problem as file, line, field and expectation.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: want %s", p.File, p.Line, p.Field, p.Want)
}

// Load reads and validates the settings in file for a role. Invalid settings are returned as problems; the error
// reports a file that can't be read.
func Load(file string, role Role) (Settings, []Problem, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, nil, fmt.Errorf("read settings: %w", err)
	}
	s, problems := Parse(file, data, role)
	return s, problems, nil
}

// Parse decodes settings from data and validates them for a role. file is used in problems only.
func Parse(file string, data []byte, role Role) (Settings, []Problem) {
	s, lines, problems := Decode[Settings](file, data)
	if len(problems) > 0 {
		return s, problems
	}
	c := &checker{lines: lines}
	c.check(s, role)
	return s, c.problems
}

// syntaxLine matches the messages of the YAML library that contain a line number.
var syntaxLine = regexp.MustCompile(`line (\d+): (.*)`)

// syntaxProblems converts an error of the YAML library to problems.
func syntaxProblems(file string, err error) []Problem {
	messages := []string{err.Error()}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		messages = typeErr.Errors
	}
	problems := make([]Problem, 0, len(messages))
	for _, m := range messages {
		p := Problem{File: file, Line: 1, Field: "YAML", Want: "valid YAML: " + strings.TrimPrefix(m, "yaml: ")}
		if match := syntaxLine.FindStringSubmatch(m); match != nil {
			p.Line, _ = strconv.Atoi(match[1])
			p.Want = "valid YAML: " + match[2]
		}
		problems = append(problems, p)
	}
	return problems
}
