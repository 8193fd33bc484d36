package dispatcher

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// RunState says whether a request ran.
type RunState int

const (
	// NotRun means that the request did not run and will not.
	NotRun RunState = iota
	// MayHaveRun means that the request may have run.
	MayHaveRun
	// HasRun means that the request ran.
	HasRun
)

// Reasons for refusals and failures that the dispatcher itself reports.
const (
	ReasonNoTarget = "no-target"
	ReasonTimeout  = "timeout"
	// ReasonNoRegion means that no target of the service is in the regions that the configuration allows.
	ReasonNoRegion      = "no-target-in-regions"
	ReasonKeyWithdrawn  = "key-withdrawn"
	ReasonCallerGone    = "caller-gone"
	ReasonStopping      = "stopping"
	ReasonTargetFailed  = "target-failed"
	ReasonTargetCrashed = "target-crashed"
	ReasonAnswerLost    = "answer-lost"
	// ReasonAnswerInvalid means that the target answered with a status or a header that the protocol does not allow.
	ReasonAnswerInvalid = "answer-invalid"
	ReasonTargetsBusy   = "targets-busy"
	ReasonTargetStopped = "target-stopped"
	// ReasonCrashesTargets means that the request is held back because targets crashed while they ran it.
	ReasonCrashesTargets = "crashes-targets"
	// ReasonStoreUnavailable means that the claim of the call can't be stored.
	ReasonStoreUnavailable = "store-unavailable"
	// ReasonKeyReused means that the idempotency key was used for a different call before.
	ReasonKeyReused = "idempotency-key-reused"
)

// Refusal says why a request was not accepted. The zero value is no refusal.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Refused reports whether the request was refused.
func (r Refusal) Refused() bool { return r.Reason != "" }

// Result is the outcome of a request that has ended.
type Result struct {
	RunState RunState
	Final    streamer.Final
	Reason   string
	// RetryAfter is a hint for a request that did not run.
	RetryAfter time.Duration
	Target     identifier.Target
	Attempts   int
	// Replayed marks the answer of an earlier submission with the same idempotency key; its usage was counted then.
	Replayed bool
	Queued   time.Duration
	Took     time.Duration
}

// Answer is the answer to one request: its pieces as they arrive, and its result at the end.
type Answer struct {
	streamer.Stream

	result Result
	done   chan struct{}
}

func newAnswer() *Answer { return &Answer{done: make(chan struct{})} }

// Done returns a channel that is closed when the result is set.
func (a *Answer) Done() <-chan struct{} { return a.done }

// Result returns the result. It must be called only after Done is closed.
func (a *Answer) Result() Result {
	select {
	case <-a.done:
		return a.result
	default:
		panic("invariant answer-result: Result must not be called before Done is closed")
	}
}

// finish sets the result, then ends the stream, so that a reader that sees the end also sees the result.
func (a *Answer) finish(r Result) {
	a.result = r
	close(a.done)
	a.Finish(r.Final)
}
