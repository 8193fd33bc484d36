package executor

import (
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
)

// Call is the work of an attempt. It never contains the caller's API key. It is immutable.
type Call struct {
	Service identifier.Service
	Team    identifier.Team
	// Fingerprint identifies the request across attempts and resubmissions, to find the requests that crash targets. It is zero
	// for work that is never suspected.
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
	// Adapter names the adapter that a model service applies; empty means none.
	Adapter string
	// Method, Path, Header and Body are for plain services.
	Method string
	Path   string
	Header map[string]string
	Body   []byte
}

// Origin is the entry that sent a call. Meter is the identity under which that entry counts usage.
type Origin struct {
	Meter  identifier.Node
	Region identifier.Region
}

// WithOrigin returns a copy of c with the given origin.
func (c Call) WithOrigin(o Origin) Call {
	c.Origin = o
	return c
}

// Size returns the size of the prompt or body.
func (c Call) Size() identifier.Bytes { return identifier.Bytes(len(c.Prompt) + len(c.Body)) }

// WithProgress returns a copy of c that continues after text, which consists of tokens generated so far.
func (c Call) WithProgress(text string, tokens identifier.Tokens) Call {
	c.Prompt += text
	c.Limit -= tokens
	return c
}

// WithFingerprint returns a copy of c with the given value of Once and the fingerprint of what the caller sent.
func (c Call) WithFingerprint(once bool) Call {
	c.Once = once
	c.Fingerprint = isolator.NewFingerprint(c.Team, c.Service, c.Prompt, c.Method, c.Path, string(c.Body))
	return c
}

// WithoutFingerprint returns a copy of c that is never suspected of crashing targets.
func (c Call) WithoutFingerprint() Call {
	c.Fingerprint = isolator.Fingerprint{}
	return c
}
