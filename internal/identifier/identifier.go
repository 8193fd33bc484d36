// Package identifier defines the identities and units that every aggregate shares.
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

// Service names what callers ask for: a model served by engines or a plain service.
type Service string

// Target identifies a back end: a model engine or a plain service process.
type Target string

// Node identifies one process of the system.
type Node string

// Duty names work that at most one process does at a time.
type Duty string

// Incarnation distinguishes the starts of one process. Later starts have larger values.
type Incarnation uint64

// Fence is a fencing number. Each term of a duty has a larger one than the term before.
type Fence uint64

// Revision numbers the states of the configuration. It only rises.
type Revision uint64

// Version numbers the weights of a model. Zero means that the version is not known.
type Version uint64

// Tokens counts model tokens.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// Request identifies one call of one caller on every hop.
type Request string

// NewRequest returns a random request identity. It holds at least 128 random bits, which makes collisions negligible.
func NewRequest() Request { return Request(rand.Text()) }

// Write identifies one write to the key-value service.
type Write string

// NewWrite returns a random write identity.
func NewWrite() Write { return Write(rand.Text()) }

// Attempt identifies one try at running a request on one target.
type Attempt struct {
	Request Request
	Number  int
}

// String returns the attempt as request and number, joined by a slash.
func (a Attempt) String() string {
	return string(a.Request) + "/" + strconv.Itoa(a.Number)
}

// Next returns the identity of the attempt after a.
func (a Attempt) Next() Attempt {
	return Attempt{Request: a.Request, Number: a.Number + 1}
}

// Job identifies a batch job: many rollouts that a trainer submits at once and reads later.
type Job string

// Item identifies one rollout of a batch job.
type Item string

// Group identifies the items of a batch job that share their prompt.
type Group string

// Model names a model whose weights have versions.
type Model string
