package collector

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Rollout is one try at making one sample.
type Rollout struct {
	Group Group
	Index int
	Try   int
}

// Task is a rollout to run.
type Task struct {
	Rollout Rollout
	Prompt  Prompt
	// Hedge marks a second try beside a straggler.
	Hedge bool
}

// Verdict says what became of a finished rollout.
type Verdict int

const (
	// Taken means that the sample is part of its group.
	Taken Verdict = iota + 1
	// Late means that another try won or the group needs no sample any more.
	Late
	// Unlabelled means that a token's version was unknown; the sample is made again.
	Unlabelled
	// OverAge means that the sample was too old; it is made again.
	OverAge
	// Failed means that the rollout gave no whole answer; it is made again unless another try runs.
	Failed
)

// try is a running rollout.
type try struct {
	started time.Duration
	tokens  identifier.Tokens
	// begun is when the first tokens came and first their number.
	begun time.Duration
	first identifier.Tokens
	// seen is when the last tokens came.
	seen   time.Duration
	oldest identifier.Version
	hedge  bool
	slow   bool
}

// slot is the place of one sample in its group.
type slot struct {
	tries  map[int]*try
	next   int
	sample *Sample
}

// group is a group that is not delivered and acknowledged yet.
type group struct {
	prompt Prompt
	slots  []slot
	done   int
	took   []time.Duration
	// begun is set when the first rollout has started.
	begun bool
	ready bool
	// offered is set while the group is part of the outstanding batch.
	offered bool
}

func newGroup(p Prompt, size int) *group { return &group{prompt: p, slots: make([]slot, size)} }

func (g *group) complete(id Group) Complete {
	c := Complete{Group: id, Samples: make([]Sample, 0, len(g.slots))}
	for _, s := range g.slots {
		c.Samples = append(c.Samples, *s.sample)
	}
	return c
}
