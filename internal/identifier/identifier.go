// Package identifier defines the identifiers and units that all aggregates share.
package identifier

import (
	"crypto/rand"
	"strconv"
)

// Team names a customer of the deployment. Usage is billed to a team.
type Team string

// Caller names one key holder within a team. It is the public identity of a key, not the key.
type Caller string

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones joined by fast links.
type Region string

// Service names what callers send requests to: a model served by engines or a plain service.
type Service string

// Target identifies a process that answers requests: a model engine or a plain service.
type Target string

// Node identifies one process of the system.
type Node string

// Duty names work that at most one process does at a time.
type Duty string

// Incarnation distinguishes the starts of one process. Later starts have larger values.
type Incarnation uint64

// Fence is a fencing token. Each term of a duty has a larger one than the previous term.
type Fence uint64

// Revision numbers the states of the configuration in ascending order.
type Revision uint64

// Version numbers the weights of a model. Zero means that the version is unknown.
type Version uint64

// Tokens counts model tokens.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// Request identifies one call of one caller. Every hop uses the same value.
type Request string

// NewRequest returns a random request ID. It holds at least 128 random bits, which makes collisions negligible.
func NewRequest() Request { return Request(rand.Text()) }

// Write identifies one write to the key-value service.
type Write string

// NewWrite returns a random write ID.
func NewWrite() Write { return Write(rand.Text()) }

// Attempt identifies one attempt to run a request on one target.
type Attempt struct {
	Request Request
	Number  int
}

// String returns the request and the number, joined by a slash.
func (a Attempt) String() string {
	return string(a.Request) + "/" + strconv.Itoa(a.Number)
}

// Next returns the ID of the attempt that follows a.
func (a Attempt) Next() Attempt {
	return Attempt{Request: a.Request, Number: a.Number + 1}
}

// Job identifies a batch job: many rollouts that a trainer submits together and whose results it reads later.
type Job string

// Item identifies one rollout of a batch job.
type Item string

// Group identifies the items of a batch job that have the same prompt.
type Group string

// Model names a model whose weights have versions.
type Model string

// Release is the software version of a target, as it names it itself. It is opaque: releases are compared for equality only.
// The version of a target's weights is a Version.
type Release string
