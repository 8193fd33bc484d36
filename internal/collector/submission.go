package collector

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Prompt is the text that the samples of one group answer, and the token limit of each answer.
type Prompt struct {
	Text  string
	Limit identifier.Tokens
}

// Submission is a numbered set of groups. The trainer numbers its submissions from 1 without gaps, so that a submission
// that is sent again is recognised. It is immutable.
type Submission struct {
	Number  uint64
	Prompts []Prompt
}

// WithPrompts returns a copy of s with the given prompts.
func (s Submission) WithPrompts(ps ...Prompt) Submission {
	s.Prompts = slices.Clone(ps)
	return s
}

// Equal reports whether the submissions are the same.
func (s Submission) Equal(o Submission) bool {
	return s.Number == o.Number && slices.Equal(s.Prompts, o.Prompts)
}
