package collector

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Outcome is the answer to a trainer's call.
type Outcome int

const (
	// Done means that the call took effect.
	Done Outcome = iota + 1
	// Refused means that the call had no effect and Reason says why.
	Refused
	// OutcomeUnknown means that a write may have taken effect; the same call again settles it.
	OutcomeUnknown
	// Moved means that another entry owns the run or will soon.
	Moved
	// Empty means that no batch became ready in time.
	Empty
)

// Reasons of refusals.
const (
	ReasonFull     = "run-full"
	ReasonGap      = "submission-gap"
	ReasonStale    = "stale-statement"
	ReasonNoRun    = "no-such-run"
	ReasonTeam     = "other-team"
	ReasonSpec     = "spec-differs"
	ReasonField    = "bad-field"
	ReasonTooLarge = "submission-too-large"
)

// Receipt is the answer to a submission or a statement.
type Receipt struct {
	Outcome Outcome
	Reason  string
	// Next is the number of the next submission.
	Next uint64
	// Confirmed is the last batch that the stored cursor covers. All is set when it covers every acknowledged group.
	Confirmed BatchID
	All       bool
	// Fence is the fencing number of the owner that answered.
	Fence identifier.Fence
}

// Delivery is the answer to a pull.
type Delivery struct {
	Receipt

	Batch Batch
}

// Pull asks for a batch.
type Pull struct {
	Statement Statement
	// Most bounds the groups of the batch; Wait is how long to wait for one.
	Most int
	Wait time.Duration
	// Version is the weight version that the trainer published last; zero when it does not say.
	Version identifier.Version
}

// Owner serves a run during one term. Its writes hold only while it is the run's last owner.
//
// Invariant: a submission is stored before it is accepted, and a cursor before it is confirmed.
type Owner struct {
	store Store
	form  Codec
	clock timer.Service
	valid func() bool
	run   *Run
	// changed is the revision of the owner key that this owner wrote; every later write is guarded by it.
	changed int64
	// writing serialises the writes; it holds one token.
	writing chan struct{}
	cursors uint64
	stored  string
	unsure  *write
	ended   atomic.Bool
}

// write is a cursor write whose outcome is not known yet.
type write struct {
	key     string
	value   []byte
	pending Pending
}

// Claim makes the holder of a term the owner of a run: it records the place, which makes writes of earlier owners
// fail, and then reads what they stored. valid says whether the term still holds; nonce is unique to this claim.
func Claim(
	ctx context.Context, s Store, f Codec, clock timer.Service, id RunID, p OwnerRecord, nonce string, valid func() bool, opts ...Option,
) (*Owner, storer.Outcome) {
	before, out := s.Get(ctx, ownerKey(id))
	if out != storer.Applied {
		return nil, out
	}
	if parsePlace(before).Fence >= p.Fence {
		return nil, storer.Conflict
	}
	value := ownerValue(p, nonce)
	out = s.Commit(ctx, storer.Transaction{}.WithGuard(ownerKey(id), before.Changed).WithPut(ownerKey(id), value, 0))
	if out != storer.Applied {
		return nil, out
	}
	now, out := s.Get(ctx, ownerKey(id))
	if out != storer.Applied {
		return nil, out
	}
	if !bytes.Equal(now.Value, value) {
		return nil, storer.Conflict
	}
	o := &Owner{store: s, form: f, clock: clock, valid: valid, changed: now.Changed, writing: make(chan struct{}, 1)}
	return o, o.load(ctx, id, p.Fence, opts)
}

// load reads the run's stored state.
func (o *Owner) load(ctx context.Context, id RunID, fence identifier.Fence, opts []Option) storer.Outcome {
	spec, found, out := FindSpec(ctx, o.store, o.form, id)
	if out != storer.Applied || !found {
		return storer.Unavailable
	}
	cursors, out := o.store.List(ctx, cursorPrefix(id))
	if out != storer.Applied {
		return out
	}
	var cursor Cursor
	if n := len(cursors); n > 0 {
		var err error
		if cursor, err = o.form.DecodeCursor(cursors[n-1].Value); err != nil {
			return storer.Unavailable
		}
		o.stored = cursors[n-1].Key
	}
	entries, out := o.store.List(ctx, submitPrefix(id))
	if out != storer.Applied {
		return out
	}
	subs := make([]Submission, 0, len(entries))
	for _, e := range entries {
		sub, err := o.form.DecodeSubmission(e.Value)
		if err != nil {
			return storer.Unavailable
		}
		subs = append(subs, sub)
	}
	o.run = NewRun(spec, fence, cursor, subs, opts...)
	return storer.Applied
}

// End makes the owner answer no more calls and wakes the pulls that wait.
func (o *Owner) End() {
	o.ended.Store(true)
	o.run.wake()
}

// Valid reports whether the owner may act.
func (o *Owner) Valid() bool { return !o.ended.Load() && o.valid() }

// Run returns the owned run.
func (o *Owner) Run() *Run { return o.run }

// Submit stores a submission and accepts it.
func (o *Owner) Submit(ctx context.Context, s Submission) Receipt {
	if !o.lock(ctx) {
		return Receipt{Outcome: Moved}
	}
	defer o.unlock()
	switch admission, next := o.run.Admit(s); admission {
	case Known:
		return o.receipt(Done, "")
	case Full:
		return Receipt{Outcome: Refused, Reason: ReasonFull, Next: next}
	case Gap:
		return Receipt{Outcome: Refused, Reason: ReasonGap, Next: next}
	default:
	}
	value := o.form.EncodeSubmission(s)
	if len(value) > valueLimit {
		return o.receipt(Refused, ReasonTooLarge)
	}
	id := o.run.Spec().Run
	key := submitKey(id, s.Number)
	switch o.commit(ctx, key, value, storer.Transaction{}.
		WithGuard(key, 0).WithPut(key, value, 0).WithGuard(ownerKey(id), o.changed)) {
	case storer.Applied:
		o.run.AddSubmission(s)
		return o.receipt(Done, "")
	case storer.Conflict:
		return Receipt{Outcome: Moved}
	default:
		return o.receipt(OutcomeUnknown, "")
	}
}

// commit applies a transaction that creates key. When a guard fails because an earlier try of the same write took
// effect, that counts as applied; otherwise another owner has taken over.
func (o *Owner) commit(ctx context.Context, key string, value []byte, t storer.Transaction) storer.Outcome {
	out := o.store.Commit(ctx, t)
	if out != storer.Conflict {
		return out
	}
	e, read := o.store.Get(ctx, key)
	if read != storer.Applied {
		return storer.Unknown
	}
	if !bytes.Equal(e.Value, value) {
		return storer.Conflict
	}
	// The write counts only if this owner is still the last one: a later owner may have read the state before it.
	owner, read := o.store.Get(ctx, ownerKey(o.run.Spec().Run))
	if read != storer.Applied {
		return storer.Unknown
	}
	if owner.Changed != o.changed {
		return storer.Conflict
	}
	return storer.Applied
}

// Acknowledge takes over the trainer's statement and writes the cursor if it is due.
func (o *Owner) Acknowledge(ctx context.Context, s Statement) Receipt {
	if !o.lock(ctx) {
		return Receipt{Outcome: Moved}
	}
	defer o.unlock()
	return o.settle(ctx, s)
}

func (o *Owner) settle(ctx context.Context, s Statement) Receipt {
	switch o.run.ApplyStatement(s) {
	case Stale:
		return o.receipt(Refused, ReasonStale)
	case Deposed:
		return Receipt{Outcome: Moved}
	default:
	}
	if out := o.confirm(ctx); out == storer.Conflict {
		return Receipt{Outcome: Moved}
	}
	return o.receipt(Done, "")
}

// confirm writes the cursor if it is due. A write whose outcome is unknown is repeated unchanged before any other.
func (o *Owner) confirm(ctx context.Context) storer.Outcome {
	id := o.run.Spec().Run
	if o.unsure == nil {
		p, due := o.run.DueCursor()
		if !due {
			return storer.Applied
		}
		o.cursors++
		o.unsure = &write{key: cursorKey(id, uint64(o.run.Fence()), o.cursors), value: o.form.EncodeCursor(p.Cursor), pending: p}
	}
	w := o.unsure
	t := storer.Transaction{}.WithGuard(w.key, 0).WithPut(w.key, w.value, 0).WithGuard(ownerKey(id), o.changed)
	if o.stored != "" {
		t = t.WithDelete(o.stored)
	}
	for _, n := range w.pending.Closed {
		t = t.WithDelete(submitKey(id, n))
	}
	out := o.commit(ctx, w.key, w.value, t)
	if out == storer.Applied {
		o.run.ConfirmCursor(w.pending)
		o.stored, o.unsure = w.key, nil
	}
	return out
}

// Pull settles the statement and waits for a batch.
func (o *Owner) Pull(ctx context.Context, p Pull) Delivery {
	if !o.lock(ctx) {
		return Delivery{Receipt: Receipt{Outcome: Moved}}
	}
	receipt := o.settle(ctx, p.Statement)
	o.unlock()
	if receipt.Outcome != Done {
		return Delivery{Receipt: receipt}
	}
	o.run.SetVersions(p.Version, p.Version)
	alarm := o.clock.After(p.Wait)
	defer alarm.Stop()
	for {
		changed := o.run.Changed()
		batch, ok := o.run.Offer(o.clock.Boot(), p.Statement.Number, p.Most)
		switch {
		case !o.Valid():
			return Delivery{Receipt: Receipt{Outcome: Moved}}
		case ok:
			return Delivery{Receipt: o.receipt(Done, ""), Batch: batch}
		case o.run.Latest() != p.Statement.Number:
			return Delivery{Receipt: o.receipt(Refused, ReasonStale)}
		case p.Wait <= 0:
			return Delivery{Receipt: o.receipt(Empty, "")}
		}
		select {
		case <-changed:
		case <-alarm.C():
			return Delivery{Receipt: o.receipt(Empty, "")}
		case <-ctx.Done():
			return Delivery{Receipt: o.receipt(Empty, "")}
		}
	}
}

func (o *Owner) receipt(out Outcome, reason string) Receipt {
	confirmed, all := o.run.Confirmed()
	_, next := o.run.Admit(Submission{})
	return Receipt{Outcome: out, Reason: reason, Next: next, Confirmed: confirmed, All: all, Fence: o.run.Fence()}
}

// lock waits for the turn to write. It reports false when the term has ended.
func (o *Owner) lock(ctx context.Context) bool {
	select {
	case o.writing <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if !o.Valid() {
		o.unlock()
		return false
	}
	return true
}

func (o *Owner) unlock() { <-o.writing }
