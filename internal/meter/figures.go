// Package meter counts what each team used in each window, once for every request, and keeps the counts safe from the
// death of any one process.
package meter

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Figures are an amount of usage. They are immutable; the zero value is none.
type Figures struct {
	Requests int64
	// Input, Cached and Output count tokens; cached tokens are part of the input.
	Input  identifier.Tokens
	Cached identifier.Tokens
	Output identifier.Tokens
	// Busy is the time that targets spent.
	Busy time.Duration
	// Cross counts the bytes that went from one region to another.
	Cross identifier.Bytes
}

// WithAdded returns the sum of f and g.
func (f Figures) WithAdded(g Figures) Figures {
	f.Requests += g.Requests
	f.Input += g.Input
	f.Cached += g.Cached
	f.Output += g.Output
	f.Busy += g.Busy
	f.Cross += g.Cross
	return f
}

// WithRemoved returns f less g.
func (f Figures) WithRemoved(g Figures) Figures {
	return f.WithAdded(Figures{
		Requests: -g.Requests, Input: -g.Input, Cached: -g.Cached, Output: -g.Output, Busy: -g.Busy, Cross: -g.Cross,
	})
}
