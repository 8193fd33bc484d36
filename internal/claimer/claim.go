// Package claimer keeps at most one run of a call that carries an idempotency key, whichever entries it comes to: the
// first entry writes a claim that names the attempt before it sends it, and others ask the claimed agent.
package claimer

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
)

// Key is a caller's idempotency key as it is stored: a hash of the team and the key. The zero value is no key.
type Key string

// NewKey returns the stored form of a team's idempotency key.
func NewKey(team identifier.Team, key string) Key {
	return Key(fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(team), team, key))))
}

// path is where the claim of a key is stored.
func (k Key) path() string { return "/claim/" + string(k) }

// Claim names the attempt that alone may run a call. It is immutable. No two claims hold the same attempt, so that a
// stored claim tells who wrote it.
type Claim struct {
	Key Key
	// Fingerprint is that of the call, so that a key that comes back with another call is noticed.
	Fingerprint isolator.Fingerprint
	Attempt     identifier.Attempt
	Issued      time.Time
	Target      identifier.Target
	Incarnation identifier.Incarnation
	// Address is where the agent beside the target listens.
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

// Status is how a claim stands after it was asked for.
type Status int

const (
	// Held means that the claim is stored: its attempt, and no other, may be sent.
	Held Status = iota + 1
	// Taken means that the stored claim names another attempt.
	Taken
	// Hidden means that the store did not answer, or did not let the stored claim be read: the call may have run under
	// its key before, and the attempt must not be sent.
	Hidden
	// Unavailable means that the store took no write. The attempt must not be sent.
	Unavailable
)

var standingNames = [...]string{"none", "held", "taken", "hidden", "unavailable"}

// String returns the name of the standing.
func (s Status) String() string {
	if s < 0 || int(s) >= len(standingNames) {
		return "invalid"
	}
	return standingNames[s]
}

// Result is the answer to a claim. Claim is the stored one when it is taken.
type Result struct {
	Status Status
	Claim  Claim
}
