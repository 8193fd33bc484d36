package commander

import "errors"

// Code is the exit code of mimosactl. Scripts rely on the numbers; docs/OPERATIONS.md lists them.
type Code int

const (
	// Done means that the command did what it was asked to.
	Done Code = 0
	// Failed means that the server refused or failed for a reason that has no code of its own.
	Failed Code = 1
	// BadInput means that the command line or a file has faults; nothing was changed.
	BadInput Code = 2
	// Conflict means that another edit came first; nothing was changed.
	Conflict Code = 3
	// Unknown means that the change may or may not have taken effect.
	Unknown Code = 4
	// Unavailable means that the server or its store can't be reached; nothing was changed.
	Unavailable Code = 5
)

// Failure is an error with its exit code.
type Failure struct {
	Code Code
	Text string
}

// Error returns the text.
func (f *Failure) Error() string { return f.Text }

// codeOf returns the exit code of err.
func codeOf(err error) Code {
	var f *Failure
	switch {
	case err == nil:
		return Done
	case errors.As(err, &f):
		return f.Code
	default:
		return Failed
	}
}
