// Package isolator identifies requests that crash targets and holds them back. Agents record which requests a target
// was running when it crashed; entries compare the crashes of different targets.
package isolator

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Fingerprint is a hash of what the caller of a request sent, so that a resubmission has the same fingerprint.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a team's request to a service. body holds the parts that the caller sent.
func NewFingerprint(team identifier.Team, service identifier.Service, body ...string) Fingerprint {
	h := sha256.New()
	for _, part := range append([]string{string(team), string(service)}, body...) {
		// The length before each part makes ("ab", "c") and ("a", "bc") differ.
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// String returns f in hexadecimal. It shows nothing of the request, so it may stand in logs and keys.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// CrashID identifies one crash of a target by the first attempt that it ended.
type CrashID identifier.Attempt

func (c CrashID) compare(o CrashID) int {
	return cmp.Or(cmp.Compare(c.Request, o.Request), cmp.Compare(c.Number, o.Number))
}

// Crash is one crash of a target with the requests that the target was running at the time. It is immutable. The zero
// value means no crash.
type Crash struct {
	ID       CrashID
	Target   identifier.Target
	At       time.Time
	Suspects []Fingerprint
}

// WithObservation returns a copy of c with the target on which an entry observed it and the time on that entry's clock.
func (c Crash) WithObservation(t identifier.Target, at time.Time) Crash {
	c.Target, c.At = t, at
	return c
}

func (c Crash) contains(f Fingerprint) bool { return slices.Contains(c.Suspects, f) }
