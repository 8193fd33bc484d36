package isolator

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// incarnation identifies one start of a target.
type incarnation struct {
	target identifier.Target
	start  identifier.Incarnation
}

// HeldBack reports whether the request is held back, and returns the remaining time.
//
// A request is held back if it is the only suspect that crashes of two different targets have in common, where all
// suspects are known, or if it is a suspect in crashes of three targets or starts of a target. A crash does not count against
// a request if another of its suspects is the only suspect of some crash, if the target survived it, or if other targets of
// the service ended at the same time without the request.
func (i *Isolator) HeldBack(f Fingerprint, now time.Time) (time.Duration, bool) {
	if i.IsEmpty() {
		return 0, false
	}
	i.lock.Lock()
	defer i.lock.Unlock()
	return i.heldBack(f, now)
}

// HeldCount returns the number of requests that are held back.
func (i *Isolator) HeldCount(now time.Time) int {
	i.lock.Lock()
	defer i.lock.Unlock()
	n := 0
	for f := range i.crashesOf {
		if _, held := i.heldBack(f, now); held {
			n++
		}
	}
	return n
}

// heldBack is HeldBack for callers that hold the lock.
func (i *Isolator) heldBack(f Fingerprint, now time.Time) (time.Duration, bool) {
	crashes := i.countingCrashes(f)
	ended := make(map[incarnation]bool)
	var last time.Time
	hasOnlyCommonSuspect := false
	for n, c := range crashes {
		ended[incarnation{c.Target, c.ID.Incarnation}] = true
		if c.At.After(last) {
			last = c.At
		}
		for _, other := range crashes[:n] {
			hasOnlyCommonSuspect = hasOnlyCommonSuspect || i.onlyCommonSuspect(c, other)
		}
	}
	left := last.Add(DefaultRetention).Sub(now)
	return left, left > 0 && (hasOnlyCommonSuspect || len(ended) >= conclusiveTargets)
}

// countingCrashes returns the crashes that count against f. The caller holds the lock.
func (i *Isolator) countingCrashes(f Fingerprint) []Crash {
	var counting []Crash
	for _, c := range i.unclearedCrashes(f) {
		if c.counts() && !i.hasOtherSoleSuspect(c, f) && !i.hasCoincidence(c, f) {
			counting = append(counting, c)
		}
	}
	return counting
}

// onlyCommonSuspect reports whether crashes of two targets, all of whose suspects are known, have just one in common.
func (i *Isolator) onlyCommonSuspect(a, b Crash) bool {
	return a.Target != b.Target && !a.Partial && !b.Partial && i.commonSuspects(a, b) == 1
}

// commonSuspects returns the number of requests that are suspects in both crashes.
func (i *Isolator) commonSuspects(a, b Crash) int {
	n := 0
	for _, f := range a.Suspects {
		if i.isSuspect(a, f) && i.isSuspect(b, f) {
			n++
		}
	}
	return n
}

// hasOtherSoleSuspect reports whether c has a suspect other than f that is the only suspect of some crash.
func (i *Isolator) hasOtherSoleSuspect(c Crash, f Fingerprint) bool {
	for _, other := range c.Suspects {
		if other != f && i.soleSuspects[other] && i.isSuspect(c, other) {
			return true
		}
	}
	return false
}

// hasCoincidence reports whether something other than f ends targets of the service: at the time of c, one without any suspect or
// several that did not run f ended. A single target with another suspect is no such sign, because that suspect may have ended
// it. The caller holds the lock.
func (i *Isolator) hasCoincidence(c Crash, f Fingerprint) bool {
	others := 0
	for _, other := range i.crashes {
		if !other.Ended || other.Target == c.Target || other.Service != c.Service || c.Service == "" || other.contains(f) {
			continue
		}
		if other.lastBreak().Sub(c.lastBreak()).Abs() > coincidencePeriod {
			continue
		}
		others++
		if others > 1 || !i.hasSuspect(other) {
			return true
		}
	}
	return false
}
