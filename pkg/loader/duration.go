package loader

import (
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// wantDuration is the Want text of a problem in a duration field.
const wantDuration = "a duration such as 250ms or 8s"

// Duration is a time.Duration written in the format of time.ParseDuration, such as 250ms or 8s.
type Duration time.Duration

// UnmarshalYAML parses the duration in node.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	v, err := time.ParseDuration(node.Value)
	if err != nil {
		return &fieldError{line: node.Line, want: wantDuration}
	}
	*d = Duration(v)
	return nil
}

// fieldError reports an invalid value at a line of a YAML file.
type fieldError struct {
	line int
	want string
}

func (e *fieldError) Error() string { return fmt.Sprintf("line %d: want %s", e.line, e.want) }
