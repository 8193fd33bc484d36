package collector

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// cursorSamples is the number of acknowledged samples after which the cursor is written within a step. It keeps
	// store writes below one per 1,000 samples.
	cursorSamples = 2048
	// unconfirmedLimit bounds the acknowledged samples whose cursor could not be written. Beyond it nothing is
	// delivered, since the trainer's statement grows with them.
	unconfirmedLimit = 4 * cursorSamples
)

// Standing is how a statement stands with the run.
type Standing int

const (
	// Settled means that the statement was taken over.
	Settled Standing = iota + 1
	// Stale means that a later statement is known.
	Stale
	// Deposed means that the statement shows a later owner.
	Deposed
)

// ApplyStatement takes over the trainer's statement. Groups that the trainer has are acknowledged; the outstanding batch is
// acknowledged if the statement names it.
func (r *Run) ApplyStatement(s Statement) Standing {
	r.lock.Lock()
	defer r.unlock()
	if s.Number < r.pull {
		return Stale
	}
	if s.Fence > r.fence || slices.ContainsFunc(s.Held, func(h HeldBatch) bool { return h.Batch.Fence > r.fence }) {
		return Deposed
	}
	if s.Number > r.pull {
		r.pull = s.Number
		r.notify()
	}
	for _, h := range s.Held {
		switch {
		case h.Batch.Run != r.spec.Run:
		case h.Batch.Fence < r.fence:
			r.acknowledge(h.Batch, h.Groups)
		case r.outstanding != nil && h.Batch == r.outstanding.ID:
			names := r.outstanding.names()
			r.outstanding = nil
			r.acknowledge(h.Batch, names)
		}
	}
	return Settled
}

// acknowledge removes groups that the trainer has.
func (r *Run) acknowledge(id BatchID, gs []Group) {
	known := gs[:0:0]
	for _, name := range gs {
		g, ok := r.groups[name]
		if !ok {
			continue
		}
		known = append(known, name)
		if r.outstanding != nil && g.offered {
			// The trainer has the group from an earlier owner, so it has not taken this batch.
			r.dissolve()
		}
		for i := range g.slots {
			for n, t := range g.slots[i].tries {
				r.drop(Rollout{Group: name, Index: i, Try: n}, t)
			}
			if s := g.slots[i].sample; s != nil {
				r.held -= s.size()
			}
		}
		if g.ready && !g.offered {
			r.ready = slices.DeleteFunc(r.ready, func(o Group) bool { return o == name })
		}
		delete(r.groups, name)
		r.left[name.Submission]--
	}
	if len(known) == 0 {
		return
	}
	r.counts.Acknowledged += len(known) * r.spec.Group
	r.unconfirmed += len(known) * r.spec.Group
	r.cursor = r.cursor.WithGroups(known...).WithBatch(id)
	r.notify()
}

// dissolve takes the outstanding batch back. Its identity is not used again.
func (r *Run) dissolve() {
	names := r.outstanding.names()
	r.outstanding = nil
	r.ready = slices.Concat(names, r.ready)
	for _, n := range names {
		r.groups[n].offered = false
		r.refresh(n)
	}
}

// Latest returns the number of the last statement.
func (r *Run) Latest() uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.pull
}

// Offer returns the batch that the trainer gets for its statement of the given number: the outstanding one again, or a
// new one of up to most groups. Nothing is offered when a later statement is known.
func (r *Run) Offer(now time.Duration, number uint64, most int) (Batch, bool) {
	r.lock.Lock()
	defer r.unlock()
	if number != r.pull {
		return Batch{}, false
	}
	r.idle.end(now)
	if r.outstanding != nil {
		if r.freshEnough(*r.outstanding) {
			r.offeredFor = number
			return *r.outstanding, true
		}
		if number == r.offeredFor {
			// The answer to this very statement may have arrived; only a later one can say that it has not.
			return Batch{}, false
		}
		// The trainer's statement does not name the batch, so it does not have it and its groups can be made again.
		r.dissolve()
	}
	whole := r.spec.Groups()
	remaining := whole - r.cursor.Groups%whole
	n := min(max(most, 1), remaining, len(r.ready))
	if n == 0 || r.unconfirmed >= unconfirmedLimit {
		r.idle.begin(now, r.cause())
		return Batch{}, false
	}
	r.seq++
	b := Batch{
		ID:   BatchID{Run: r.spec.Run, Seq: r.seq, Fence: r.fence},
		Step: r.cursor.Groups/whole + 1, Last: n == remaining,
	}
	for _, name := range r.ready[:n] {
		r.groups[name].offered = true
		b.Groups = append(b.Groups, r.groups[name].complete(name))
	}
	r.ready = slices.Delete(r.ready, 0, n)
	r.outstanding, r.offeredFor = &b, number
	r.counts.Delivered += n * r.spec.Group
	r.idle.delivered(b)
	return b, true
}

func (r *Run) freshEnough(b Batch) bool {
	for _, g := range b.Groups {
		for _, s := range g.Samples {
			if r.tooOld(s.Oldest(), r.current) {
				return false
			}
		}
	}
	return true
}

// Pending is a cursor that is due to be written, with the submissions that it closes.
type Pending struct {
	Cursor  Cursor
	Closed  []uint64
	samples int
}

// DueCursor returns the cursor to write, if one is due: at the end of a step, or after enough acknowledged samples.
func (r *Run) DueCursor() (Pending, bool) {
	r.lock.Lock()
	defer r.unlock()
	step := r.cursor.Groups%r.spec.Groups() == 0
	if r.unconfirmed == 0 || r.unconfirmed < cursorSamples && !step {
		return Pending{}, false
	}
	p := Pending{Cursor: r.cursor, samples: r.unconfirmed}
	for n, left := range r.left {
		if left == 0 {
			p.Closed = append(p.Closed, n)
			p.Cursor = p.Cursor.WithoutSubmission(n)
		}
	}
	slices.Sort(p.Closed)
	return p, true
}

// ConfirmCursor records that a cursor was written.
func (r *Run) ConfirmCursor(p Pending) {
	r.lock.Lock()
	defer r.unlock()
	r.unconfirmed -= p.samples
	r.confirmed = p.Cursor.Batch
	for _, n := range p.Closed {
		r.cursor = r.cursor.WithoutSubmission(n)
		delete(r.left, n)
	}
	r.notify()
}

// Confirmed returns the last batch that a written cursor covers, and whether every acknowledged group is covered.
func (r *Run) Confirmed() (BatchID, bool) {
	r.lock.Lock()
	defer r.unlock()
	return r.confirmed, r.unconfirmed == 0
}

// Fence returns the fencing number of the owner's term.
func (r *Run) Fence() identifier.Fence { return r.fence }
