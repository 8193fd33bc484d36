// Package ranker decides which batch jobs get slots first: by the priority that operators set, and within it by the time left
// compared with the time still needed.
package ranker

import (
	"cmp"
	"time"
)

const (
	// readTolerance is the time after the due time in which a result that is read still counts in full.
	readTolerance = 700 * time.Millisecond
	// giveUpShare is the age at which trainers give a job up where its route sets no queue TTL, as a multiple of its due time.
	giveUpShare = 1.6
	// lateShare is the multiple of the time left that a job needs to count as late. The needed time follows from hints and measured
	// speeds, so that a job that may still be in time is not put behind others. It counts as in time again once it needs less than
	// what is left.
	lateShare = 1.25
	// tightDivisor divides the time of a job into the slack below which it is tight, and steadyDivisor into that above which a tight
	// one is not any more. A quarter of it is about one attempt that is lost and begun again.
	tightDivisor  = 4.0
	steadyDivisor = 8.0 / 3
	// undatedPatience is the age at which a job without a due time has no slack.
	undatedPatience = 30 * time.Second
)

// Standing is how the time left to a job compares with the time that it needs.
type Standing int

const (
	// Undated means that the job has no due time.
	Undated Standing = iota
	// Tight means that the job is in time only if it gets its slots now.
	Tight
	// Ample means that the job can wait.
	Ample
	// Late means that the job can't be in time any more.
	Late
	// GivenUp means that nobody waits for the job any more.
	GivenUp
)

// String returns the name of the standing.
func (s Standing) String() string {
	names := [...]string{"undated", "tight", "ample", "late", "given up"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Deadline holds the ages of a job that matter to its trainer. It is immutable. The zero value is that of a job without a due time.
type Deadline struct {
	// InTime is the age up to which results count in full, and GiveUp that at which nobody waits for the job any more.
	InTime, GiveUp time.Duration
}

// NewDeadline returns the deadline of jobs that are due at an age. A queueTTL of zero means that there is none.
func NewDeadline(due, queueTTL time.Duration) Deadline {
	switch {
	case due <= 0:
		return Deadline{}
	case queueTTL <= 0:
		queueTTL = time.Duration(giveUpShare * float64(due))
	}
	return Deadline{InTime: due + readTolerance, GiveUp: max(queueTTL, due+readTolerance)}
}

// Slack returns the time for which a job of an age may wait that still needs some time. It is negative for a job that is late.
func (d Deadline) Slack(age, need time.Duration) time.Duration {
	if d.InTime == 0 {
		return undatedPatience - age
	}
	return d.InTime - age - need
}

// Assess returns the standing of a job that had the given one before. Small changes of the needed time do not change it back.
func (d Deadline) Assess(before Standing, age, need time.Duration) Standing {
	left := d.InTime - age
	late := left <= 0 || need > left && (before == Late || float64(need) > lateShare*float64(left))
	tight := tightDivisor
	if before == Tight {
		tight = steadyDivisor
	}
	switch {
	case d.InTime == 0:
		return Undated
	case age >= d.GiveUp:
		return GivenUp
	case late:
		return Late
	case float64(d.Slack(age, need)) < float64(d.InTime)/tight:
		return Tight
	default:
		return Ample
	}
}

// Rank is the place of a job's items among those that wait for slots. It is immutable.
type Rank struct {
	// Priority is that of the operators; zero is the most urgent.
	Priority int
	Standing Standing
	// Surplus is set for the items that the trainer does not wait for.
	Surplus bool
	// Crowded is set if the job is left out because the slots are too few for all.
	Crowded bool
	Slack   time.Duration
}

// Background reports whether the items go behind those that can still be in time and are waited for.
func (r Rank) Background() bool { return r.Surplus || r.Crowded || r.Standing >= Late }

// Compare is negative if the items of r go first. What nobody waits for goes last, whatever its priority. Items without a place
// between them stay in the order of their submission.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(
		cmp.Compare(flag(r.Standing == GivenUp), flag(other.Standing == GivenUp)), cmp.Compare(r.Priority, other.Priority),
		cmp.Compare(flag(r.Background()), flag(other.Background())), cmp.Compare(r.Slack, other.Slack),
	)
}

func flag(set bool) int {
	if set {
		return 1
	}
	return 0
}
