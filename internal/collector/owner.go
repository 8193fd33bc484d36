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
	// OutcomeUnknown means that a write may have taken effect; repeating the same call resolves it.
	OutcomeUnknown
	// Moved means that another entry owns the run or is about to own it.
	Moved
	// Empty means that no batch became ready before the wait ended.
	Empty
)

// Reasons for refusals.
const (
	ReasonFull     = "run-full"
	ReasonGap      = "submission-gap"
	ReasonStale    = "stale-statement"
	ReasonNoRun    = "no-such-run"
	ReasonTeam     = "other-team"
	ReasonSpec     = "spec-differs"
	ReasonField    = "bad-field"
	ReasonTooLarge = "submission-too-large"
	// ReasonNoRegion means that no target of the service is in the regions that the configuration allows.
	ReasonNoRegion = "no-target-in-regions"
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
	// Fence is the fencing number of the owner that answered the call.
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
	// Version is the weight version that the trainer published last; zero when the trainer does not give one.
	Version identifier.Version
}

// Owner serves a run during one term. Its writes succeed only while it is the run's last owner.
//
// Invariant: a submission is stored before it is accepted, and a cursor before it is confirmed.
type Owner struct {
	store Store
	codec Codec
	clock timer.Service
	valid func() bool
	run   *Run
	// ownerRevision is the revision of the owner key that this owner wrote; every later write is guarded by it.
	ownerRevision int64
	// writeLock serialises the writes; it is a channel so that lock can also wait for the end of the context.
	writeLock    chan struct{}
	cursorCount  uint64
	storedCursor string
	unresolved   *cursorWrite
	ended        atomic.Bool
}

// cursorWrite is a cursor write whose outcome is not known yet.
type cursorWrite struct {
	key     string
	value   []byte
	pending PendingCursor
}

// ClaimRun makes the holder of a term the owner of a run: it writes the owner record, which makes writes of earlier owners
// fail, and then reads the stored state of the run. valid reports whether the term is still held; nonce is unique to
// this claim.
func ClaimRun(
	ctx context.Context, s Store, c Codec, clock timer.Service, id RunID, r OwnerRecord, nonce string, valid func() bool, opts ...Option,
) (*Owner, storer.Outcome) {
	previous, out := s.Get(ctx, ownerKey(id))
	if out != storer.Applied {
		return nil, out
	}
	if parseOwnerRecord(previous).Fence >= r.Fence {
		return nil, storer.Conflict
	}
	value := ownerValue(r, nonce)
	out = s.Commit(ctx, storer.Transaction{}.WithGuard(ownerKey(id), previous.Changed).WithPut(ownerKey(id), value, 0))
	if out != storer.Applied {
		return nil, out
	}
	current, out := s.Get(ctx, ownerKey(id))
	if out != storer.Applied {
		return nil, out
	}
	if !bytes.Equal(current.Value, value) {
		return nil, storer.Conflict
	}
	o := &Owner{store: s, codec: c, clock: clock, valid: valid, ownerRevision: current.Changed, writeLock: make(chan struct{}, 1)}
	return o, o.load(ctx, id, r.Fence, opts)
}

// load reads the run's stored state.
func (o *Owner) load(ctx context.Context, id RunID, fence identifier.Fence, opts []Option) storer.Outcome {
	spec, found, out := FindSpec(ctx, o.store, o.codec, id)
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
		if cursor, err = o.codec.DecodeCursor(cursors[n-1].Value); err != nil {
			return storer.Unavailable
		}
		o.storedCursor = cursors[n-1].Key
	}
	entries, out := o.store.List(ctx, submitPrefix(id))
	if out != storer.Applied {
		return out
	}
	subs := make([]Submission, 0, len(entries))
	for _, e := range entries {
		sub, err := o.codec.DecodeSubmission(e.Value)
		if err != nil {
			return storer.Unavailable
		}
		subs = append(subs, sub)
	}
	o.run = NewRun(spec, fence, cursor, subs, opts...)
	return storer.Applied
}

// End ends the owner's term: waiting and later calls are answered with Moved.
func (o *Owner) End() {
	o.ended.Store(true)
	o.run.wake()
}

// Valid reports whether the owner may still answer calls and write.
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
	case AdmissionKnown:
		return o.receipt(Done, "")
	case AdmissionFull:
		return Receipt{Outcome: Refused, Reason: ReasonFull, Next: next}
	case AdmissionGap:
		return Receipt{Outcome: Refused, Reason: ReasonGap, Next: next}
	default:
	}
	value := o.codec.EncodeSubmission(s)
	if len(value) > maxValueBytes {
		return o.receipt(Refused, ReasonTooLarge)
	}
	id := o.run.Spec().Run
	key := submitKey(id, s.Number)
	switch o.commit(ctx, key, value, storer.Transaction{}.
		WithGuard(key, 0).WithPut(key, value, 0).WithGuard(ownerKey(id), o.ownerRevision)) {
	case storer.Applied:
		o.run.AddSubmission(s)
		return o.receipt(Done, "")
	case storer.Conflict:
		return Receipt{Outcome: Moved}
	default:
		return o.receipt(OutcomeUnknown, "")
	}
}

// commit applies a transaction that creates key. When a guard fails because an earlier attempt at the same write took
// effect, the result is Applied; when it fails because another owner has claimed the run, the result is Conflict.
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
	// The write counts only if no later owner has claimed the run, since that owner may have read the state before it.
	owner, read := o.store.Get(ctx, ownerKey(o.run.Spec().Run))
	if read != storer.Applied {
		return storer.Unknown
	}
	if owner.Changed != o.ownerRevision {
		return storer.Conflict
	}
	return storer.Applied
}

// Acknowledge applies the trainer's statement and writes the cursor if it is due.
func (o *Owner) Acknowledge(ctx context.Context, s Statement) Receipt {
	if !o.lock(ctx) {
		return Receipt{Outcome: Moved}
	}
	defer o.unlock()
	return o.applyStatement(ctx, s)
}

func (o *Owner) applyStatement(ctx context.Context, s Statement) Receipt {
	switch o.run.ApplyStatement(s) {
	case StatementStale:
		return o.receipt(Refused, ReasonStale)
	case OwnerReplaced:
		return Receipt{Outcome: Moved}
	default:
	}
	if out := o.writeDueCursor(ctx); out == storer.Conflict {
		return Receipt{Outcome: Moved}
	}
	return o.receipt(Done, "")
}

// writeDueCursor writes the cursor if it is due. A write whose outcome is unknown is repeated unchanged before any
// other.
func (o *Owner) writeDueCursor(ctx context.Context) storer.Outcome {
	id := o.run.Spec().Run
	if o.unresolved == nil {
		p, due := o.run.DueCursor()
		if !due {
			return storer.Applied
		}
		o.cursorCount++
		o.unresolved = &cursorWrite{
			key: cursorKey(id, uint64(o.run.Fence()), o.cursorCount), value: o.codec.EncodeCursor(p.Cursor), pending: p,
		}
	}
	w := o.unresolved
	t := storer.Transaction{}.WithGuard(w.key, 0).WithPut(w.key, w.value, 0).WithGuard(ownerKey(id), o.ownerRevision)
	if o.storedCursor != "" {
		t = t.WithDelete(o.storedCursor)
	}
	for _, n := range w.pending.Closed {
		t = t.WithDelete(submitKey(id, n))
	}
	out := o.commit(ctx, w.key, w.value, t)
	if out == storer.Applied {
		o.run.ConfirmCursor(w.pending)
		o.storedCursor, o.unresolved = w.key, nil
	}
	return out
}

// Pull applies the trainer's statement and waits for a batch.
func (o *Owner) Pull(ctx context.Context, p Pull) Delivery {
	if !o.lock(ctx) {
		return Delivery{Receipt: Receipt{Outcome: Moved}}
	}
	receipt := o.applyStatement(ctx, p.Statement)
	o.unlock()
	if receipt.Outcome != Done {
		return Delivery{Receipt: receipt}
	}
	o.run.SetVersions(p.Version, p.Version)
	timeout := o.clock.After(p.Wait)
	defer timeout.Stop()
	for {
		changed := o.run.Changed()
		batch, ok := o.run.Offer(o.clock.Monotonic(), p.Statement.Number, p.Most)
		switch {
		case !o.Valid():
			return Delivery{Receipt: Receipt{Outcome: Moved}}
		case ok:
			return Delivery{Receipt: o.receipt(Done, ""), Batch: batch}
		case o.run.LatestStatement() != p.Statement.Number:
			return Delivery{Receipt: o.receipt(Refused, ReasonStale)}
		case p.Wait <= 0:
			return Delivery{Receipt: o.receipt(Empty, "")}
		}
		select {
		case <-changed:
		case <-timeout.C():
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

// lock acquires writeLock. It returns false when the context or the term has ended.
func (o *Owner) lock(ctx context.Context) bool {
	select {
	case o.writeLock <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if !o.Valid() {
		o.unlock()
		return false
	}
	return true
}

func (o *Owner) unlock() { <-o.writeLock }
