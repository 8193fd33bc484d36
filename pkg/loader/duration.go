package loader

import (
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// wantDuration is what a duration field expects.
const wantDuration = "a duration such as 250ms or 8s"

// Duration is a time.Duration that is written like 250ms or 8s.
type Duration time.Duration

// UnmarshalYAML reads a duration.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	v, err := time.ParseDuration(node.Value)
	if err != nil {
		return &fieldError{line: node.Line, want: wantDuration}
	}
	*d = Duration(v)
	return nil
}

// fieldError is a fault at a line of a YAML file.
type fieldError struct {
	line int
	want string
}

func (e *fieldError) Error() string { return fmt.Sprintf("line %d: want %s", e.line, e.want) }
