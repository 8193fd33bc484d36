package scheduler

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the completion rate: long enough to smooth out single long answers, short
	// enough to follow the loss of a target.
	rateTimeConstant = 5 * time.Second
	// minSampleInterval is the shortest time over which a sample of the rate is taken. Work completed sooner counts
	// towards the next sample.
	minSampleInterval = 100 * time.Millisecond
	// minRateInterval is the time after the first completion during which the rate counts as unknown.
	minRateInterval = time.Second
	// maxWaitEstimate bounds estimates, so that a rate near zero gives no unusable retry hint.
	maxWaitEstimate = 5 * time.Minute
)

// completionRate is an exponentially weighted moving average of the rate of completed work. In the zero value the rate is
// unknown.
type completionRate struct {
	perSecond float64
	pending   float64
	first     time.Duration
	last      time.Duration
	started   bool
}

// add records completed work.
func (r *completionRate) add(work float64, now time.Duration) {
	if !r.started {
		// The first completion opens the interval; its work was done before it.
		r.started, r.first, r.last = true, now, now
		return
	}
	r.pending += work
	elapsed := now - r.last
	if elapsed < minSampleInterval {
		return
	}
	sample := r.pending / elapsed.Seconds()
	keep := math.Exp(-float64(elapsed) / float64(rateTimeConstant))
	if r.perSecond == 0 {
		keep = 0
	}
	r.perSecond = keep*r.perSecond + (1-keep)*sample
	r.pending, r.last = 0, now
}

// timeFor returns how long the work takes at the current rate, or zero while the rate is unknown.
func (r *completionRate) timeFor(work float64) time.Duration {
	if r.perSecond <= 0 || r.last-r.first < minRateInterval {
		return 0
	}
	return min(time.Duration(work/r.perSecond*float64(time.Second)), maxWaitEstimate)
}

const (
	// minRunShare is the minimum share of the time to a deadline that is reserved for the run itself. If the wait could
	// use all of that time, most work would start too late: at a load of twice the capacity a third of the tokens came
	// after their deadline.
	minRunShare = 0.5
	// runGain and runDeviations follow the retransmission timer of RFC 6298.
	runGain       = 1.0 / 8
	runDeviations = 4
)

// runTimeEstimator estimates the run time per unit of expected work by its smoothed mean and mean deviation in seconds.
type runTimeEstimator struct {
	mean, deviation float64
}

// add records the run time per unit of one run.
func (r *runTimeEstimator) add(perUnit float64) {
	if r.mean == 0 {
		r.mean, r.deviation = perUnit, perUnit/2
		return
	}
	r.deviation += runGain * (math.Abs(perUnit-r.mean) - r.deviation)
	r.mean += runGain * (perUnit - r.mean)
}

// reserve returns the time to reserve for a run of the given expected work.
func (r *runTimeEstimator) reserve(work float64) time.Duration {
	return time.Duration(work * (r.mean + runDeviations*r.deviation) * float64(time.Second))
}
