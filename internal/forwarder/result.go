package forwarder

import (
	"strconv"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/navigator"
)

// Outcome is the outcome of a request.
type Outcome int

const (
	// Answered means that the caller got a target's complete answer.
	Answered Outcome = iota + 1
	// NoRoute means that no route matches.
	NoRoute
	// BadKey means that the route requires an API key and the caller's key is unknown.
	BadKey
	// NotRun means that no target has run the request or will run it.
	NotRun
	// Unknown means that the request may have run and has no answer.
	Unknown
	// TimedOut means that the timeout of the caller or the route passed before an answer.
	TimedOut
	// CallerLeft means that the caller closed the connection.
	CallerLeft
	// Interrupted means that the answer broke off after it had begun.
	Interrupted
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"none", "answered", "no-route", "bad-key", "not-run", "unknown", "timed-out", "left", "cut"}
	if o < 0 || int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// Reason is why a request was not sent or not run.
type Reason string

// The reasons of the outcome NotRun. Suspect also comes with Unknown, if targets broke off under this attempt of the caller.
const (
	NoPlan             Reason = "no configuration yet"
	NoTarget           Reason = "no target takes work"
	TargetsRefused     Reason = "targets refused"
	TargetsUnreachable Reason = "targets not reached"
	TargetsLimited     Reason = "targets take no more requests now"
	Expired            Reason = "time was up before the request had arrived"
	Stopping           Reason = "the process stops before the time of the request is up"
	OriginUnknown      Reason = "what began the stream is not known"
	OriginGone         Reason = "no target of the software version that began the stream"
	Confined           Reason = "no target in the regions that the request is confined to"
	NoRoom             Reason = "no target has room within the time of the request"
	OverShare          Reason = "the team has its share of the targets"
	Suspect            Reason = "targets broke off under this request"
)

// Attempt is one attempt of a request and how it ended.
type Attempt struct {
	Target identifier.Target
	// Status is the status of the answer; zero if there was none.
	Status int
	NotRun bool
	Fault  Fault
	Took   time.Duration
}

// String returns the attempt in the form target:end:milliseconds.
func (a Attempt) String() string {
	end := strconv.Itoa(a.Status)
	switch {
	case a.Fault != NoFault:
		end = a.Fault.String()
	case a.NotRun:
		end += "-not-run"
	}
	return string(a.Target) + ":" + end + ":" + strconv.FormatInt(a.Took.Milliseconds(), 10)
}

// Result is the result of a request with its attempts.
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
	// Fingerprint identifies equal requests in all processes. It is zero if no attempt broke off.
	Fingerprint isolator.Fingerprint
	// Release is the software version that began the stream which the request continues; it is empty for other requests.
	Release identifier.Release
	// RetryAfter is the time after which the caller of a request that has not run should retry.
	RetryAfter time.Duration
}

// FormatAttempts returns the attempts in one line.
func (r Result) FormatAttempts() string {
	parts := make([]string, 0, len(r.Attempts))
	for _, a := range r.Attempts {
		parts = append(parts, a.String())
	}
	return strings.Join(parts, " ")
}

// Failures returns the number of attempts whose answer has the status statusFailed.
func (r Result) Failures() int {
	n := 0
	for _, a := range r.Attempts {
		if a.Fault == NoFault && !a.NotRun && a.Status == statusFailed {
			n++
		}
	}
	return n
}

// statusFailed is the status of a target's answer to a request that it ran and that failed.
const statusFailed = 500

// mayHaveRun reports whether a target may have run the request.
func (r Result) mayHaveRun() bool {
	for _, a := range r.Attempts {
		if a.Fault == Broken || a.Fault == NoFault && !a.NotRun {
			return true
		}
	}
	return false
}
