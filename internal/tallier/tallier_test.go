package tallier_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/tallier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const length = time.Second

// intake is the platform: it keeps each report and notes a second one with other figures.
type intake struct {
	mutex    sync.Mutex
	reports  map[meter.Window]tallier.Counts
	unlike   []meter.Window
	receipts []tallier.Receipt
	taken    chan meter.Window
}

func (p *intake) Report(_ context.Context, w meter.Window, c tallier.Counts, _ identifier.Node, _ identifier.Fence) tallier.Receipt {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	receipt := tallier.Taken
	if len(p.receipts) > 0 {
		receipt, p.receipts = p.receipts[0], p.receipts[1:]
	}
	if receipt == tallier.Deposed {
		return receipt
	}
	if old, ok := p.reports[w]; ok && !maps.Equal(old, c) {
		p.unlike = append(p.unlike, w)
	}
	p.reports[w] = c
	p.taken <- w
	return receipt
}

// world is a store and an intake with one clock.
type world struct {
	clock  timer.Service
	kv     *keyvalue.Service
	store  *storer.Storer
	intake *intake
}

func newWorld() *world {
	clock := timer.NewSystem()
	kv := keyvalue.NewService(clock)
	return &world{
		clock: clock, kv: kv, store: storer.NewStorer(kv, clock, storer.WithMaxPause(100*time.Millisecond)),
		intake: &intake{reports: make(map[meter.Window]tallier.Counts), taken: make(chan meter.Window, 1000)},
	}
}

func (w *world) tally(t *testing.T, node identifier.Node) *tallier.Tallier {
	tally := tallier.NewTallier(meter.Calendar{Length: length}, node, 1, w.store, codec.Jobs{}, w.clock, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { tally.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return tally
}

// report runs a reporter until it ends or stop is called.
func (w *world) report(t *testing.T, fence identifier.Fence) (stop func()) {
	r := tallier.NewReporter(meter.Calendar{Length: length}, w.store, codec.Jobs{}, w.intake, w.clock, nil, leaser.Term{Fence: fence},
		func() bool { return true })
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// wait waits for the report of a window.
func (w *world) wait(window meter.Window) {
	for reported := range w.intake.taken {
		if reported >= window {
			return
		}
	}
}

// Guards against requests that are counted twice or not at all, and against windows that are reported with different
// figures, when answers of the store and of the platform are lost and the holder changes between the freezing of a
// window and its receipt.
func TestReportsAreExact(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	a, b := w.tally(t, "a"), w.tally(t, "b")
	calendar := meter.Calendar{Length: length}
	want := make(map[meter.Window]tallier.Counts)
	first := calendar.Window(w.clock.Now())
	w.intake.receipts = []tallier.Receipt{tallier.Unsettled, tallier.Unsettled, tallier.Taken, tallier.Unsettled}
	count := func(from *tallier.Tallier, team identifier.Team, at time.Time) {
		from.Count(team, at)
		window := calendar.Window(at)
		want[window] = want[window].WithAdded(tallier.Counts{team: 1})
	}
	stop := w.report(t, 1)
	for i := range 400 {
		// The counts lie in the present window and the next, so that none is late.
		at := w.clock.Now().Add(time.Duration(i%2) * length)
		from := a
		if i%3 == 0 {
			from = b
		}
		count(from, identifier.Team(fmt.Sprint("team", i%5)), at)
	}
	w.kv.Set(keyvalue.Faults{Lose: 6})
	w.wait(first)
	stop()
	stop = w.report(t, 2)
	defer stop()
	w.wait(first + 3)
	w.intake.mutex.Lock()
	defer w.intake.mutex.Unlock()
	c.Assert(w.intake.unlike, qt.HasLen, 0)
	for window, counts := range want {
		c.Check(w.intake.reports[window], qt.DeepEquals, counts, qt.Commentf("window %d after %d", window, window-first))
	}
}

// Guards against a holder that goes on reporting after the platform has seen a later term.
func TestDeposedReporterStops(t *testing.T) {
	w := newWorld()
	w.intake.receipts = []tallier.Receipt{tallier.Deposed}
	window := meter.Calendar{Length: length}.Window(w.clock.Now()) - 10
	w.kv.Write(fmt.Sprintf("seals/%d", window), []byte("{}"))
	r := tallier.NewReporter(meter.Calendar{Length: length}, w.store, codec.Jobs{}, w.intake, w.clock, nil, leaser.Term{Fence: 1},
		func() bool { return true })
	r.Run(t.Context())
	qt.Assert(t, w.intake.reports, qt.HasLen, 0)
}
