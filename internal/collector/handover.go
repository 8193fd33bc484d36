package collector

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// cursorInterval is the number of acknowledged samples after which the cursor is written within a step. It keeps
	// store writes below one per 1,000 samples.
	cursorInterval = 2048
	// maxUnconfirmed bounds the acknowledged samples that no stored cursor covers. At the bound nothing is delivered,
	// since the trainer's statement grows with them.
	maxUnconfirmed = 4 * cursorInterval
)

// StatementStatus is the result of applying a statement to the run.
type StatementStatus int

const (
	// StatementApplied means that the run has applied the statement.
	StatementApplied StatementStatus = iota + 1
	// StatementStale means that the run has received a later statement.
	StatementStale
	// OwnerReplaced means that the statement names the fencing number of a later owner.
	OwnerReplaced
)

// ApplyStatement acknowledges the groups that the trainer has: those that the statement lists for batches of earlier
// owners, and all groups of the outstanding batch if the statement names it.
func (r *Run) ApplyStatement(s Statement) StatementStatus {
	r.lock.Lock()
	defer r.unlock()
	if s.Number < r.lastStatement {
		return StatementStale
	}
	if s.Fence > r.fence || slices.ContainsFunc(s.Held, func(h HeldBatch) bool { return h.Batch.Fence > r.fence }) {
		return OwnerReplaced
	}
	if s.Number > r.lastStatement {
		r.lastStatement = s.Number
		r.notify()
	}
	for _, h := range s.Held {
		switch {
		case h.Batch.Run != r.spec.Run:
		case h.Batch.Fence < r.fence:
			r.acknowledge(h.Batch, h.Groups)
		case r.outstanding != nil && h.Batch == r.outstanding.ID:
			ids := r.outstanding.groupIDs()
			r.outstanding = nil
			r.acknowledge(h.Batch, ids)
		}
	}
	return StatementApplied
}

// acknowledge removes groups that the trainer has and cancels their rollouts. Groups that the run does not hold are
// skipped.
func (r *Run) acknowledge(batch BatchID, ids []Group) {
	acknowledged := ids[:0:0]
	for _, id := range ids {
		g, ok := r.groups[id]
		if !ok {
			continue
		}
		acknowledged = append(acknowledged, id)
		if r.outstanding != nil && g.offered {
			// The trainer has the group from an earlier owner, so it does not have the outstanding batch.
			r.withdrawBatch()
		}
		for i := range g.slots {
			for n, a := range g.slots[i].attempts {
				r.abandon(AttemptID{Group: id, Index: i, Attempt: n}, a)
			}
			if s := g.slots[i].sample; s != nil {
				r.heldBytes -= s.size()
			}
		}
		if g.ready && !g.offered {
			r.ready = slices.DeleteFunc(r.ready, func(o Group) bool { return o == id })
		}
		delete(r.groups, id)
		r.unacknowledged[id.Submission]--
	}
	if len(acknowledged) == 0 {
		return
	}
	r.counts.Acknowledged += len(acknowledged) * r.spec.Group
	r.unconfirmedSamples += len(acknowledged) * r.spec.Group
	r.cursor = r.cursor.WithGroups(acknowledged...).WithBatch(batch)
	r.notify()
}

// withdrawBatch makes the groups of the outstanding batch ready again. The batch's identity is not reused.
func (r *Run) withdrawBatch() {
	ids := r.outstanding.groupIDs()
	r.outstanding = nil
	r.ready = slices.Concat(ids, r.ready)
	for _, id := range ids {
		r.groups[id].offered = false
		r.discardOverAge(id)
	}
}

// LatestStatement returns the number of the trainer's latest statement.
func (r *Run) LatestStatement() uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.lastStatement
}

// Offer returns the batch that answers the trainer's statement of the given number: the outstanding batch again, or a
// new one of up to most groups. It returns false when the run has received a later statement.
func (r *Run) Offer(now time.Duration, number uint64, most int) (Batch, bool) {
	r.lock.Lock()
	defer r.unlock()
	if number != r.lastStatement {
		return Batch{}, false
	}
	r.idle.endWait(now)
	if r.outstanding != nil {
		if r.isFresh(*r.outstanding) {
			r.offeredFor = number
			return *r.outstanding, true
		}
		if number == r.offeredFor {
			// The answer to this statement may have arrived; only a later statement shows that it has not.
			return Batch{}, false
		}
		// The statement does not name the batch, so the trainer does not have it and its samples can be replaced.
		r.withdrawBatch()
	}
	stepGroups := r.spec.Groups()
	remaining := stepGroups - r.cursor.Groups%stepGroups
	n := min(max(most, 1), remaining, len(r.ready))
	if n == 0 || r.unconfirmedSamples >= maxUnconfirmed {
		r.idle.startWait(now, r.waitCause())
		return Batch{}, false
	}
	r.lastSeq++
	b := Batch{
		ID:   BatchID{Run: r.spec.Run, Seq: r.lastSeq, Fence: r.fence},
		Step: r.cursor.Groups/stepGroups + 1, Last: n == remaining,
	}
	for _, id := range r.ready[:n] {
		r.groups[id].offered = true
		b.Groups = append(b.Groups, r.groups[id].complete(id))
	}
	r.ready = slices.Delete(r.ready, 0, n)
	r.outstanding, r.offeredFor = &b, number
	r.counts.Delivered += n * r.spec.Group
	r.idle.recordDelivery(b)
	return b, true
}

// isFresh reports whether no sample of the batch is too old for the current version.
func (r *Run) isFresh(b Batch) bool {
	for _, g := range b.Groups {
		for _, s := range g.Samples {
			if r.isTooOld(s.Oldest(), r.currentVersion) {
				return false
			}
		}
	}
	return true
}

// PendingCursor is a cursor that is due to be written. Closed holds the numbers of the submissions that it acknowledges
// completely.
type PendingCursor struct {
	Cursor  Cursor
	Closed  []uint64
	samples int
}

// DueCursor returns the cursor to write, if one is due: at the end of a step, or after cursorInterval acknowledged
// samples.
func (r *Run) DueCursor() (PendingCursor, bool) {
	r.lock.Lock()
	defer r.unlock()
	stepEnd := r.cursor.Groups%r.spec.Groups() == 0
	if r.unconfirmedSamples == 0 || r.unconfirmedSamples < cursorInterval && !stepEnd {
		return PendingCursor{}, false
	}
	p := PendingCursor{Cursor: r.cursor, samples: r.unconfirmedSamples}
	for n, groups := range r.unacknowledged {
		if groups == 0 {
			p.Closed = append(p.Closed, n)
			p.Cursor = p.Cursor.WithoutSubmission(n)
		}
	}
	slices.Sort(p.Closed)
	return p, true
}

// ConfirmCursor records that a cursor was written.
func (r *Run) ConfirmCursor(p PendingCursor) {
	r.lock.Lock()
	defer r.unlock()
	r.unconfirmedSamples -= p.samples
	r.confirmedBatch = p.Cursor.Batch
	for _, n := range p.Closed {
		r.cursor = r.cursor.WithoutSubmission(n)
		delete(r.unacknowledged, n)
	}
	r.notify()
}

// Confirmed returns the last batch that a written cursor covers, and whether every acknowledged group is covered.
func (r *Run) Confirmed() (BatchID, bool) {
	r.lock.Lock()
	defer r.unlock()
	return r.confirmedBatch, r.unconfirmedSamples == 0
}

// Fence returns the fencing number of the owner's term.
func (r *Run) Fence() identifier.Fence { return r.fence }
