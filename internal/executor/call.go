package executor

import (
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Call is the work of an attempt. It never holds the caller's key. It is immutable.
type Call struct {
	Service identifier.Service
	Team    identifier.Team
	// Prompt, Limit, Priority and Version are for model services. Version zero accepts any weight version.
	Prompt   string
	Limit    identifier.Tokens
	Priority int
	Version  identifier.Version
	// Adapter names the adapter that a model service is to apply; empty is none.
	Adapter string
	// Method, Path, Header and Body are for plain services.
	Method string
	Path   string
	Header map[string]string
	Body   []byte
}

// WithProgress returns a copy of c that continues after the given text of already generated tokens.
func (c Call) WithProgress(text string, tokens identifier.Tokens) Call {
	c.Prompt += text
	c.Limit -= tokens
	return c
}
