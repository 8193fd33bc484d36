package isolator

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// DefaultRetention is how long a crash counts as evidence. A request that still crashes targets after that time can
	// crash two more before it is held back again.
	DefaultRetention = time.Hour
	// DefaultCapacity bounds the stored crashes; the oldest are dropped first.
	DefaultCapacity = 512
	// conclusiveTargets is the number of targets whose crashes hold a request back whatever other requests were
	// running.
	conclusiveTargets = 3
)

// Evidence is what entries exchange: crashes and the clearances of their suspects. It is immutable.
type Evidence struct {
	Crashes []Crash
	Cleared []Clearance
}

// Clearance records that a request completed after a crash, so that the crash no longer counts against it.
type Clearance struct {
	Crash       CrashID
	Fingerprint Fingerprint
}

// Isolator compares crashes. The zero value has no crashes.
//
// A request is held back if it is the only suspect that crashes of two different targets have in common, or if it is a
// suspect in crashes of three targets. A crash does not count against a request if another of its suspects is the only
// suspect of some crash. Merging evidence is a union of the crashes, each with its earliest time, and of the
// clearances; it is commutative, associative and idempotent, so entries may exchange evidence in any order and more
// than once.
//
// Invariants: a request that completed is not suspected for an earlier crash; a request that is a suspect in only one
// crash is never held back. Lock rank: container.RankIsolator.
type Isolator struct {
	lock    container.Lock[container.Isolator]
	crashes map[CrashID]Crash
	cleared map[Clearance]struct{}
	// crashesOf is an index of the crashes by suspect, because each request looks up its own crashes twice.
	// soleSuspects holds the requests that are the only suspect of a crash.
	crashesOf    map[Fingerprint][]CrashID
	soleSuspects map[Fingerprint]bool
	revision     int
	reserved     map[identifier.Target]struct{}
	released     chan struct{}
}

// Record adds a crash to the evidence.
func (i *Isolator) Record(c Crash, now time.Time) { i.Merge(Evidence{Crashes: []Crash{c}}, now) }

// Clear records that a request completed, so that the crashes recorded so far no longer count against it.
func (i *Isolator) Clear(f Fingerprint) {
	i.lock.Lock()
	defer i.lock.Unlock()
	for _, c := range i.unclearedCrashes(f) {
		i.cleared[Clearance{Crash: c.ID, Fingerprint: f}] = struct{}{}
		i.revision++
	}
	i.rebuildIndexes()
}

// Merge adds the evidence of another entry.
func (i *Isolator) Merge(e Evidence, now time.Time) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.crashes == nil {
		i.crashes, i.cleared = make(map[CrashID]Crash), make(map[Clearance]struct{})
	}
	for _, c := range e.Crashes {
		old, known := i.crashes[c.ID]
		if c.ID != (CrashID{}) && (!known || c.At.Before(old.At)) {
			i.crashes[c.ID] = c
			i.revision++
		}
	}
	for _, c := range e.Cleared {
		if _, known := i.cleared[c]; !known {
			i.cleared[c] = struct{}{}
			i.revision++
		}
	}
	i.prune(now)
}

// Revision returns a number that increases whenever evidence is added.
func (i *Isolator) Revision() int {
	i.lock.Lock()
	defer i.lock.Unlock()
	return i.revision
}

// Evidence returns all crashes and clearances of this entry in a fixed order.
func (i *Isolator) Evidence() Evidence {
	i.lock.Lock()
	defer i.lock.Unlock()
	var e Evidence
	for _, c := range i.crashes {
		e.Crashes = append(e.Crashes, c)
	}
	for c := range i.cleared {
		e.Cleared = append(e.Cleared, c)
	}
	slices.SortFunc(e.Crashes, func(a, b Crash) int { return a.ID.compare(b.ID) })
	slices.SortFunc(e.Cleared, func(a, b Clearance) int {
		return cmp.Or(a.Crash.compare(b.Crash), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return e
}

// IsSuspected reports whether the request is a suspect in a crash and has not completed since.
func (i *Isolator) IsSuspected(f Fingerprint) bool {
	i.lock.Lock()
	defer i.lock.Unlock()
	return len(i.unclearedCrashes(f)) > 0
}

// HeldBack reports whether the request is held back, and returns the remaining time.
func (i *Isolator) HeldBack(f Fingerprint, now time.Time) (time.Duration, bool) {
	i.lock.Lock()
	defer i.lock.Unlock()
	crashes := slices.DeleteFunc(i.unclearedCrashes(f), func(c Crash) bool { return i.hasOtherSoleSuspect(c, f) })
	targets := make(map[identifier.Target]bool)
	var last time.Time
	hasOnlyCommonSuspect := false
	for n, c := range crashes {
		targets[c.Target] = true
		if c.At.After(last) {
			last = c.At
		}
		for _, other := range crashes[:n] {
			hasOnlyCommonSuspect = hasOnlyCommonSuspect || other.Target != c.Target && i.commonSuspects(c, other) == 1
		}
	}
	left := last.Add(DefaultRetention).Sub(now)
	return left, left > 0 && (hasOnlyCommonSuspect || len(targets) >= conclusiveTargets)
}

// ReservedTargets returns the targets on which this entry is retrying a suspected request, and a channel that is closed when
// one of them is released. Suspected requests run on separate targets, so that the next crash has only one of them as a
// suspect.
func (i *Isolator) ReservedTargets() ([]identifier.Target, <-chan struct{}) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.released == nil {
		i.released = make(chan struct{})
	}
	targets := make([]identifier.Target, 0, len(i.reserved))
	for t := range i.reserved {
		targets = append(targets, t)
	}
	return targets, i.released
}

// Reserve reserves t for the retry of one suspected request. It reports false if t is already reserved.
func (i *Isolator) Reserve(t identifier.Target) bool {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.reserved == nil {
		i.reserved = make(map[identifier.Target]struct{})
	}
	if _, taken := i.reserved[t]; taken {
		return false
	}
	i.reserved[t] = struct{}{}
	return true
}

// Unreserve ends the reservation of t.
func (i *Isolator) Unreserve(t identifier.Target) {
	i.lock.Lock()
	defer i.lock.Unlock()
	delete(i.reserved, t)
	if i.released != nil {
		close(i.released)
		i.released = nil
	}
}

// unclearedCrashes returns the crashes in which f is a suspect.
func (i *Isolator) unclearedCrashes(f Fingerprint) []Crash {
	var all []Crash
	for _, id := range i.crashesOf[f] {
		if c := i.crashes[id]; i.isSuspect(c, f) {
			all = append(all, c)
		}
	}
	return all
}

// isSuspect reports whether f was running at crash c and is not cleared of it.
func (i *Isolator) isSuspect(c Crash, f Fingerprint) bool {
	_, cleared := i.cleared[Clearance{Crash: c.ID, Fingerprint: f}]
	return !cleared && c.contains(f)
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

// prune removes crashes older than DefaultRetention, the oldest ones beyond DefaultCapacity, and the clearances of
// removed crashes.
func (i *Isolator) prune(now time.Time) {
	var ids []CrashID
	for id, c := range i.crashes {
		if now.Sub(c.At) > DefaultRetention {
			delete(i.crashes, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b CrashID) int { return cmp.Or(i.crashes[a].At.Compare(i.crashes[b].At), a.compare(b)) })
	for _, id := range ids[:max(0, len(ids)-DefaultCapacity)] {
		delete(i.crashes, id)
	}
	for c := range i.cleared {
		if _, ok := i.crashes[c.Crash]; !ok {
			delete(i.cleared, c)
		}
	}
	i.rebuildIndexes()
}

// rebuildIndexes recomputes crashesOf and soleSuspects from the crashes and clearances.
func (i *Isolator) rebuildIndexes() {
	i.crashesOf, i.soleSuspects = make(map[Fingerprint][]CrashID), make(map[Fingerprint]bool)
	for id, c := range i.crashes {
		var left []Fingerprint
		for _, f := range c.Suspects {
			i.crashesOf[f] = append(i.crashesOf[f], id)
			if i.isSuspect(c, f) {
				left = append(left, f)
			}
		}
		if len(left) == 1 {
			i.soleSuspects[left[0]] = true
		}
	}
}

// hasOtherSoleSuspect reports whether c has a suspect other than f that is the only suspect of some crash.
func (i *Isolator) hasOtherSoleSuspect(c Crash, f Fingerprint) bool {
	return slices.ContainsFunc(c.Suspects, func(other Fingerprint) bool {
		return other != f && i.soleSuspects[other] && i.isSuspect(c, other)
	})
}
