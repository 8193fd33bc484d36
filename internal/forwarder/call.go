// Package forwarder forwards requests that are not batch jobs: it finds the route, sends attempts directly to targets
// and decides which answer the caller gets.
package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/estimator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Request is a caller's request whose body has been read. It is immutable.
type Request struct {
	ID     identifier.Request
	Method string
	// URI is the request target as the caller sent it, and Path its path without the query.
	URI    string
	Path   string
	Host   string
	Header map[string][]string
	Body   []byte
	// Key is the caller's API key; it is not sent to targets.
	Key string
	// CallerTimeout is the timeout that the caller sent; zero if it sent none.
	CallerTimeout time.Duration
	// TargetTimeout is the time that targets may spend, if it is not what is left of the timeouts. Attempts are then given up
	// here when these are over.
	TargetTimeout time.Duration
	// Elapsed is the part of the timeouts that has passed while the request arrived.
	Elapsed time.Duration
	// Continuation is set if the caller continues a stream.
	Continuation Continuation
	// Shape is what the request says about its size.
	Shape estimator.Shape
	// Internal marks a request of mimosalb itself: it needs no key and is counted for no team.
	Internal bool
	// Regions are those of the work for which the request is made, such as a batch job. They apply beside those of the route and the team.
	Regions confiner.Regions
}

// fingerprint returns the fingerprint of the request of a team. It is the same in every process, and for each attempt of a
// caller that sends the request again.
func (q Request) fingerprint(team identifier.Team) isolator.Fingerprint {
	return isolator.NewFingerprint(team, "", q.Method, q.Host, q.URI, string(q.Body))
}

// Call is one attempt as it is sent to a target. It is immutable.
type Call struct {
	Request
	Target router.Target
	Team   identifier.Team
	// Timeout is the time that the target may spend.
	Timeout time.Duration
	// ResumeAfter is the number of the last event that the caller has; it is valid if Resume is set.
	ResumeAfter int
	Resume      bool
	// Priority orders the calls at an engine; zero is the most urgent.
	Priority int
	// NewConnection asks for a connection that no call has used before.
	NewConnection bool
	// Gate decides whether the call is sent once its connection is open; nil allows it.
	Gate Gate
}

// Gate decides whether a call may be sent. A configuration or an order may have been adopted while the call waited for its connection.
type Gate interface {
	// MaySend reports whether a call may be sent to a target of a zone and region now. Any goroutine may call it.
	MaySend(zone identifier.Zone, region identifier.Region) bool
}

// WithNewConnection returns a copy of c that is sent on a connection that no call has used before.
func (c Call) WithNewConnection() Call {
	c.NewConnection = true
	return c
}

// WithResume returns a copy of c that requests only the events after the given number.
func (c Call) WithResume(after int) Call {
	c.ResumeAfter, c.Resume = after, true
	return c
}

// Answer is a target's answer with its body still to be read.
type Answer struct {
	Status int
	Header map[string][]string
	// NotRun is set if the target has confirmed that it did not run the call and never will.
	NotRun bool
	// Stamp is the mark by which a target shows that it generated the answer.
	Stamp string
	// Version is the weight version at the start of the answer; zero for a service without models.
	Version identifier.Version
	// Leaving is set if the target says that it leaves.
	Leaving bool
	// Stream is set if the body is a stream of events.
	Stream bool
	// Foreign is set if the answer is that of another target than the one that was called.
	Foreign bool
	// Rate is what the answer says of the rate of requests that the target takes.
	Rate limiter.Statement
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	Body   io.ReadCloser
	// Opened is when the connection of the answer was opened; it is zero if that is unknown.
	Opened time.Time
}

// Fault is the reason why an attempt has no answer.
type Fault int

const (
	// NoFault means that there is an answer.
	NoFault Fault = iota
	// Unsent means that no byte of the call reached the target.
	Unsent
	// Broken means that the call may have run.
	Broken
	// Pending means that the attempt was still running when the request ended.
	Pending
	// Stale means that the kept connection was closed before a byte of the call was written to it.
	Stale
	// Excluded means that no byte of the call was sent, because its target is excluded by now. It says nothing about the target.
	Excluded
)

// String returns the name of the fault.
func (f Fault) String() string {
	names := [...]string{"fine", "unsent", "broken", "pending", "stale", "excluded"}
	if f < 0 || int(f) >= len(names) {
		return "invalid"
	}
	return names[f]
}

// TargetClient sends calls to targets.
type TargetClient interface {
	// Call sends c and returns once the status and header of the answer have arrived. If there is no fault, the caller
	// must close the body.
	Call(ctx context.Context, c Call) (Answer, Fault)
}

// Send makes the call that newCall returns. If it met a kept connection that had been closed, the target has not
// received it, and it is sent once more on a new connection; stale reports that. The fault is never Stale.
func Send(ctx context.Context, client TargetClient, newCall func() Call) (a Answer, fault Fault, stale bool) {
	a, fault = client.Call(ctx, newCall())
	if fault != Stale {
		return a, fault, false
	}
	if a, fault = client.Call(ctx, newCall().WithNewConnection()); fault == Stale {
		fault = Unsent
	}
	return a, fault, true
}

// Event is one complete event of a streamed answer.
type Event struct {
	Number int
	Data   []byte
	// Version is set on the first event that was generated with another weight version.
	Version identifier.Version
	// Raw is the event as the target sent it.
	Raw []byte
}

// Events reads the events of a streamed answer.
type Events interface {
	// Next returns the next complete event. It returns io.EOF at the end of a complete answer and another error if the
	// answer broke off.
	Next() (Event, error)
}

// Opener reads the body of an answer as events.
type Opener interface {
	Open(body io.Reader) Events
}
