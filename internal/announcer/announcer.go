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

// Announcer holds what this entry told the other leading entries, and what they told. While this entry leads no unfinished job, and has
// led none for lingerTime, it tells nothing.
//
// Invariants: an entry counts as leading only until its last notice expires; a notice never replaces a later one of the same start.
// Lock rank: container.RankAnnouncer.
type Announcer struct {
	self recorder.Registration

	lock    container.Lock[container.Announcer]
	leaders map[identifier.Node]leader
	leading bool
	// ledAt is when this entry last led an unfinished job.
	ledAt time.Duration
	// told are the loads of the last notice, toldAt is when it was made and number its number. period is the number of the introduction
	// with which this entry began to lead.
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

// live reports whether the entry has something in flight, as far as what it told still counts.
func (l leader) live(now time.Duration) bool {
	return len(l.notice.Loads) > 0 && now-l.at < l.notice.Valid
}

// NewAnnouncer returns an Announcer of the entry with a registration.
func NewAnnouncer(self recorder.Registration) *Announcer {
	return &Announcer{self: self, leaders: make(map[identifier.Node]leader), changed: make(chan struct{}), began: make(chan struct{})}
}

// Update takes in whether this entry leads an unfinished job and what it has in flight, and makes a notice if that is worth one now.
func (a *Announcer) Update(leading bool, loads []router.Load, now time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.forget(now)
	if leading {
		a.ledAt = now
	}
	leading = leading || a.leading && now-a.ledAt < lingerTime
	switch {
	case leading && !a.leading:
		a.number++
		a.period = a.number
		defer renew(&a.began)
	case !leading && !a.leading:
		return
	}
	a.leading = leading
	pause, most := pace(len(a.leaders), len(loads))
	loads = largest(loads, most)
	if !leading {
		loads = nil
	} else if a.number > a.period && !a.worthTelling(loads, pause, now-a.toldAt) {
		return
	}
	a.told, a.toldAt, a.pause = loads, now, pause
	a.number++
	renew(&a.changed)
}

// worthTelling reports whether loads are to be told at a time after the last notice. The caller holds the lock.
func (a *Announcer) worthTelling(loads []router.Load, pause, age time.Duration) bool {
	if age < pause {
		return false
	}
	return differ(a.told, loads) || len(loads) > 0 && age >= max(refreshPeriod, pause)
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
	n.Loads = bounded(largest(n.Loads, maxLoads))
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

// PeerLoads returns the number of other leading entries that have something in flight, and what is expected to be left of that.
func (a *Announcer) PeerLoads(now time.Duration) (int, [][]router.Load) {
	a.lock.Lock()
	defer a.lock.Unlock()
	var all [][]router.Load
	for _, l := range a.leaders {
		if l.live(now) {
			all = append(all, expected(l.notice.Loads, now-l.at))
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
	return Notice{From: a.self, Number: a.number, Leading: a.leading, Valid: valid(a.pause), Loads: a.told}, a.number
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

// Observed returns a notice without loads if this entry has begun to lead after the one with the given number.
func (i Introduction) Observed(after int) (Notice, int) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if !i.leading || after >= i.period {
		return Notice{}, after
	}
	return Notice{From: i.self, Number: i.period, Leading: true, Valid: minValid}, i.period
}

// Changed returns a channel that is closed when this entry begins to lead.
func (i Introduction) Changed() <-chan struct{} {
	i.lock.Lock()
	defer i.lock.Unlock()
	return i.began
}
