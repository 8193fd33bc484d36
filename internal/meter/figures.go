// Package meter counts the usage of each team in each window, once for every request. The counts survive the death of
// any single process.
package meter

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Figures are an amount of usage. They are immutable; the zero value is no usage.
type Figures struct {
	Requests int64
	// Input, Cached and Output count tokens; cached tokens are part of the input.
	Input  identifier.Tokens
	Cached identifier.Tokens
	Output identifier.Tokens
	// Busy is the time that targets spent on the requests.
	Busy time.Duration
	// Cross counts the bytes that were sent from one region to another.
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

// WithRemoved returns f minus g.
func (f Figures) WithRemoved(g Figures) Figures {
	return f.WithAdded(Figures{
		Requests: -g.Requests, Input: -g.Input, Cached: -g.Cached, Output: -g.Output, Busy: -g.Busy, Cross: -g.Cross,
	})
}
