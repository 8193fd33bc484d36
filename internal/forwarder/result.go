package forwarder

import (
	"strconv"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
)

// Outcome is how a request came out.
type Outcome int

const (
	// Answered means that the caller got a target's whole answer.
	Answered Outcome = iota + 1
	// NoRoute means that no route matches.
	NoRoute
	// BadKey means that the route needs a key and the caller's is not known.
	BadKey
	// NotRun means that no target has run the request and none will.
	NotRun
	// Unknown means that the request may have run and has no answer.
	Unknown
	// TimedOut means that the time of the caller or the route was over.
	TimedOut
	// CallerLeft means that the caller went away.
	CallerLeft
	// Cut means that the answer broke off after it had begun.
	Cut
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"none", "answered", "no-route", "bad-key", "not-run", "unknown", "timed-out", "left", "cut"}
	if o < 0 || int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// Reason is why a request has not run.
type Reason string

// The reasons.
const (
	NoPlan   Reason = "no configuration yet"
	NoTarget Reason = "no target takes work"
	Full     Reason = "targets refused"
	Down     Reason = "targets not reached"
	Suspect  Reason = "targets broke off under this request"
)

// Attempt is one attempt of a request as it ended.
type Attempt struct {
	Target identifier.Target
	// Status is the status of the answer; zero if there was none.
	Status int
	NotRun bool
	Fault  Fault
	Took   time.Duration
}

// String returns the try in the form target:end:milliseconds.
func (t Attempt) String() string {
	end := strconv.Itoa(t.Status)
	switch {
	case t.Fault != NoFault:
		end = t.Fault.String()
	case t.NotRun:
		end += "-not-run"
	}
	return string(t.Target) + ":" + end + ":" + strconv.FormatInt(t.Took.Milliseconds(), 10)
}

// Result tells what was decided on a request.
type Result struct {
	Outcome  Outcome
	Reason   Reason
	Revision identifier.Revision
	Route    string
	Kind     navigator.Kind
	Team     identifier.Team
	Status   int
	Stamp    string
	Attempts []Attempt
	// RetryAfter is when the caller of a request that has not run should come back.
	RetryAfter time.Duration
}

// FormatAttempts returns the tries in one line.
func (r Result) FormatAttempts() string {
	parts := make([]string, 0, len(r.Attempts))
	for _, t := range r.Attempts {
		parts = append(parts, t.String())
	}
	return strings.Join(parts, " ")
}

// Failures returns the number of tries in which a target said that the request failed.
func (r Result) Failures() int {
	n := 0
	for _, t := range r.Attempts {
		if t.Fault == NoFault && !t.NotRun && t.Status == statusFailed {
			n++
		}
	}
	return n
}

// statusFailed is a target's answer to a request that it ran and that failed.
const statusFailed = 500

// mayRun reports whether a target may have run the request.
func (r Result) mayRun() bool {
	for _, t := range r.Attempts {
		if t.Fault == Broken || t.Fault == NoFault && !t.NotRun {
			return true
		}
	}
	return false
}
