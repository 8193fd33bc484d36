// Package isolator identifies requests that crash targets and holds them back. Agents record which requests a target
// was running when it crashed; entries compare the crashes of different targets.
package isolator

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
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
func (f Fingerprint) String() string { return fmt.Sprintf("%x", f[:]) }

func (f Fingerprint) compare(o Fingerprint) int { return bytes.Compare(f[:], o[:]) }

// sorted sorts fingerprints in place and drops those that stand twice.
func sorted(all []Fingerprint) []Fingerprint {
	slices.SortFunc(all, Fingerprint.compare)
	return slices.Compact(all)
}

// CrashID identifies one crash of a target. Agents name the first attempt that it ended; an entry that observes its own
// attempts names the target and its incarnation, which a crash ends.
type CrashID struct {
	Request     identifier.Request
	Number      int
	Target      identifier.Target
	Incarnation identifier.Incarnation
}

func (c CrashID) compare(o CrashID) int {
	return cmp.Or(cmp.Compare(c.Request, o.Request), cmp.Compare(c.Number, o.Number),
		cmp.Compare(c.Target, o.Target), cmp.Compare(c.Incarnation, o.Incarnation))
}

// Crash is one crash of a target with the requests that the target was running at the time. It is immutable. The zero
// value means no crash.
type Crash struct {
	ID       CrashID
	Target   identifier.Target
	At       time.Time
	Suspects []Fingerprint
	// Partial is set if other requests may have been running too.
	Partial bool
	// Service is the service of the target; it may be missing.
	Service identifier.Service
	// Last is when an attempt at the target broke last; zero means At. Answered is when the last request was sent that the
	// target answered. If that is later, the target survived and only connections broke. Ended is set once the target is
	// known to have ended, which overrides it.
	Last     time.Time
	Answered time.Time
	Ended    bool
}

// WithObservation returns a copy of c with the target on which an entry observed it and the time on that entry's clock.
func (c Crash) WithObservation(t identifier.Target, at time.Time) Crash {
	c.Target, c.At = t, at
	return c
}

// WithEnd returns a copy of c whose target is known to have ended.
func (c Crash) WithEnd() Crash {
	c.Ended = true
	return c
}

// WithAnswer returns a copy of c whose target answered a request that was sent at the given time.
func (c Crash) WithAnswer(sent time.Time) Crash {
	c.Answered = latest(c.Answered, sent)
	return c
}

// WithReport returns a copy of c with what another report of the same crash adds: the times, the suspects
// of both, and whether the target ended. The order of reports makes no difference.
func (c Crash) WithReport(o Crash) Crash {
	c.Last = latest(c.lastBreak(), o.lastBreak())
	c.Answered = latest(c.Answered, o.Answered)
	if o.At.Before(c.At) {
		c.At, c.Target = o.At, o.Target
	}
	c.Suspects = sorted(append(slices.Clone(c.Suspects), o.Suspects...))
	c.Partial = c.Partial && o.Partial
	c.Service = max(c.Service, o.Service)
	c.Ended = c.Ended || o.Ended
	return c
}

// lastBreak returns when an attempt at the target broke last.
func (c Crash) lastBreak() time.Time { return latest(c.At, c.Last) }

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// equal reports whether two reports of the same crash say the same.
func (c Crash) equal(o Crash) bool {
	return c.At.Equal(o.At) && c.Target == o.Target && slices.Equal(c.Suspects, o.Suspects) && c.Partial == o.Partial &&
		c.Service == o.Service && c.Ended == o.Ended && c.Last.Equal(o.Last) && c.Answered.Equal(o.Answered)
}

// counts reports whether the crash counts against its suspects.
func (c Crash) counts() bool { return c.Ended || !c.Answered.After(c.lastBreak()) }

func (c Crash) contains(f Fingerprint) bool { return slices.Contains(c.Suspects, f) }
