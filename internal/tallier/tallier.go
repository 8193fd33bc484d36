// Package tallier counts the requests of each team that began to run in each window, and reports each window once.
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

// Counts are the requests of each team.
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

// Form is the stored form of counts.
type Form interface {
	EncodeCounts(c Counts) ([]byte, error)
	DecodeCounts(data []byte) (Counts, error)
}

// Store is the part of the key-value service that counts and reports use.
type Store interface {
	List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
}

const (
	countPrefix = "usage/"
	sealPrefix  = "seals/"
)

const (
	// flushAfter is the time after the end of a window at which its counts are stored: requests that began in it have
	// mostly been answered by then.
	flushAfter = 1200 * time.Millisecond
	// flushTick is the period of the look for windows to store.
	flushTick = 500 * time.Millisecond
	// keepCounts is the time after which counts that could not be stored are dropped; their report is overdue then.
	keepCounts = 30 * time.Second
)

// Tallier holds the counts of one process that are not stored yet.
//
// Invariant: each counted request is in one stored value at most. Lock rank: container.RankTallier.
type Tallier struct {
	lock     container.Lock[container.Tallier]
	counts   map[meter.Window]Counts
	calendar meter.Calendar
	node     string
	written  int
	store    Store
	form     Form
	clock    timer.Service
	log      *logger.Logger
}

// NewTallier returns a Tallier for one start of a process, which node and incarnation identify.
func NewTallier(
	c meter.Calendar, node identifier.Node, incarnation identifier.Incarnation, store Store, form Form, clock timer.Service, log *logger.Logger,
) *Tallier {
	return &Tallier{
		counts: make(map[meter.Window]Counts), calendar: c, node: string(node) + "-" + strconv.FormatUint(uint64(incarnation), 10),
		store: store, form: form, clock: clock, log: log,
	}
}

// Count counts a request that began to run at a time.
func (t *Tallier) Count(team identifier.Team, at time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	w := t.calendar.Window(at)
	if t.counts[w] == nil {
		t.counts[w] = make(Counts)
	}
	t.counts[w][team]++
}

// Run stores the counts of windows that have ended until ctx ends, and then all that are left.
func (t *Tallier) Run(ctx context.Context) {
	ticks := t.clock.Every(flushTick)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			t.flush(ctx, t.clock.Now().Add(-flushAfter))
		case <-ctx.Done():
			last, cancel := timer.WithTimeout(context.WithoutCancel(ctx), t.clock, time.Second)
			defer cancel()
			t.flush(last, t.clock.Now().Add(t.calendar.Length))
			return
		}
	}
}

// flush stores the counts of the windows that ended before a time.
func (t *Tallier) flush(ctx context.Context, before time.Time) {
	for w, counts := range t.take(before) {
		data, err := t.form.EncodeCounts(counts)
		if err != nil {
			t.log.Emit(logger.CountsLost, "window", w, "error", err)
			continue
		}
		key := countKey(w, t.node, t.next())
		out := t.store.Commit(ctx, storer.Transaction{}.WithGuard(key, 0).WithPut(key, data, 0))
		switch {
		case out == storer.Applied:
		case out == storer.Unavailable && t.clock.Now().Sub(t.calendar.End(w)) < keepCounts:
			t.restore(w, counts)
		default:
			// After a lost answer the counts may be stored; storing them again could count requests twice.
			t.log.Emit(logger.CountsLost, "window", w, "outcome", out.String())
		}
	}
}

func (t *Tallier) take(before time.Time) map[meter.Window]Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	due := make(map[meter.Window]Counts)
	for w, counts := range t.counts {
		if !t.calendar.End(w).After(before) {
			due[w] = counts
			delete(t.counts, w)
		}
	}
	return due
}

func (t *Tallier) restore(w meter.Window, counts Counts) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.counts[w] = counts.WithAdded(t.counts[w])
}

func (t *Tallier) next() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.written++
	return t.written
}

func windowPrefix(w meter.Window) string { return countPrefix + strconv.FormatInt(int64(w), 10) + "/" }

func countKey(w meter.Window, node string, n int) string {
	return windowPrefix(w) + node + "-" + strconv.Itoa(n)
}

func sealKey(w meter.Window) string { return sealPrefix + strconv.FormatInt(int64(w), 10) }
