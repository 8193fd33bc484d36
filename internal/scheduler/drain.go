package scheduler

import (
	"math"
	"time"
)

const (
	// drainMemory is the time constant of the drain rate: long enough to smooth single long answers, short enough to
	// follow the loss of a target.
	drainMemory = 5 * time.Second
	// drainMinimum is the time after the first completion before the rate is trusted.
	drainMinimum = time.Second
	// longestWait bounds estimates, so that a stalled drain gives no absurd hint.
	longestWait = 5 * time.Minute
)

// drainRate is an exponentially weighted rate of completed work. The zero value knows no rate.
type drainRate struct {
	perSecond float64
	pending   float64
	first     time.Duration
	last      time.Duration
	begun     bool
}

// add counts completed work.
func (r *drainRate) add(work float64, now time.Duration) {
	if !r.begun {
		// The first completion opens the interval; its work was done before it.
		r.begun, r.first, r.last = true, now, now
		return
	}
	r.pending += work
	passed := now - r.last
	if passed < 100*time.Millisecond {
		return
	}
	sample := r.pending / passed.Seconds()
	keep := math.Exp(-float64(passed) / float64(drainMemory))
	if r.perSecond == 0 {
		keep = 0
	}
	r.perSecond = keep*r.perSecond + (1-keep)*sample
	r.pending, r.last = 0, now
}

// wait returns how long the work takes at the present rate; zero while the rate is not known.
func (r *drainRate) wait(work float64) time.Duration {
	if r.perSecond <= 0 || r.last-r.first < drainMinimum {
		return 0
	}
	return min(time.Duration(work/r.perSecond*float64(time.Second)), longestWait)
}

const (
	// runShare is the least part of the time to a deadline that is kept for the run itself. A queue that used all of it
	// would start most work too late: at twice the capacity a third of the tokens came after their deadline.
	runShare = 0.5
	// runGain and runDeviations follow the retransmission timer of RFC 6298.
	runGain       = 1.0 / 8
	runDeviations = 4
)

// runTime estimates how long a unit of expected work takes, as a smoothed mean and mean deviation in seconds.
type runTime struct {
	mean, deviation float64
}

// add counts one run.
func (r *runTime) add(perUnit float64) {
	if r.mean == 0 {
		r.mean, r.deviation = perUnit, perUnit/2
		return
	}
	r.deviation += runGain * (math.Abs(perUnit-r.mean) - r.deviation)
	r.mean += runGain * (perUnit - r.mean)
}

// reserve returns the time to keep for a run of the given expected work.
func (r *runTime) reserve(work float64) time.Duration {
	return time.Duration(work * (r.mean + runDeviations*r.deviation) * float64(time.Second))
}
