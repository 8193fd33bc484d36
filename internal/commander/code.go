package commander

import "errors"

// Code is an exit code of mimosactl. Scripts rely on the numbers; docs/OPERATIONS.md lists them.
type Code int

const (
	// Done means that the command succeeded.
	Done Code = 0
	// Failed means that the server refused the request or failed for a reason without a code of its own.
	Failed Code = 1
	// BadInput means that the command line or a file is invalid; nothing was changed.
	BadInput Code = 2
	// Conflict means that another edit was stored first; nothing was changed.
	Conflict Code = 3
	// Unknown means that the change may or may not have taken effect.
	Unknown Code = 4
	// Unavailable means that the server or its key-value service can't be reached; nothing was changed.
	Unavailable Code = 5
)

// Failure is an error with an exit code.
type Failure struct {
	Code Code
	Text string
}

// Error returns the text of the failure.
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
