package collector

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// AttemptID identifies one attempt at one sample.
type AttemptID struct {
	Group   Group
	Index   int
	Attempt int
}

// Task is an attempt to run.
type Task struct {
	Rollout AttemptID
	Prompt  Prompt
	// Hedge marks an additional attempt at the sample of a straggler.
	Hedge bool
}

// FinishResult is the result of a finished attempt.
type FinishResult int

const (
	// Accepted means that the sample is part of its group.
	Accepted FinishResult = iota + 1
	// NotNeeded means that another attempt finished first or the attempt was cancelled.
	NotNeeded
	// Unlabelled means that a token's version was unknown; the sample is generated again.
	Unlabelled
	// OverAge means that the sample was too old; it is generated again.
	OverAge
	// Failed means that the attempt gave no complete answer; the sample is generated again unless another attempt runs.
	Failed
)

// attempt is the state of a running attempt.
type attempt struct {
	started time.Duration
	tokens  identifier.Tokens
	// firstTokensAt is when the first tokens arrived, and firstTokens is their number.
	firstTokensAt time.Duration
	firstTokens   identifier.Tokens
	// lastTokensAt is when the last tokens arrived; before the first ones, when the attempt started.
	lastTokensAt  time.Duration
	oldestVersion identifier.Version
	hedge         bool
	straggler     bool
}

// slot holds the running attempts at one sample of a group and the finished sample.
type slot struct {
	attempts    map[int]*attempt
	nextAttempt int
	sample      *Sample
}

// group is the state of a group that is not acknowledged yet.
type group struct {
	prompt    Prompt
	slots     []slot
	finished  int
	durations []time.Duration
	// started is set when the first attempt has started.
	started bool
	ready   bool
	// offered is set while the group is part of the outstanding batch.
	offered bool
}

func newGroup(p Prompt, size int) *group { return &group{prompt: p, slots: make([]slot, size)} }

// complete returns the group with its samples, which must all be finished.
func (g *group) complete(id Group) CompleteGroup {
	c := CompleteGroup{Group: id, Samples: make([]Sample, 0, len(g.slots))}
	for _, s := range g.slots {
		c.Samples = append(c.Samples, *s.sample)
	}
	return c
}
