package announcer

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Announcer holds what this entry told the other leading entries, and what they told. While this entry leads no unfinished job it tells
// nothing.
//
// Invariants: an entry counts as leading only until its last notice expires; a notice never replaces a later one of the same start.
// Lock rank: container.RankAnnouncer.
type Announcer struct {
	self recorder.Registration

	lock    container.Lock[container.Announcer]
	leaders map[identifier.Node]leader
	leading bool
	// told are the loads of the last notice, toldAt is when it was made and number its number. period is the number of the first
	// notice since this entry began to lead.
	told   []router.Load
	toldAt time.Duration
	number int
	period int
	pause  time.Duration
	// changed and began are closed at the next notice and when this entry begins to lead.
	changed, began chan struct{}
}

// leader is another entry and what it told last.
type leader struct {
	notice Notice
	at     time.Duration
}

// live reports whether what the entry told still counts.
func (l leader) live(now time.Duration) bool { return l.notice.Leading && now-l.at < l.notice.Valid }

// NewAnnouncer returns an Announcer of the entry with a registration.
func NewAnnouncer(self recorder.Registration) *Announcer {
	return &Announcer{self: self, leaders: make(map[identifier.Node]leader), changed: make(chan struct{}), began: make(chan struct{})}
}

// Update takes in whether this entry leads an unfinished job and what it has in flight, and makes a notice if that is worth one now.
func (a *Announcer) Update(leading bool, loads []router.Load, now time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.forget(now)
	switch {
	case leading != a.leading:
		a.leading = leading
		if leading {
			a.period = a.number + 1
			defer renew(&a.began)
		}
	case !leading:
		return
	}
	pause, most := pace(len(a.leaders), len(loads))
	loads = largest(loads, most)
	age := now - a.toldAt
	ended := !leading
	if !ended && a.number >= a.period && (age < pause || age < max(refreshPeriod, pause) && !differ(a.told, loads)) {
		return
	}
	a.told, a.toldAt, a.pause = loads, now, pause
	if ended {
		a.told = nil
	}
	a.number++
	renew(&a.changed)
}

// renew closes a channel and puts a new one in its place.
func renew(c *chan struct{}) {
	close(*c)
	*c = make(chan struct{})
}

// largest returns the loads with the most attempts if there are more than most, in order of their targets.
func largest(loads []router.Load, most int) []router.Load {
	if len(loads) <= most {
		return loads
	}
	all := slices.Clone(loads)
	slices.SortStableFunc(all, func(x, y router.Load) int { return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(y.Work, x.Work)) })
	all = all[:most]
	slices.SortFunc(all, func(x, y router.Load) int { return cmp.Compare(x.Target, y.Target) })
	return all
}

// Apply takes in what another entry tells, and reports whether that changes anything.
func (a *Announcer) Apply(n Notice, now time.Duration) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	from := n.From.Owner
	known, ok := a.leaders[from.Node]
	before := known.notice
	if from == a.self.Owner || n.Number <= 0 ||
		ok && (before.From.Owner.Incarnation > from.Incarnation || before.From.Owner == from && before.Number >= n.Number) {
		return false
	}
	if !ok && len(a.leaders) >= maxLeaders {
		return false
	}
	n.Valid = min(n.Valid, valid(maxPause))
	n.Loads = largest(n.Loads, maxLoads)
	a.leaders[from.Node] = leader{notice: n, at: now}
	return true
}

// forget drops the entries that were silent for leaderTTL. The caller holds the lock.
func (a *Announcer) forget(now time.Duration) {
	for node, l := range a.leaders {
		if now-l.at > leaderTTL {
			delete(a.leaders, node)
		}
	}
}

// PeerLoads returns the number of other entries that lead jobs, and what they told.
func (a *Announcer) PeerLoads(now time.Duration) (int, [][]router.Load) {
	a.lock.Lock()
	defer a.lock.Unlock()
	var all [][]router.Load
	for _, l := range a.leaders {
		if l.live(now) {
			all = append(all, l.notice.Loads)
		}
	}
	return len(all), all
}

// Leaders returns those of the registered processes that lead jobs as far as this entry was told.
func (a *Announcer) Leaders(members []recorder.Registration) []recorder.Registration {
	a.lock.Lock()
	defer a.lock.Unlock()
	var leading []recorder.Registration
	for _, p := range members {
		if l, ok := a.leaders[p.Owner.Node]; ok && l.notice.From.Owner == p.Owner && l.notice.Leading {
			leading = append(leading, p)
		}
	}
	return leading
}

// Observed returns the last notice if its number is above the given one, and its number.
func (a *Announcer) Observed(after int) (Notice, int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if after == a.number || after == 0 && !a.leading {
		return Notice{}, a.number
	}
	return a.notice(), a.number
}

// notice returns the last notice. The caller holds the lock.
func (a *Announcer) notice() Notice {
	return Notice{From: a.self, Number: a.number, Leading: a.leading, Valid: valid(a.pause), Loads: a.told}
}

// Changed returns a channel that is closed at the next notice.
func (a *Announcer) Changed() <-chan struct{} {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.changed
}

// IsEmpty reports whether a new leading entry would have to be told nothing.
func (a *Announcer) IsEmpty() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return !a.leading
}

// Introduction is the part of an Announcer that all entries are told once: that it has begun to lead. Those that lead too then tell it
// what they have in flight, so that it learns who they are.
type Introduction struct{ *Announcer }

// Observed returns the last notice if this entry has begun to lead after the notice with the given number.
func (i Introduction) Observed(after int) (Notice, int) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if !i.leading || after >= i.period {
		return Notice{}, after
	}
	return i.notice(), i.number
}

// Changed returns a channel that is closed when this entry begins to lead.
func (i Introduction) Changed() <-chan struct{} {
	i.lock.Lock()
	defer i.lock.Unlock()
	return i.began
}
