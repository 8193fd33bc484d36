// Package forwarder leads everyday requests: it finds the route, sends attempts straight to targets and decides which
// answer the caller gets.
package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Request is a caller's request with its body read. It is immutable.
type Request struct {
	ID     identifier.Request
	Method string
	// URI is the request target as the caller sent it, and Path its path without the query.
	URI    string
	Path   string
	Host   string
	Header map[string][]string
	Body   []byte
	// Key is the caller's key; it goes to no target.
	Key string
	// CallerTimeout is how long the caller waits; zero means that it did not say.
	CallerTimeout time.Duration
	// Internal requests are the system's own: they need no key and count for no team.
	Internal bool
}

// Call is one attempt as it goes to a target. It is immutable.
type Call struct {
	Request
	Target router.Target
	Team   identifier.Team
	// Timeout is the time that the target may spend.
	Timeout time.Duration
	// ResumeAfter is the number of the last event that is already there when Resume is set.
	ResumeAfter int
	Resume      bool
	// Priority ranks the call among others at an engine; zero is the most urgent.
	Priority int
}

// WithResume returns a copy of c that asks for the events after the given number.
func (c Call) WithResume(after int) Call {
	c.ResumeAfter, c.Resume = after, true
	return c
}

// Answer is the head of a target's answer.
type Answer struct {
	Status int
	Header map[string][]string
	// NotRun is the target's proof that it did not run the call, and never will.
	NotRun bool
	// Stamp is the target's mark of an answer that it made.
	Stamp string
	// Version is the weight version that the answer began with; zero for a plain service.
	Version identifier.Version
	// Length is the length of the body, or -1 if it is not known.
	Length int64
	Body   io.ReadCloser
}

// Fault is why there is no answer.
type Fault int

const (
	// NoFault means that there is an answer.
	NoFault Fault = iota
	// Unsent means that no byte of the call reached the target.
	Unsent
	// Broken means that the call may have run.
	Broken
	// Pending means that the target had not answered when the request ended.
	Pending
)

// String returns the name of the fault.
func (f Fault) String() string {
	names := [...]string{"fine", "unsent", "broken", "pending"}
	if f < 0 || int(f) >= len(names) {
		return "invalid"
	}
	return names[f]
}

// Caller sends calls to targets.
type Caller interface {
	// Call sends c and returns the head of the answer. The caller closes the body of an answer without fault.
	Call(ctx context.Context, c Call) (Answer, Fault)
}

// Event is one whole event of a streamed answer.
type Event struct {
	Number int
	Data   []byte
	// Version is set on an event from which on another weight version makes the answer.
	Version identifier.Version
	// Raw is the event as the target sent it.
	Raw []byte
}

// Events reads the events of a streamed answer.
type Events interface {
	// Next returns the next whole event. It returns io.EOF at the end of a complete answer and another error when the
	// answer broke off.
	Next() (Event, error)
}

// Opener reads the body of an answer as events.
type Opener interface {
	Open(body io.Reader) Events
}
