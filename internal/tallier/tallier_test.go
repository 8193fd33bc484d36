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

// platform is the receiver of reports. It keeps each report, and records windows that are reported again with other
// counts.
type platform struct {
	mutex       sync.Mutex
	reports     map[meter.Window]tallier.Counts
	conflicting []meter.Window
	receipts    []tallier.Receipt
	reported    chan meter.Window
}

func (p *platform) Report(_ context.Context, w meter.Window, c tallier.Counts, _ identifier.Node, _ identifier.Fence) tallier.Receipt {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	receipt := tallier.Accepted
	if len(p.receipts) > 0 {
		receipt, p.receipts = p.receipts[0], p.receipts[1:]
	}
	if receipt == tallier.StaleFence {
		return receipt
	}
	if old, ok := p.reports[w]; ok && !maps.Equal(old, c) {
		p.conflicting = append(p.conflicting, w)
	}
	p.reports[w] = c
	p.reported <- w
	return receipt
}

// fixture is a store and a platform that share a clock.
type fixture struct {
	clock    timer.Service
	kv       *keyvalue.Service
	store    *storer.Storer
	platform *platform
}

func newFixture() *fixture {
	clock := timer.NewSystem()
	kv := keyvalue.NewService(clock)
	return &fixture{
		clock: clock, kv: kv, store: storer.NewStorer(kv, clock, storer.WithMaxPause(100*time.Millisecond)),
		platform: &platform{reports: make(map[meter.Window]tallier.Counts), reported: make(chan meter.Window, 1000)},
	}
}

func (f *fixture) startTallier(t *testing.T, node identifier.Node) *tallier.Tallier {
	tally := tallier.NewTallier(meter.Calendar{Length: length}, node, 1, f.store, codec.Jobs{}, f.clock, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { tally.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return tally
}

// startReporter runs a Reporter until it ends or stop is called.
func (f *fixture) startReporter(t *testing.T, fence identifier.Fence) (stop func()) {
	r := tallier.NewReporter(meter.Calendar{Length: length}, f.store, codec.Jobs{}, f.platform, f.clock, nil, leaser.Term{Fence: fence},
		func() bool { return true })
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// waitForReport waits for the report of a window or a later one.
func (f *fixture) waitForReport(window meter.Window) {
	for reported := range f.platform.reported {
		if reported >= window {
			return
		}
	}
}

// Guards against requests that are counted twice or not at all, and against windows that are reported with different
// counts, when answers of the store and of the platform are lost and another process takes the duty between the seal
// of a window and its receipt.
func TestReportsAreExact(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	a, b := f.startTallier(t, "a"), f.startTallier(t, "b")
	calendar := meter.Calendar{Length: length}
	want := make(map[meter.Window]tallier.Counts)
	first := calendar.Window(f.clock.Now())
	f.platform.receipts = []tallier.Receipt{tallier.Unknown, tallier.Unknown, tallier.Accepted, tallier.Unknown}
	count := func(from *tallier.Tallier, team identifier.Team, at time.Time) {
		from.Count(team, at)
		window := calendar.Window(at)
		want[window] = want[window].WithAdded(tallier.Counts{team: 1})
	}
	stop := f.startReporter(t, 1)
	for i := range 400 {
		// The counts are in the current window and the next one, so that none is late.
		at := f.clock.Now().Add(time.Duration(i%2) * length)
		from := a
		if i%3 == 0 {
			from = b
		}
		count(from, identifier.Team(fmt.Sprint("team", i%5)), at)
	}
	f.kv.Set(keyvalue.Faults{LostAnswers: 6})
	f.waitForReport(first)
	stop()
	stop = f.startReporter(t, 2)
	defer stop()
	f.waitForReport(first + 3)
	f.platform.mutex.Lock()
	defer f.platform.mutex.Unlock()
	c.Assert(f.platform.conflicting, qt.HasLen, 0)
	for window, counts := range want {
		c.Check(f.platform.reports[window], qt.DeepEquals, counts, qt.Commentf("window %d after %d", window, window-first))
	}
}

// Guards against a deposed holder of the duty that keeps reporting after the platform has seen a later term.
func TestDeposedReporterStops(t *testing.T) {
	f := newFixture()
	f.platform.receipts = []tallier.Receipt{tallier.StaleFence}
	window := meter.Calendar{Length: length}.Window(f.clock.Now()) - 10
	f.kv.Write(fmt.Sprintf("seals/%d", window), []byte("{}"))
	r := tallier.NewReporter(meter.Calendar{Length: length}, f.store, codec.Jobs{}, f.platform, f.clock, nil, leaser.Term{Fence: 1},
		func() bool { return true })
	r.Run(t.Context())
	qt.Assert(t, f.platform.reports, qt.HasLen, 0)
}
