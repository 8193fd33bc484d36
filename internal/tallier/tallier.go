// Package tallier counts, for each team and window, the requests that began to run, and reports each window to the
// platform once.
package tallier

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Counts is the number of requests of each team.
type Counts map[identifier.Team]int64

// WithAdded returns the sum of c and d.
func (c Counts) WithAdded(d Counts) Counts {
	sum := maps.Clone(c)
	if sum == nil {
		sum = make(Counts, len(d))
	}
	for team, n := range d {
		sum[team] += n
	}
	return sum
}

// Codec encodes and decodes stored counts.
type Codec interface {
	EncodeCounts(c Counts) ([]byte, error)
	DecodeCounts(data []byte) (Counts, error)
}

// Store is the part of the key-value store that Tallier and Reporter use.
type Store interface {
	List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
}

const (
	countPrefix = "usage/"
	sealPrefix  = "seals/"
)

const (
	// flushDelay is the time from the end of a window to the storing of its counts. By then most requests that began
	// in the window have been answered, and so counted.
	flushDelay = 1200 * time.Millisecond
	// flushInterval is the time between two checks for windows to store.
	flushInterval = 500 * time.Millisecond
	// countRetention is the time from the end of a window after which counts that could not be stored are dropped. By
	// then the report of the window is overdue.
	countRetention = 30 * time.Second
	// finalFlushTimeout limits the last storing of counts, when the process stops.
	finalFlushTimeout = time.Second
)

// Tallier counts the requests of one process and stores the counts of each window after its end.
//
// Invariant: each counted request is in at most one stored value. Lock rank: container.RankTallier.
type Tallier struct {
	lock     container.Lock[container.Tallier]
	counts   map[meter.Window]Counts
	calendar meter.Calendar
	// processID names the node and its incarnation, so that no two processes write the same keys.
	processID string
	sequence  int
	store     Store
	codec     Codec
	clock     timer.Service
	log       *logger.Logger
}

// NewTallier returns a Tallier for one incarnation of a node.
func NewTallier(
	c meter.Calendar, node identifier.Node, incarnation identifier.Incarnation, store Store, codec Codec, clock timer.Service, log *logger.Logger,
) *Tallier {
	return &Tallier{
		counts: make(map[meter.Window]Counts), calendar: c, processID: string(node) + "-" + strconv.FormatUint(uint64(incarnation), 10),
		store: store, codec: codec, clock: clock, log: log,
	}
}

// Count counts a request that began to run at the given time.
func (t *Tallier) Count(team identifier.Team, at time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	w := t.calendar.Window(at)
	if t.counts[w] == nil {
		t.counts[w] = make(Counts)
	}
	t.counts[w][team]++
}

// Run stores the counts of ended windows until ctx ends, and then those of all windows.
func (t *Tallier) Run(ctx context.Context) {
	ticks := t.clock.Every(flushInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			t.flush(ctx, t.clock.Now().Add(-flushDelay))
		case <-ctx.Done():
			last, cancel := timer.WithTimeout(context.WithoutCancel(ctx), t.clock, finalFlushTimeout)
			defer cancel()
			t.flush(last, t.clock.Now().Add(t.calendar.Length))
			return
		}
	}
}

// flush stores the counts of the windows that ended before the given time.
func (t *Tallier) flush(ctx context.Context, before time.Time) {
	for w, counts := range t.takeEnded(before) {
		data, err := t.codec.EncodeCounts(counts)
		if err != nil {
			t.log.Emit(logger.CountsLost, "window", w, "error", err)
			continue
		}
		key := countKey(w, t.processID, t.nextSequence())
		out := t.store.Commit(ctx, storer.Transaction{}.WithGuard(key, 0).WithPut(key, data, 0))
		switch {
		case out == storer.Applied:
		case out == storer.Unavailable && t.clock.Now().Sub(t.calendar.End(w)) < countRetention:
			t.restore(w, counts)
		default:
			// If the answer of the store was lost, the counts may be stored; storing them again could count requests
			// twice.
			t.log.Emit(logger.CountsLost, "window", w, "outcome", out.String())
		}
	}
}

func (t *Tallier) takeEnded(before time.Time) map[meter.Window]Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	ended := make(map[meter.Window]Counts)
	for w, counts := range t.counts {
		if !t.calendar.End(w).After(before) {
			ended[w] = counts
			delete(t.counts, w)
		}
	}
	return ended
}

func (t *Tallier) restore(w meter.Window, counts Counts) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.counts[w] = counts.WithAdded(t.counts[w])
}

func (t *Tallier) nextSequence() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.sequence++
	return t.sequence
}

func windowPrefix(w meter.Window) string { return countPrefix + strconv.FormatInt(int64(w), 10) + "/" }

func countKey(w meter.Window, processID string, n int) string {
	return windowPrefix(w) + processID + "-" + strconv.Itoa(n)
}

func sealKey(w meter.Window) string { return sealPrefix + strconv.FormatInt(int64(w), 10) }
