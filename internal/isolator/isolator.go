package isolator

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
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
	// coincidencePeriod is the time within which targets end at the same time. It covers the time until connections to a
	// target that ended break, and is short against the time between two attempts of a caller.
	coincidencePeriod = 250 * time.Millisecond
	// survivalDelay is the time from a break until an answer of the target shows that it lives. Within that time its listing
	// would show that it ended and started again under its ID.
	survivalDelay = 3 * time.Second
)

// Isolator compares crashes. The zero value has no crashes.
//
// Merging evidence is a union of the crashes, each with what all its reports say, and of the clearances; it is
// commutative, associative and idempotent, so entries may exchange evidence in any order and more than once. HeldBack
// states the decision.
//
// Invariants: a request that completed is not suspected for an earlier crash; a request that is a suspect in only one
// crash is never held back. Lock rank: container.RankIsolator.
type Isolator struct {
	lock    container.Lock[container.Isolator]
	crashes map[CrashID]Crash
	cleared map[Clearance]struct{}
	// crashesOf is an index of the crashes by suspect, because each request looks up its own crashes twice.
	// soleSuspects holds the requests that are the only suspect of a crash whose suspects are all known.
	crashesOf    map[Fingerprint][]CrashID
	soleSuspects map[Fingerprint]bool
	revision     int
	// observed and observedClearances hold what this entry observed itself, with the value of observedRevision at the last
	// change. shared holds the crashes that other entries know too.
	observed           map[CrashID]int
	observedClearances map[Clearance]int
	observedRevision   int
	shared             map[CrashID]bool
	// changed is closed at the next change of revision, if anybody waits for it.
	changed chan struct{}
	// occupied is set while there are crashes. It is read without the lock, since nearly always there are none.
	occupied atomic.Bool

	reserved map[identifier.Target]struct{}
	released chan struct{}
}

// IsEmpty reports whether there are no crashes. It takes no lock.
func (i *Isolator) IsEmpty() bool { return !i.occupied.Load() }

// Record adds a crash that this entry observed to the evidence.
func (i *Isolator) Record(c Crash, now time.Time) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.add(c) {
		i.markObserved(c.ID)
	}
	i.prune(now)
}

// Clear records that a request completed, so that the crashes recorded so far no longer count against it.
func (i *Isolator) Clear(f Fingerprint) {
	i.lock.Lock()
	defer i.lock.Unlock()
	for _, c := range i.unclearedCrashes(f) {
		i.observedClearances[Clearance{Crash: c.ID, Fingerprint: f}] = i.nextObservation()
		i.cleared[Clearance{Crash: c.ID, Fingerprint: f}] = struct{}{}
		i.nextRevision()
	}
	i.rebuildIndexes()
}

// RecordEnd records that a target is known to have ended. It has no effect on a target without a crash.
func (i *Isolator) RecordEnd(id CrashID) { i.change(id, Crash.WithEnd) }

// RecordAnswer records that a target answered a request that was sent at the given time. It has no effect on a target
// without a crash, and within survivalDelay of the last break.
func (i *Isolator) RecordAnswer(id CrashID, sent time.Time) {
	i.change(id, func(c Crash) Crash {
		if c.Ended || !c.counts() || sent.Sub(c.lastBreak()) < survivalDelay {
			return c
		}
		return c.WithAnswer(sent)
	})
}

// change replaces a known crash by the result of f. A change to a crash that another entry reported is not passed on, since that
// entry observes the change itself.
func (i *Isolator) change(id CrashID, f func(Crash) Crash) {
	i.lock.Lock()
	defer i.lock.Unlock()
	c, known := i.crashes[id]
	if !known || !i.add(f(c)) {
		return
	}
	if _, own := i.observed[id]; own {
		i.markObserved(id)
	}
	i.rebuildIndexes()
}

// Merge adds the evidence of another entry.
func (i *Isolator) Merge(e Evidence, now time.Time) {
	i.lock.Lock()
	defer i.lock.Unlock()
	for _, c := range e.Crashes {
		i.add(c)
		i.shared[c.ID] = true
	}
	for _, c := range e.Cleared {
		i.init()
		if _, known := i.cleared[c]; !known {
			i.cleared[c] = struct{}{}
			i.nextRevision()
		}
	}
	i.prune(now)
}

// add adds a crash or what a report adds to a known one, and reports whether it changed anything. The caller holds the
// lock and rebuilds the indexes.
func (i *Isolator) add(c Crash) bool {
	i.init()
	if c.ID == (CrashID{}) {
		return false
	}
	old, known := i.crashes[c.ID]
	merged := c.WithReport(c)
	if known {
		merged = old.WithReport(c)
	}
	if known && merged.equal(old) {
		return false
	}
	i.crashes[c.ID] = merged
	i.nextRevision()
	return true
}

func (i *Isolator) markObserved(id CrashID) { i.observed[id] = i.nextObservation() }

// nextObservation returns the next value of observedRevision. The caller holds the lock.
func (i *Isolator) nextObservation() int {
	i.observedRevision++
	return i.observedRevision
}

// nextRevision counts a change and wakes who waits for one. The caller holds the lock.
func (i *Isolator) nextRevision() {
	i.revision++
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}

func (i *Isolator) init() {
	if i.crashes != nil {
		return
	}
	i.crashes, i.cleared = make(map[CrashID]Crash), make(map[Clearance]struct{})
	i.observed, i.observedClearances, i.shared = make(map[CrashID]int), make(map[Clearance]int), make(map[CrashID]bool)
}

// IsSuspected reports whether the request is a suspect in a crash and has not completed since.
func (i *Isolator) IsSuspected(f Fingerprint) bool {
	if i.IsEmpty() {
		return false
	}
	i.lock.Lock()
	defer i.lock.Unlock()
	return slices.ContainsFunc(i.unclearedCrashes(f), Crash.counts)
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

// hasSuspect reports whether a crash counts against any request.
func (i *Isolator) hasSuspect(c Crash) bool {
	return c.counts() && slices.ContainsFunc(c.Suspects, func(f Fingerprint) bool { return i.isSuspect(c, f) })
}

// prune removes crashes older than DefaultRetention, the oldest ones beyond DefaultCapacity, and what is kept about
// removed crashes. Crashes that no longer count are removed before those that do.
func (i *Isolator) prune(now time.Time) {
	var ids []CrashID
	for id, c := range i.crashes {
		if now.Sub(c.At) > DefaultRetention {
			delete(i.crashes, id)
			continue
		}
		ids = append(ids, id)
	}
	if len(ids) > DefaultCapacity {
		slices.SortFunc(ids, func(a, b CrashID) int {
			return cmp.Or(i.keepRank(a)-i.keepRank(b), i.crashes[a].At.Compare(i.crashes[b].At), a.compare(b))
		})
		for _, id := range ids[:len(ids)-DefaultCapacity] {
			delete(i.crashes, id)
		}
	}
	gone := func(id CrashID) bool {
		_, kept := i.crashes[id]
		return !kept
	}
	maps.DeleteFunc(i.cleared, func(c Clearance, _ struct{}) bool { return gone(c.Crash) })
	maps.DeleteFunc(i.observedClearances, func(c Clearance, _ int) bool { return gone(c.Crash) })
	maps.DeleteFunc(i.observed, func(id CrashID, _ int) bool { return gone(id) })
	maps.DeleteFunc(i.shared, func(id CrashID, _ bool) bool { return gone(id) })
	i.rebuildIndexes()
}

// keepRank orders crashes for removal: those with the lowest rank go first.
func (i *Isolator) keepRank(id CrashID) int {
	if i.hasSuspect(i.crashes[id]) {
		return 1
	}
	return 0
}

// rebuildIndexes recomputes what is derived from the crashes and clearances.
func (i *Isolator) rebuildIndexes() {
	i.occupied.Store(len(i.crashes) > 0)
	i.crashesOf, i.soleSuspects = make(map[Fingerprint][]CrashID), make(map[Fingerprint]bool)
	for id, c := range i.crashes {
		var left []Fingerprint
		for _, f := range c.Suspects {
			i.crashesOf[f] = append(i.crashesOf[f], id)
			if i.isSuspect(c, f) {
				left = append(left, f)
			}
		}
		if len(left) == 1 && !c.Partial {
			i.soleSuspects[left[0]] = true
		}
	}
}
