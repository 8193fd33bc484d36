// Package announcer decides what an entry that leads batch jobs tells the other leading entries of its attempts in flight, and keeps what
// they told.
package announcer

import (
	"math"
	"time"

	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Notice is what a leading entry tells another. It replaces the earlier ones of that entry. It is immutable.
type Notice struct {
	From recorder.Registration
	// Number rises with each notice of one start of an entry, so that late ones are ignored.
	Number int
	// Leading is false if the entry has not led an unfinished job for a while.
	Leading bool
	// Valid is the time for which the notice counts unless another follows.
	Valid time.Duration
	Loads []router.Load
}

// IsEmpty reports whether there is nothing to tell.
func (n Notice) IsEmpty() bool { return n.Number == 0 }

const (
	// minPause is the shortest time between two notices, and maxPause the longest.
	minPause = 250 * time.Millisecond
	maxPause = 3 * time.Second
	// bytesPerSecond bounds what an entry sends in notices to all others, below the 21 KB/s that a node may spend on control. Three others
	// before 40 targets are told four times a second with it, and only every half second with half of it.
	bytesPerSecond = 16 << 10
	// headBytes and loadBytes are the sizes of an encoded notice without loads and of one load, rounded up (81 and 26
	// bytes).
	headBytes = 160
	loadBytes = 28
	// maxLoads bounds the targets in a notice.
	maxLoads = 256
	// validPauses is the number of pauses after which the state of a silent entry expires, at least minValid.
	validPauses = 3
	minValid    = 1500 * time.Millisecond
	// refreshPeriod is the shortest time after which an unchanged state is told again so that it does not expire.
	refreshPeriod = 500 * time.Millisecond
	// maxLeaders bounds the other entries that are remembered. More would each be told so rarely that it helps nobody.
	maxLeaders = 64
	// leaderTTL is the time after which an entry that has told nothing is not told anything either.
	leaderTTL = time.Minute
	// lingerTime is the time after the last unfinished job for which an entry counts as leading: trainers submit jobs every few seconds, and
	// each beginning costs a call to every entry.
	lingerTime = 30 * time.Second
)

// pace returns how often a notice may be sent to a number of peers, and how many loads it may have.
func pace(peers, loads int) (pause time.Duration, most int) {
	peers = max(peers, 1)
	budget := bytesPerSecond * int(maxPause/time.Second) / peers
	most = max(1, min(maxLoads, (budget-headBytes)/loadBytes))
	size := headBytes + loadBytes*min(loads, most)
	pause = time.Duration(size*peers) * time.Second / bytesPerSecond
	return min(max(pause, minPause), maxPause), most
}

// valid returns the time for which a notice counts when notices follow each other at a pause.
func valid(pause time.Duration) time.Duration { return max(minValid, validPauses*pause) }

// maxCount and maxWork bound what counts of one load. A faulty entry then does not overflow the sums.
const (
	maxCount = 1 << 12
	maxWork  = 24 * time.Hour
)

// bounded returns the loads within these bounds.
func bounded(loads []router.Load) []router.Load {
	all := make([]router.Load, 0, len(loads))
	for _, l := range loads {
		l.Count, l.Work = min(max(l.Count, 0), maxCount), min(max(l.Work, 0), maxWork)
		all = append(all, l)
	}
	return all
}

// expected returns what is left of the loads of another entry after a time, if it sends nothing more: its attempts are taken to be spread
// evenly between just begun and nearly done.
func expected(loads []router.Load, age time.Duration) []router.Load {
	left := make([]router.Load, 0, len(loads))
	for _, l := range loads {
		if l.Count > 0 && l.Work > 0 {
			mean := float64(l.Work) / float64(l.Count)
			share := max(0, 1-float64(age)/(2*mean))
			l.Count, l.Work = int(math.Round(float64(l.Count)*share)), time.Duration(float64(l.Work)*share*share)
		}
		left = append(left, l)
	}
	return left
}

// changedShare is the inverse of the part by which the work at a target has to change to be told again on its own.
const changedShare = 4

// differ reports whether two states of the same entry differ so much that the second is worth telling.
func differ(told, now []router.Load) bool {
	if len(told) != len(now) {
		return true
	}
	for i, l := range now {
		before := told[i]
		if l.Target != before.Target || l.Count != before.Count || (l.Work-before.Work).Abs() > before.Work/changedShare {
			return true
		}
	}
	return false
}
