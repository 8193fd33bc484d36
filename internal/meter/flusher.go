package meter

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// DefaultFlushPeriod is the time between two writes of a node's counts.
const DefaultFlushPeriod = 5 * time.Second

// Store is the subset of the key-value service that metering uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
}

// Flusher stores the counts of one meter and confirms the counted records at the agents. It is not safe for concurrent
// use.
type Flusher struct {
	meter  *Meter
	store  Store
	codec  Codec
	agents Agents
	clock  timer.Service

	// registration is the entry of the meter's key; while its Changed is zero, the meter is not registered.
	registration storer.Entry
	// closedEntry is the entry of ClosedKey as last read; it is current while closedKnown is set.
	closedEntry storer.Entry
	closedKnown bool
	// lastWrite is the last value written. The next read usually returns it, which saves decoding it again.
	lastWrite encodedUsage
}

// encodedUsage is a value with its encoded form.
type encodedUsage struct {
	value WindowUsage
	data  []byte
}

// NewFlusher returns a Flusher that stores the counts of m.
func NewFlusher(m *Meter, store Store, codec Codec, agents Agents, clock timer.Service) *Flusher {
	return &Flusher{meter: m, store: store, codec: codec, agents: agents, clock: clock}
}

// Run flushes once per period until ctx is cancelled, and once more before it returns.
func (f *Flusher) Run(ctx context.Context, period time.Duration) {
	tick := f.clock.Every(period)
	defer tick.Stop()
	for {
		f.RunRound(ctx)
		select {
		case <-tick.C():
		case <-ctx.Done():
			f.RunRound(context.WithoutCancel(ctx))
			return
		}
	}
}

// RunRound stores changed counts and confirms the records of stored ones. It reports false when work remains for the next
// round.
func (f *Flusher) RunRound(ctx context.Context) bool {
	complete := f.register(ctx)
	if complete {
		for _, w := range f.meter.dirty() {
			complete = f.flush(ctx, w) && complete
		}
	}
	return f.confirm(ctx) && complete
}

// register creates the meter's key. Each write of counts is guarded by that key, so that a meter that was taken over
// can't write.
func (f *Flusher) register(ctx context.Context) bool {
	if f.meter.TakenOver() {
		return false
	}
	if f.registration.Changed != 0 {
		return true
	}
	key := MeterPrefix + string(f.meter.Node())
	entry, out := f.store.Get(ctx, key)
	if out != storer.Applied {
		return false
	}
	if entry.Changed == 0 {
		value := []byte(strconv.FormatInt(f.clock.Now().UnixNano(), 10))
		f.store.Commit(ctx, storer.Transaction{}.WithGuard(key, 0).WithPut(key, value, 0))
		if entry, out = f.store.Get(ctx, key); out != storer.Applied || entry.Changed == 0 {
			return false
		}
	}
	if IsTakenOver(entry) {
		f.meter.setTakenOver()
		return false
	}
	f.registration = entry
	return f.readClosed(ctx)
}

// readClosed reads the watermark of the closed windows.
func (f *Flusher) readClosed(ctx context.Context) bool {
	entry, out := f.store.Get(ctx, ClosedKey)
	if out != storer.Applied {
		return false
	}
	if entry.Changed != 0 {
		watermark, err := f.codec.DecodeWatermark(entry.Value)
		if err != nil {
			return false
		}
		f.meter.closeThrough(watermark.Last)
	}
	f.closedEntry, f.closedKnown = entry, true
	return true
}

// flush stores the counts of one window. It reads the stored value first, which shows whether an earlier write whose
// response was lost was applied.
func (f *Flusher) flush(ctx context.Context, w Window) bool {
	if !f.closedKnown && !f.readClosed(ctx) {
		return false
	}
	key := Key(w, f.meter.Node())
	entry, out := f.store.Get(ctx, key)
	if out != storer.Applied {
		return false
	}
	stored, ok := f.decode(entry)
	if !ok {
		return false
	}
	if !f.meter.applyStored(w, stored) {
		return true
	}
	if f.isClosed(w) {
		f.meter.moveUnstored(w, f.clock.Now())
		return false
	}
	value := f.meter.nextWrite(w)
	f.lastWrite = encodedUsage{value: value, data: f.codec.EncodeWindowUsage(value)}
	out = f.store.Commit(ctx, storer.Transaction{}.
		WithGuard(key, entry.Changed).WithPut(key, f.lastWrite.data, 0).
		WithGuard(ClosedKey, f.closedEntry.Changed).
		WithGuard(MeterPrefix+string(f.meter.Node()), f.registration.Changed))
	switch out {
	case storer.Applied:
		return !f.meter.applyStored(w, value)
	case storer.Conflict:
		// A window was closed, the meter was taken over, or a write whose response was lost was applied late.
		f.closedKnown = false
		f.checkTakenOver(ctx)
	default:
	}
	return false
}

// decode returns the stored value, or the zero value if the key does not exist.
func (f *Flusher) decode(entry storer.Entry) (WindowUsage, bool) {
	switch {
	case entry.Changed == 0:
		return WindowUsage{}, true
	case bytes.Equal(entry.Value, f.lastWrite.data):
		return f.lastWrite.value, true
	}
	v, err := f.codec.DecodeWindowUsage(entry.Value)
	return v, err == nil
}

func (f *Flusher) isClosed(w Window) bool {
	f.meter.lock.Lock()
	defer f.meter.lock.Unlock()
	return w <= f.meter.closed
}

// checkTakenOver stops the meter if its key has changed.
func (f *Flusher) checkTakenOver(ctx context.Context) {
	entry, out := f.store.Get(ctx, MeterPrefix+string(f.meter.Node()))
	if out == storer.Applied && entry.Changed != f.registration.Changed {
		f.meter.setTakenOver()
	}
}

// confirm confirms the records of stored counts at the agents and requests the awaited records.
func (f *Flusher) confirm(ctx context.Context) bool {
	complete := true
	queries := f.meter.pendingQueries()
	for _, agent := range slices.Sorted(maps.Keys(queries)) {
		q := queries[agent]
		reply, ok := f.agents.Usage(ctx, agent, q)
		if !ok {
			complete = false
			continue
		}
		f.meter.dropConfirmed(agent, q.Confirm)
		f.meter.CountRecords(agent, reply.Records, f.clock.Now())
	}
	return complete
}

// takenOverPrefix begins the value of the key of a meter that was taken over.
const takenOverPrefix = "taken "

// IsTakenOver reports whether the entry of a meter's key marks the meter as taken over.
func IsTakenOver(e storer.Entry) bool {
	return len(e.Value) >= len(takenOverPrefix) && string(e.Value[:len(takenOverPrefix)]) == takenOverPrefix
}

// takenOverValue returns the value of the key of a meter that node by has taken over in the term with the given fence.
func takenOverValue(by identifier.Node, fence identifier.Fence) []byte {
	return []byte(takenOverPrefix + string(by) + " " + strconv.FormatUint(uint64(fence), 10))
}
