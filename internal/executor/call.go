package executor

import (
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
)

// Call is the work of an attempt. It never holds the caller's key. It is immutable.
type Call struct {
	Service identifier.Service
	Team    identifier.Team
	// Fingerprint marks the request across attempts and resubmissions, to tell which requests crash targets.
	Fingerprint isolator.Fingerprint
	// Once marks a call that may not be repeated.
	Once bool
	// Origin is the entry that sent the call.
	Origin Origin
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

// Origin is the place that a call came from. Meter is the identity under which the entry counts usage.
type Origin struct {
	Meter  identifier.Node
	Region identifier.Region
}

// WithOrigin returns a copy of c that came from o.
func (c Call) WithOrigin(o Origin) Call {
	c.Origin = o
	return c
}

// Size returns the bytes of the prompt or body.
func (c Call) Size() identifier.Bytes { return identifier.Bytes(len(c.Prompt) + len(c.Body)) }

// WithProgress returns a copy of c that continues after the given text of already generated tokens.
func (c Call) WithProgress(text string, tokens identifier.Tokens) Call {
	c.Prompt += text
	c.Limit -= tokens
	return c
}

// WithFingerprint returns a copy of c with its fingerprint, made from what the caller sent, and its repeatability.
func (c Call) WithFingerprint(once bool) Call {
	c.Once = once
	c.Fingerprint = isolator.NewFingerprint(c.Team, c.Service, c.Prompt, c.Method, c.Path, string(c.Body))
	return c
}
