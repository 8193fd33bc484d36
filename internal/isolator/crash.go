// Package isolator finds the requests that crash targets and holds them back. Agents witness which requests were on a
// target when it crashed; entries compare the crashes of different targets.
package isolator

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Fingerprint marks a request by what its caller sent, so that a resubmission has the same one.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a team's request to a service. body is what the caller sent, in parts.
func NewFingerprint(team identifier.Team, service identifier.Service, body ...string) Fingerprint {
	h := sha256.New()
	for _, part := range append([]string{string(team), string(service)}, body...) {
		// The length before each part keeps ("ab", "c") apart from ("a", "bc").
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// CrashID identifies one crash of a target: the request whose attempt first showed it.
type CrashID identifier.Attempt

func (c CrashID) compare(o CrashID) int {
	return cmp.Or(cmp.Compare(c.Request, o.Request), cmp.Compare(c.Number, o.Number))
}

// Crash is one crash of a target with the requests that it had at the time. It is immutable; the zero value is none.
type Crash struct {
	ID       CrashID
	Target   identifier.Target
	At       time.Time
	Suspects []Fingerprint
}

// WithObservation returns a copy of c at the given target, seen by an entry at the given time of its clock.
func (c Crash) WithObservation(t identifier.Target, at time.Time) Crash {
	c.Target, c.At = t, at
	return c
}

func (c Crash) suspects(f Fingerprint) bool { return slices.Contains(c.Suspects, f) }
