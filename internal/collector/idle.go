package collector

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Cause is what a waiting trainer waits for.
type Cause string

const (
	// CauseSubmission means that the run has no groups.
	CauseSubmission Cause = "submission"
	// CauseQueue means that no rollout of the run runs yet.
	CauseQueue Cause = "queue"
	// CauseGeneration means that rollouts run at the usual pace.
	CauseGeneration Cause = "generation"
	// CauseStraggler means that every sample is done or running and a straggler is among them.
	CauseStraggler Cause = "straggler"
	// CauseSwap means that a weight change is on its way or has made samples too old.
	CauseSwap Cause = "swap"
	// CauseTakeover means that a new owner makes again what the last one lost.
	CauseTakeover Cause = "takeover"
	// CauseStore means that a cursor could not be written.
	CauseStore Cause = "store"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CauseSubmission, CauseQueue, CauseGeneration, CauseStraggler, CauseSwap, CauseTakeover, CauseStore}
}

// StepIdle is the trainer's idle time in one step.
type StepIdle struct {
	Step  int
	Took  time.Duration
	Total time.Duration
	By    map[Cause]time.Duration
}

// idle measures how long the trainer waits in its pulls. The zero value has measured nothing.
type idle struct {
	since    time.Duration
	cause    Cause
	waiting  bool
	now      time.Duration
	started  time.Duration
	step     map[Cause]time.Duration
	sum      map[Cause]time.Duration
	steps    container.Window[StepIdle]
	takeover bool
	remade   bool
}

// begin starts a wait.
func (i *idle) begin(now time.Duration, c Cause) { i.since, i.cause, i.waiting = now, c, true }

// end adds the wait so far to its cause.
func (i *idle) end(now time.Duration) {
	if i.step == nil {
		i.step, i.sum, i.started = make(map[Cause]time.Duration), make(map[Cause]time.Duration), now
	}
	i.now = now
	if i.waiting {
		i.step[i.cause] += now - i.since
		i.sum[i.cause] += now - i.since
		i.waiting = false
	}
}

// delivered closes the step with its last batch.
func (i *idle) delivered(b Batch) {
	i.takeover = false
	if !b.Last {
		return
	}
	s := StepIdle{Step: b.Step, Took: i.now - i.started, By: i.step}
	for _, d := range i.step {
		s.Total += d
	}
	i.steps.Add(s)
	i.step, i.started, i.remade = make(map[Cause]time.Duration), i.now, false
}

// cause says what a pull waits for now.
func (r *Run) cause() Cause {
	switch {
	case r.unconfirmed >= unconfirmedLimit:
		return CauseStore
	case len(r.groups) == 0:
		return CauseSubmission
	case r.idle.takeover:
		return CauseTakeover
	case r.due > r.current, r.idle.remade:
		return CauseSwap
	case len(r.running) == 0:
		return CauseQueue
	}
	for _, t := range r.running {
		if t.slow && r.fresh.Len() == 0 {
			return CauseStraggler
		}
	}
	return CauseGeneration
}

// Counts are the run's totals in this term.
type Counts struct {
	Started      int
	Hedges       int
	HedgesWon    int
	Failed       int
	Unlabelled   int
	OverAge      int
	Delivered    int
	Acknowledged int
	// Waste counts the tokens of rollouts that were cancelled or discarded.
	Waste identifier.Tokens
}

// Status is a copy of the run's state.
type Status struct {
	Spec        Spec
	Fence       identifier.Fence
	Current     identifier.Version
	Due         identifier.Version
	Next        uint64
	Pull        uint64
	Step        int
	Groups      int
	Ready       int
	Running     int
	Held        identifier.Bytes
	Unconfirmed int
	Confirmed   BatchID
	Counts      Counts
	Idle        map[Cause]time.Duration
	Steps       []StepIdle
}

// Status returns the run's state.
func (r *Run) Status() Status {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := Status{
		Spec: r.spec, Fence: r.fence, Current: r.current, Due: r.due, Next: r.cursor.Next, Pull: r.pull,
		Step: r.cursor.Groups/r.spec.Groups() + 1, Groups: len(r.groups), Ready: len(r.ready), Running: len(r.running),
		Held: r.held, Unconfirmed: r.unconfirmed, Confirmed: r.confirmed, Counts: r.counts,
		Idle: make(map[Cause]time.Duration), Steps: r.idle.steps.Values(),
	}
	for c, d := range r.idle.sum {
		s.Idle[c] = d
	}
	return s
}
