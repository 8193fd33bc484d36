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
	// DefaultRetention is how long a crash is evidence. A request that is still harmful then can crash two more targets.
	DefaultRetention = time.Hour
	// DefaultCapacity bounds the crashes that are kept; the oldest are dropped first.
	DefaultCapacity = 512
	// certainCrashes on as many targets hold a request back whoever else was there.
	certainCrashes = 3
)

// Evidence is what entries tell each other: crashes, and the requests that were cleared since. It is immutable.
type Evidence struct {
	Crashes []Crash
	Cleared []Clearance
}

// Clearance says that a request ran to its end after a crash, so that the crash does not count against it.
type Clearance struct {
	Crash       CrashID
	Fingerprint Fingerprint
}

// Isolator compares crashes. The zero value knows none.
//
// A request is held back when it is the only one that crashes of two different targets have in common, or when it was
// in crashes of three. A crash does not count against a request if another one that was there crashed a target alone.
// Merging evidence is a union of the crashes, each with its earliest time, and of the clearances;
// it is commutative, associative and idempotent, so entries may exchange evidence in any order and more than once.
//
// Invariants: a request that ran to its end is not suspected for an earlier crash; a request of one crash only is
// never held back. Lock rank: container.RankIsolator.
type Isolator struct {
	lock    container.Lock[container.Isolator]
	crashes map[CrashID]Crash
	cleared map[Clearance]struct{}
	// suspects finds the crashes of a request; each request looks for its own twice. alone holds the requests that are
	// the only suspects of a crash.
	suspects map[Fingerprint][]CrashID
	alone    map[Fingerprint]bool
	changes  int
	busy     map[identifier.Target]struct{}
	freed    chan struct{}
}

// Record takes over a crash.
func (i *Isolator) Record(c Crash, now time.Time) { i.Merge(Evidence{Crashes: []Crash{c}}, now) }

// Clear takes the suspicion from a request that ran to its end.
func (i *Isolator) Clear(f Fingerprint) {
	i.lock.Lock()
	defer i.lock.Unlock()
	for _, c := range i.against(f) {
		i.cleared[Clearance{Crash: c.ID, Fingerprint: f}] = struct{}{}
		i.changes++
	}
	i.index()
}

// Merge takes over the evidence of another entry.
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
			i.changes++
		}
	}
	for _, c := range e.Cleared {
		if _, known := i.cleared[c]; !known {
			i.cleared[c] = struct{}{}
			i.changes++
		}
	}
	i.forget(now)
}

// Revision returns a number that rises when this entry learns something.
func (i *Isolator) Revision() int {
	i.lock.Lock()
	defer i.lock.Unlock()
	return i.changes
}

// Evidence returns what this entry knows, in a fixed order.
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

// Suspected reports whether the request was in a crash and has not run to its end since.
func (i *Isolator) Suspected(f Fingerprint) bool {
	i.lock.Lock()
	defer i.lock.Unlock()
	return len(i.against(f)) > 0
}

// Held reports whether the request is held back, and for how long from now.
func (i *Isolator) Held(f Fingerprint, now time.Time) (time.Duration, bool) {
	i.lock.Lock()
	defer i.lock.Unlock()
	crashes := slices.DeleteFunc(i.against(f), func(c Crash) bool { return i.explained(c, f) })
	targets := make(map[identifier.Target]bool)
	var last time.Time
	alone := false
	for n, c := range crashes {
		targets[c.Target] = true
		if c.At.After(last) {
			last = c.At
		}
		for _, other := range crashes[:n] {
			alone = alone || other.Target != c.Target && i.common(c, other) == 1
		}
	}
	left := last.Add(DefaultRetention).Sub(now)
	return left, left > 0 && (alone || len(targets) >= certainCrashes)
}

// Reserved returns the targets on which this entry is retrying a suspected request, and a channel that is closed when one
// of them is freed. Suspected requests are kept apart, so that the next crash has only one of them.
func (i *Isolator) Reserved() ([]identifier.Target, <-chan struct{}) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.freed == nil {
		i.freed = make(chan struct{})
	}
	targets := make([]identifier.Target, 0, len(i.busy))
	for t := range i.busy {
		targets = append(targets, t)
	}
	return targets, i.freed
}

// Reserve records that a suspected request is tried on t. It reports false, and records nothing, when one is there.
func (i *Isolator) Reserve(t identifier.Target) bool {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.busy == nil {
		i.busy = make(map[identifier.Target]struct{})
	}
	if _, taken := i.busy[t]; taken {
		return false
	}
	i.busy[t] = struct{}{}
	return true
}

// Unreserve ends what Enter began.
func (i *Isolator) Unreserve(t identifier.Target) {
	i.lock.Lock()
	defer i.lock.Unlock()
	delete(i.busy, t)
	if i.freed != nil {
		close(i.freed)
		i.freed = nil
	}
}

// against returns the crashes in which f is suspected.
func (i *Isolator) against(f Fingerprint) []Crash {
	var all []Crash
	for _, id := range i.suspects[f] {
		if c := i.crashes[id]; i.counts(c, f) {
			all = append(all, c)
		}
	}
	return all
}

// counts reports whether f was in c and is not cleared of it.
func (i *Isolator) counts(c Crash, f Fingerprint) bool {
	_, cleared := i.cleared[Clearance{Crash: c.ID, Fingerprint: f}]
	return !cleared && c.suspects(f)
}

// common counts the requests that are suspected in both crashes.
func (i *Isolator) common(a, b Crash) int {
	n := 0
	for _, f := range a.Suspects {
		if i.counts(a, f) && i.counts(b, f) {
			n++
		}
	}
	return n
}

// forget drops what is too old to count, and the oldest crashes beyond the capacity.
func (i *Isolator) forget(now time.Time) {
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
	i.index()
}

// index rebuilds what is derived from the crashes and clearances.
func (i *Isolator) index() {
	i.suspects, i.alone = make(map[Fingerprint][]CrashID), make(map[Fingerprint]bool)
	for id, c := range i.crashes {
		var left []Fingerprint
		for _, f := range c.Suspects {
			i.suspects[f] = append(i.suspects[f], id)
			if i.counts(c, f) {
				left = append(left, f)
			}
		}
		if len(left) == 1 {
			i.alone[left[0]] = true
		}
	}
}

// explained reports whether a request other than f was in c and is the only suspect of some crash.
func (i *Isolator) explained(c Crash, f Fingerprint) bool {
	return slices.ContainsFunc(c.Suspects, func(other Fingerprint) bool {
		return other != f && i.alone[other] && i.counts(c, other)
	})
}
