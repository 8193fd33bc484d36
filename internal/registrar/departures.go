package registrar

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// departureTTL is how long a target that left is remembered after its listing has gone. Its process ends well before.
const departureTTL = 10 * time.Minute

// Departure says that an incarnation of a target leaves. It is immutable.
type Departure struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	// Age is the time since the answer that said so.
	Age time.Duration
}

// DepartureNotices is what an entry tells another.
type DepartureNotices []Departure

// IsEmpty reports whether there is nothing to tell.
func (n DepartureNotices) IsEmpty() bool { return len(n) == 0 }

// departure is a Departure at a monotonic time, which moves on while the target is listed. revision is that of Departures if an
// answer to this entry said so, else zero.
type departure struct {
	incarnation identifier.Incarnation
	at          time.Duration
	revision    int
}

// Departures holds the targets that said in an answer that they leave. The zero value holds none.
//
// Invariant: no listing brings back an incarnation that leaves, nor an earlier one; a later incarnation is not affected. Lock
// rank: container.RankDepartures.
type Departures struct {
	lock     container.Lock[container.Departures]
	targets  map[identifier.Target]departure
	revision int
	changed  chan struct{}
}

// Record takes in that a target says in an answer that it leaves, and reports whether that was not known.
func (d *Departures) Record(t identifier.Target, n identifier.Incarnation, now time.Duration) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	known, left := d.targets[t]
	fresh := !left || known.incarnation < n
	if !fresh && (known.incarnation > n || known.revision > 0) {
		return false
	}
	// A notice of another entry is passed on too: that entry may stop before later entries start.
	d.revision++
	d.put(t, departure{incarnation: n, at: now, revision: d.revision})
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
	return fresh
}

// Apply takes in what answers to another entry said, and reports whether any of it was not known.
func (d *Departures) Apply(notices DepartureNotices, now time.Duration) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	fresh := false
	for _, n := range notices {
		if known, left := d.targets[n.Target]; !left || known.incarnation < n.Incarnation {
			d.put(n.Target, departure{incarnation: n.Incarnation, at: now - n.Age})
			fresh = true
		}
	}
	return fresh
}

// forget drops the departures whose targets have not been listed for departureTTL. A target that is still listed may go on
// serving, however long ago it said that it leaves.
func (d *Departures) forget(now time.Duration, listed func(identifier.Target) bool) {
	if d == nil {
		return
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	for t, p := range d.targets {
		switch {
		case listed(t):
			p.at = max(p.at, now)
			d.targets[t] = p
		case now-p.at > departureTTL:
			delete(d.targets, t)
		}
	}
}

// put remembers a departure. The caller holds the lock.
func (d *Departures) put(t identifier.Target, p departure) {
	if d.targets == nil {
		d.targets = make(map[identifier.Target]departure)
	}
	d.targets[t] = p
}

// Left reports whether an incarnation of a target leaves, or a later one does. A nil Departures holds none.
func (d *Departures) Left(t identifier.Target, n identifier.Incarnation) bool {
	if d == nil {
		return false
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	p, left := d.targets[t]
	return left && n <= p.incarnation
}

// Count returns the number of targets that are remembered.
func (d *Departures) Count() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.targets)
}

// IsEmpty reports whether a new entry would have to be told nothing.
func (d *Departures) IsEmpty() bool { return d.Count() == 0 }

// Changed returns a channel that is closed when an answer to this entry says that a target leaves.
func (d *Departures) Changed() <-chan struct{} {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

// ObservedAt returns what answers to this entry said after a revision, as of a monotonic time, and the present revision.
func (d *Departures) ObservedAt(now time.Duration, after int) (DepartureNotices, int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if after == d.revision {
		return nil, after
	}
	var all DepartureNotices
	for t, p := range d.targets {
		if p.revision > after {
			all = append(all, Departure{Target: t, Incarnation: p.incarnation, Age: now - p.at})
		}
	}
	return all, d.revision
}
