package isolator

import (
	"bytes"
	"cmp"
	"slices"
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

func (c Clearance) compare(o Clearance) int {
	return cmp.Or(c.Crash.compare(o.Crash), bytes.Compare(c.Fingerprint[:], o.Fingerprint[:]))
}

// IsEmpty reports whether there is no evidence.
func (e Evidence) IsEmpty() bool { return len(e.Crashes) == 0 && len(e.Cleared) == 0 }

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
	return i.evidence(func(CrashID) bool { return true }, func(Clearance) bool { return true })
}

// EvidenceOn returns the crashes that count against a request.
func (i *Isolator) EvidenceOn(f Fingerprint) Evidence {
	i.lock.Lock()
	defer i.lock.Unlock()
	return Evidence{Crashes: i.countingCrashes(f)}
}

// Observed returns the evidence that this entry observed itself after the given revision of it, and the present revision.
// Crashes that have no suspects left and whose targets are not known to have ended say nothing, and are left out until
// they were returned once.
func (i *Isolator) Observed(after int) (Evidence, int) {
	i.lock.Lock()
	defer i.lock.Unlock()
	e := i.evidence(func(id CrashID) bool {
		c := i.crashes[id]
		if i.observed[id] <= after || !i.shared[id] && !c.Ended && !i.hasSuspect(c) {
			return false
		}
		i.shared[id] = true
		return true
	}, func(c Clearance) bool { return i.observedClearances[c] > after && i.shared[c.Crash] })
	return e, i.observedRevision
}

// evidence returns the selected crashes and clearances in a fixed order. The caller holds the lock.
func (i *Isolator) evidence(crash func(CrashID) bool, clearance func(Clearance) bool) Evidence {
	var e Evidence
	for id, c := range i.crashes {
		if crash(id) {
			e.Crashes = append(e.Crashes, c)
		}
	}
	for c := range i.cleared {
		if clearance(c) {
			e.Cleared = append(e.Cleared, c)
		}
	}
	slices.SortFunc(e.Crashes, func(a, b Crash) int { return a.ID.compare(b.ID) })
	slices.SortFunc(e.Cleared, Clearance.compare)
	return e
}
