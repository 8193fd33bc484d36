package collector

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Cause is the reason why a trainer's pull waits.
type Cause string

const (
	// CauseSubmission means that the run has no groups.
	CauseSubmission Cause = "submission"
	// CauseQueue means that no rollout of the run is running.
	CauseQueue Cause = "queue"
	// CauseGeneration means that rollouts run at the usual speed.
	CauseGeneration Cause = "generation"
	// CauseStraggler means that no sample waits for its first attempt and a straggler is among the running rollouts.
	CauseStraggler Cause = "straggler"
	// CauseSwap means that a weight change is in progress or has made samples too old.
	CauseSwap Cause = "swap"
	// CauseTakeover means that a new owner regenerates the samples that the previous owner held in memory.
	CauseTakeover Cause = "takeover"
	// CauseStore means that the store has not accepted a cursor for too many acknowledged samples.
	CauseStore Cause = "store"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CauseSubmission, CauseQueue, CauseGeneration, CauseStraggler, CauseSwap, CauseTakeover, CauseStore}
}

// StepIdle is the trainer's idle time in one step, in total and by cause.
type StepIdle struct {
	Step  int
	Took  time.Duration
	Total time.Duration
	By    map[Cause]time.Duration
}

// idleTracker measures how long the trainer waits in its pulls. The zero value has measured nothing.
type idleTracker struct {
	waitStart    time.Duration
	cause        Cause
	waiting      bool
	lastPull     time.Duration
	stepStart    time.Duration
	stepByCause  map[Cause]time.Duration
	totalByCause map[Cause]time.Duration
	steps        container.Window[StepIdle]
	// takeover is set until a new owner delivers its first batch.
	takeover bool
	// discarded is set if samples of the current step were discarded because they were too old.
	discarded bool
}

// startWait records the start and the cause of a wait.
func (i *idleTracker) startWait(now time.Duration, c Cause) {
	i.waitStart, i.cause, i.waiting = now, c, true
}

// endWait adds the duration of the current wait to its cause.
func (i *idleTracker) endWait(now time.Duration) {
	if i.stepByCause == nil {
		i.stepByCause, i.totalByCause, i.stepStart = make(map[Cause]time.Duration), make(map[Cause]time.Duration), now
	}
	i.lastPull = now
	if i.waiting {
		i.stepByCause[i.cause] += now - i.waitStart
		i.totalByCause[i.cause] += now - i.waitStart
		i.waiting = false
	}
}

// recordDelivery ends the takeover and, if b is the last batch of its step, records the idle time of the step.
func (i *idleTracker) recordDelivery(b Batch) {
	i.takeover = false
	if !b.Last {
		return
	}
	s := StepIdle{Step: b.Step, Took: i.lastPull - i.stepStart, By: i.stepByCause}
	for _, d := range i.stepByCause {
		s.Total += d
	}
	i.steps.Add(s)
	i.stepByCause, i.stepStart, i.discarded = make(map[Cause]time.Duration), i.lastPull, false
}

// waitCause returns the cause of a wait that starts now.
func (r *Run) waitCause() Cause {
	switch {
	case r.unconfirmedSamples >= maxUnconfirmed:
		return CauseStore
	case len(r.groups) == 0:
		return CauseSubmission
	case r.idle.takeover:
		return CauseTakeover
	case r.dueVersion > r.currentVersion, r.idle.discarded:
		return CauseSwap
	case len(r.running) == 0:
		return CauseQueue
	}
	for _, a := range r.running {
		if a.straggler && r.newSlots.Len() == 0 {
			return CauseStraggler
		}
	}
	return CauseGeneration
}

// Counts holds the run's totals in this term.
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
	Spec  Spec
	Fence identifier.Fence
	// Current is the weight version from which the age of samples is counted, Due the one that a weight change in
	// progress leads to.
	Current identifier.Version
	Due     identifier.Version
	// Next is the number of the next submission, Pull the number of the trainer's latest statement.
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
		Spec: r.spec, Fence: r.fence, Current: r.currentVersion, Due: r.dueVersion, Next: r.cursor.Next, Pull: r.lastStatement,
		Step: r.cursor.Groups/r.spec.Groups() + 1, Groups: len(r.groups), Ready: len(r.ready), Running: len(r.running),
		Held: r.heldBytes, Unconfirmed: r.unconfirmedSamples, Confirmed: r.confirmedBatch, Counts: r.counts,
		Idle: make(map[Cause]time.Duration), Steps: r.idle.steps.Values(),
	}
	for c, d := range r.idle.totalByCause {
		s.Idle[c] = d
	}
	return s
}
