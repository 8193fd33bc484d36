package dispatcher

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// RunState tells whether a request ran.
type RunState int

const (
	// NotRun means that the request did not run and will not.
	NotRun RunState = iota
	// MayHaveRun means that the request may have run.
	MayHaveRun
	// HasRun means that the request ran.
	HasRun
)

// Reasons of refusals and failures that the dispatcher itself gives.
const (
	ReasonNoTarget     = "no-target"
	ReasonTimeout      = "timeout"
	ReasonKeyWithdrawn = "key-withdrawn"
	ReasonCaller       = "caller-gone"
	ReasonStopping     = "stopping"
	ReasonTarget       = "target-failed"
	ReasonCrashed      = "target-crashed"
	ReasonLost         = "answer-lost"
	ReasonRefused      = "targets-busy"
	ReasonStopped      = "target-stopped"
	// ReasonCrashesTargets holds back a request under which targets crash.
	ReasonCrashesTargets = "crashes-targets"
	// ReasonStoreUnavailable refuses a call whose claim can't be stored.
	ReasonStoreUnavailable = "store-unavailable"
	// ReasonKeyReused refuses another call under an idempotency key.
	ReasonKeyReused = "idempotency-key-reused"
)

// Refusal says why a request was not taken. The zero value is no refusal.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Refused reports whether the request was not taken.
func (r Refusal) Refused() bool { return r.Reason != "" }

// Result is the truth about a request that has ended.
type Result struct {
	RunState RunState
	Final    streamer.Final
	Reason   string
	// RetryAfter is a hint for a request that did not run.
	RetryAfter time.Duration
	Target     identifier.Target
	Attempts   int
	// Replayed marks an answer that the system had before this submission; it was counted then.
	Replayed bool
	Queued   time.Duration
	Took     time.Duration
}

// Answer is the answer to one request: its pieces as they come and its result at the end.
type Answer struct {
	streamer.Stream

	result Result
	done   chan struct{}
}

func newAnswer() *Answer { return &Answer{done: make(chan struct{})} }

// Done returns a channel that is closed when the result is there.
func (a *Answer) Done() <-chan struct{} { return a.done }

// Result returns the result. It must be called only after Done is closed.
func (a *Answer) Result() Result {
	select {
	case <-a.done:
		return a.result
	default:
		panic("invariant answer-result: the result is read after the end")
	}
}

// finish sets the result, then ends the stream, so that a reader that sees the end also sees the result.
func (a *Answer) finish(r Result) {
	a.result = r
	close(a.done)
	a.Finish(r.Final)
}
