package isolator

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
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

// ExpiresAt returns when the evidence no longer holds a request back.
func (e Evidence) ExpiresAt() time.Time {
	var last time.Time
	for _, c := range e.Crashes {
		last = latest(last, c.At)
	}
	return last.Add(DefaultRetention)
}

// Suspects returns the suspects of the crashes, in a fixed order.
func (e Evidence) Suspects() []Fingerprint {
	var all []Fingerprint
	for _, c := range e.Crashes {
		all = append(all, c.Suspects...)
	}
	return sorted(all)
}

// Targets returns the targets that crashed.
func (e Evidence) Targets() []identifier.Target {
	all := make([]identifier.Target, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		all = append(all, c.Target)
	}
	return all
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
	return i.evidence(func(CrashID) bool { return true }, func(Clearance) bool { return true })
}

// EvidenceOn returns the crashes that count against a request, with that request as the only suspect.
func (i *Isolator) EvidenceOn(f Fingerprint) Evidence {
	i.lock.Lock()
	defer i.lock.Unlock()
	var e Evidence
	for _, c := range i.countingCrashes(f) {
		c.Suspects = []Fingerprint{f}
		e.Crashes = append(e.Crashes, c)
	}
	return e
}

// Observed returns the evidence that this entry observed itself after the given revision of it, and the present revision.
// Crashes that have no suspects left and whose targets are not known to have ended say nothing, and are left out until
// they were returned once.
func (i *Isolator) Observed(after int) (Evidence, int) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if after == i.observedRevision {
		return Evidence{}, after
	}
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

// Changed returns a channel that is closed when evidence is added, whoever observed it.
func (i *Isolator) Changed() <-chan struct{} {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.changed
}

// ObservedSuspects returns the suspects of the crashes that this entry observed, in a fixed order.
func (i *Isolator) ObservedSuspects() []Fingerprint {
	i.lock.Lock()
	defer i.lock.Unlock()
	var all []Fingerprint
	for id := range i.observed {
		all = append(all, i.crashes[id].Suspects...)
	}
	return sorted(all)
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
