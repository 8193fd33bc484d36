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

// DefaultFlush is the time between two writes of a node's counts.
const DefaultFlush = 5 * time.Second

// Store is the part of the key-value service that metering uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
}

// Flusher stores the counts of one meter and confirms the records at the agents. One goroutine uses it.
type Flusher struct {
	meter  *Meter
	store  Store
	form   Codec
	agents Agents
	clock  timer.Service

	// own is the entry of the meter's key; with Changed zero the meter is not registered.
	own storer.Entry
	// marker is the entry of ClosedKey as it was read last.
	marker storer.Entry
	known  bool
	// written is the last value that was written, which is mostly what the next read gives back.
	written written
}

// written is a value with its stored form.
type written struct {
	value WindowUsage
	data  []byte
}

// NewFlusher returns the flusher of m.
func NewFlusher(m *Meter, store Store, form Codec, agents Agents, clock timer.Service) *Flusher {
	return &Flusher{meter: m, store: store, form: form, agents: agents, clock: clock}
}

// Run flushes each period until ctx ends, and once more then.
func (f *Flusher) Run(ctx context.Context, period time.Duration) {
	tick := f.clock.Every(period)
	defer tick.Stop()
	for {
		f.Round(ctx)
		select {
		case <-tick.C():
		case <-ctx.Done():
			f.Round(context.WithoutCancel(ctx))
			return
		}
	}
}

// Round stores what has changed and confirms what is stored. It reports false when something was left for the next
// round.
func (f *Flusher) Round(ctx context.Context) bool {
	whole := f.register(ctx)
	if whole {
		for _, w := range f.meter.dirty() {
			whole = f.flush(ctx, w) && whole
		}
	}
	return f.confirm(ctx) && whole
}

// register creates the meter's key. Each write of a count is guarded by it, so that a meter that was taken over can't
// write.
func (f *Flusher) register(ctx context.Context) bool {
	if f.meter.TakenOver() {
		return false
	}
	if f.own.Changed != 0 {
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
	if Taken(entry) {
		f.meter.depose()
		return false
	}
	f.own = entry
	return f.refresh(ctx)
}

// refresh reads which windows are closed.
func (f *Flusher) refresh(ctx context.Context) bool {
	entry, out := f.store.Get(ctx, ClosedKey)
	if out != storer.Applied {
		return false
	}
	if entry.Changed != 0 {
		mark, err := f.form.DecodeWatermark(entry.Value)
		if err != nil {
			return false
		}
		f.meter.close(mark.Last)
	}
	f.marker, f.known = entry, true
	return true
}

// flush stores the counts of one window. The value is read first: that settles an earlier write whose answer was lost.
func (f *Flusher) flush(ctx context.Context, w Window) bool {
	if !f.known && !f.refresh(ctx) {
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
	if !f.meter.stored(w, stored) {
		return true
	}
	if f.closed(w) {
		f.meter.move(w, f.clock.Now())
		return false
	}
	value := f.meter.write(w)
	f.written = written{value: value, data: f.form.EncodeWindowUsage(value)}
	out = f.store.Commit(ctx, storer.Transaction{}.
		WithGuard(key, entry.Changed).WithPut(key, f.written.data, 0).
		WithGuard(ClosedKey, f.marker.Changed).
		WithGuard(MeterPrefix+string(f.meter.Node()), f.own.Changed))
	switch out {
	case storer.Applied:
		return !f.meter.stored(w, value)
	case storer.Conflict:
		// A window was closed, the meter was taken over, or a lost write has arrived after all.
		f.known = false
		f.check(ctx)
	default:
	}
	return false
}

// decode returns the stored value; the zero value if there is none.
func (f *Flusher) decode(entry storer.Entry) (WindowUsage, bool) {
	switch {
	case entry.Changed == 0:
		return WindowUsage{}, true
	case bytes.Equal(entry.Value, f.written.data):
		return f.written.value, true
	}
	v, err := f.form.DecodeWindowUsage(entry.Value)
	return v, err == nil
}

func (f *Flusher) closed(w Window) bool {
	f.meter.lock.Lock()
	defer f.meter.lock.Unlock()
	return w <= f.meter.closed
}

// check deposes the meter if its key has changed.
func (f *Flusher) check(ctx context.Context) {
	entry, out := f.store.Get(ctx, MeterPrefix+string(f.meter.Node()))
	if out == storer.Applied && entry.Changed != f.own.Changed {
		f.meter.depose()
	}
}

// confirm tells the agents what is stored and asks for the records that are wanted.
func (f *Flusher) confirm(ctx context.Context) bool {
	whole := true
	errands := f.meter.errands()
	for _, agent := range slices.Sorted(maps.Keys(errands)) {
		q := errands[agent]
		reply, ok := f.agents.Usage(ctx, agent, q)
		if !ok {
			whole = false
			continue
		}
		f.meter.confirmed(agent, q.Confirm)
		f.meter.CountRecords(agent, reply.Records, f.clock.Now())
	}
	return whole
}

// takenMark begins the value of the key of a meter that was taken over.
const takenMark = "taken "

// Taken reports whether the entry of a meter's key says that the meter was taken over.
func Taken(e storer.Entry) bool {
	return len(e.Value) >= len(takenMark) && string(e.Value[:len(takenMark)]) == takenMark
}

// takenValue is the value of the key of a meter that by has taken over in the term with the given number.
func takenValue(by identifier.Node, fence identifier.Fence) []byte {
	return []byte(takenMark + string(by) + " " + strconv.FormatUint(uint64(fence), 10))
}
