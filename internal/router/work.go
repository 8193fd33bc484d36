package router

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Load is what one entry has in flight at a target.
type Load struct {
	Target identifier.Target
	Count  int
	// Work is the remaining work of these attempts, as the time that it takes at a target of the usual speed.
	Work time.Duration
}

// SharedPart is the part of a prompt that other attempts have too. The zero value is none.
type SharedPart struct {
	// Key identifies the part, and Saved is the work that a target saves which has it in its cache.
	Key   uint64
	Saved time.Duration
}

// workTable holds what Cost needs of each target, by its index in the view, and what other entries told. The zero value holds nothing.
type workTable struct {
	rows   []workRow
	peers  map[identifier.Target]peerLoad
	speeds map[identifier.Target]float64
	// leaders is the number of other entries that told what they have in flight and have not been silent since.
	leaders int
	shared  sharedTable
}

// workRow is the state of one target.
type workRow struct {
	// own and peers count the attempts in flight of this entry and of others; work is the remaining work of all of them.
	own, peers int
	work       time.Duration
	// speed is the target's speed as a multiple of the usual one.
	speed   float64
	slots   int
	avoided bool
}

// peerLoad is what the other entries have in flight at a target.
type peerLoad struct {
	count int
	work  time.Duration
}

// rebuild makes the rows fit the router's view.
func (r *Router) rebuildRows() {
	w := &r.work
	if cap(w.rows) < len(r.view.targets) {
		w.rows = make([]workRow, len(r.view.targets))
	}
	w.rows = w.rows[:len(r.view.targets)]
	for i := range r.view.targets {
		r.updateRow(i)
	}
}

// updateRow makes the row of the target at an index of the view current.
func (r *Router) updateRow(i int) {
	t := r.view.targets[i]
	own, peer := r.ownLoads[t.ID], r.work.peers[t.ID]
	speed, measured := r.work.speeds[t.ID]
	if !measured {
		speed = 1
	}
	r.work.rows[i] = workRow{own: own.inFlight, peers: peer.count, work: own.work + peer.work, speed: speed, slots: max(t.Slots, 1)}
}

// updateTarget makes the row of a target current, if the target is in the view.
func (r *Router) updateTarget(id identifier.Target) {
	if i, ok := r.view.index[id]; ok {
		r.updateRow(i)
	}
}

// markAvoided marks the rows of the targets to avoid, or removes the marks, so that a decision about many targets does not search the list
// for each of them.
func (r *Router) markAvoided(ids []identifier.Target, avoided bool) {
	for _, id := range ids {
		if i, ok := r.view.index[id]; ok {
			r.work.rows[i].avoided = avoided
		}
	}
}

// countedWork returns the work that an attempt adds at a target, and whether the target probably has its shared part.
func (r *Router) countedWork(required Requirements, id identifier.Target) (work time.Duration, held bool) {
	if required.Shared.Key == 0 || !r.work.shared.holds(required.Shared.Key, id) {
		return required.Work, false
	}
	return max(0, required.Work-required.Shared.Saved), true
}

// Reduce subtracts work that is done, or will not be done, from the outstanding work of this entry at a target. Release alone does
// not subtract what is left of its attempt.
func (r *Router) Reduce(id identifier.Target, work time.Duration) {
	if work == 0 {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	own, ok := r.ownLoads[id]
	if !ok || own.inFlight == 0 {
		return
	}
	own.work = max(0, own.work-work)
	r.ownLoads[id] = own
	r.updateTarget(id)
}

// OwnLoads returns what this entry has in flight at targets of the view, in order of their IDs.
func (r *Router) OwnLoads() []Load {
	r.lock.Lock()
	defer r.lock.Unlock()
	var all []Load
	for i := range r.view.targets {
		id := r.view.targets[i].ID
		if own := r.ownLoads[id]; own.inFlight > 0 {
			all = append(all, Load{Target: id, Count: own.inFlight, Work: own.work})
		}
	}
	return all
}

// AdoptPeerLoads replaces what is known of other entries: the number of those that tell what they have in flight, and that.
func (r *Router) AdoptPeerLoads(leaders int, loads [][]Load) {
	peers := make(map[identifier.Target]peerLoad)
	for _, all := range loads {
		for _, l := range all {
			p := peers[l.Target]
			peers[l.Target] = peerLoad{count: p.count + max(l.Count, 0), work: p.work + max(l.Work, 0)}
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.work.peers, r.work.leaders = peers, leaders
	r.rebuildRows()
}

// Speed returns the measured speed of a target as a multiple of the usual one.
func (r *Router) Speed(id identifier.Target) float64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	if s, measured := r.work.speeds[id]; measured {
		return s
	}
	return 1
}

// maxSpeedFactor bounds the measured speed of a target and its inverse, so that a few odd intervals neither draw all attempts to
// a target nor keep them all away. Targets beyond registrar's limit for slow ones are avoided anyway.
const maxSpeedFactor = 4

// AdoptSpeeds replaces the measured speeds of targets, as multiples of their service's usual speed. Others have the usual one.
func (r *Router) AdoptSpeeds(speeds map[identifier.Target]float64) {
	bounded := make(map[identifier.Target]float64, len(speeds))
	for id, s := range speeds {
		bounded[id] = min(max(s, 1.0/maxSpeedFactor), maxSpeedFactor)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.work.speeds = bounded
	r.rebuildRows()
}
