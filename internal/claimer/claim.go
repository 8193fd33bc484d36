// Package claimer ensures that a call with an idempotency key runs at most once, whichever entries receive it: the
// first entry stores a claim with its attempt before it sends the attempt, and other entries query the agent that the
// claim names.
package claimer

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
)

// Key is the stored form of a caller's idempotency key: a hash of the team and the key. The zero value means no key.
type Key string

// NewKey returns the stored form of a team's idempotency key.
func NewKey(team identifier.Team, key string) Key {
	return Key(fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(team), team, key))))
}

// path returns the storage key of the claim.
func (k Key) path() string { return "/claim/" + string(k) }

// Claim names the only attempt that may run a call. It is immutable. No two claims name the same attempt, so that the
// attempt of a stored claim identifies its writer.
type Claim struct {
	Key Key
	// Fingerprint is the fingerprint of the call. It detects a key that is reused for another call.
	Fingerprint isolator.Fingerprint
	Attempt     identifier.Attempt
	Issued      time.Time
	Target      identifier.Target
	Incarnation identifier.Incarnation
	// Address is the listen address of the target's agent.
	Address string
}

// WithAttempt returns a copy of c that names another attempt.
func (c Claim) WithAttempt(a identifier.Attempt, issued time.Time) Claim {
	c.Attempt, c.Issued = a, issued
	return c
}

// WithTarget returns a copy of c that names another target.
func (c Claim) WithTarget(t identifier.Target, i identifier.Incarnation, address string) Claim {
	c.Target, c.Incarnation, c.Address = t, i, address
	return c
}

// Status is the outcome of a claim.
type Status int

const (
	// Held means that the claim is stored: only its attempt may be sent.
	Held Status = iota + 1
	// Taken means that the stored claim names another attempt.
	Taken
	// Unknown means that the store did not answer or the stored claim could not be read. The call may already have run
	// under its key, so the attempt must not be sent.
	Unknown
	// Unavailable means that the store accepted no write. The attempt must not be sent.
	Unavailable
)

var statusNames = [...]string{"none", "held", "taken", "hidden", "unavailable"}

// String returns the name of the status.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Result is the result of a claim. If the status is Taken, Claim is the stored claim.
type Result struct {
	Status Status
	Claim  Claim
}
