package tallier

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Receipt is the platform's answer to a report.
type Receipt int

const (
	// Taken means that the platform has the report.
	Taken Receipt = iota + 1
	// Deposed means that the platform has seen a higher fencing number.
	Deposed
	// Unsettled means that the report may have arrived; it is sent again.
	Unsettled
)

// String returns the name of the receipt.
func (r Receipt) String() string {
	names := [...]string{"none", "taken", "deposed", "unsettled"}
	if r < 0 || int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// ReportReceiver takes reports.
type ReportReceiver interface {
	Report(ctx context.Context, w meter.Window, c Counts, holder identifier.Node, fence identifier.Fence) Receipt
}

const (
	// sealAfter is the time after the end of a window at which its figures are frozen: every process has stored its
	// counts by then, and a report that must be sent again still comes in time.
	sealAfter = 3500 * time.Millisecond
	// sendTimeout bounds one call to the platform.
	sendTimeout = 1500 * time.Millisecond
	// reportTick is the period of the look for windows to report, and of the repeats of a report.
	reportTick = 500 * time.Millisecond
	// backlog is the number of windows that are reported late at most.
	backlog = 60
	// keepSeals is the number of windows whose frozen figures are kept.
	keepSeals = 100
	// sealDeletes bounds the keys that one transaction deletes.
	sealDeletes = 24
)

// Reporter reports the windows within one term of the duty. One goroutine uses it.
//
// Invariant: a window's figures are frozen in the key-value service before they are sent, and sent as frozen.
type Reporter struct {
	calendar meter.Calendar
	store    Store
	form     Form
	intake   ReportReceiver
	clock    timer.Service
	log      *logger.Logger
	term     leaser.Term
	valid    func() bool
	// last is the last window that is confirmed in this term.
	last  meter.Window
	known bool
}

// NewReporter returns a Reporter for a term. It sends nothing once valid returns false.
func NewReporter(
	c meter.Calendar, store Store, form Form, intake ReportReceiver, clock timer.Service, log *logger.Logger, term leaser.Term, valid func() bool,
) *Reporter {
	return &Reporter{calendar: c, store: store, form: form, intake: intake, clock: clock, log: log, term: term, valid: valid}
}

// Run reports windows until ctx ends or a later term was seen.
func (r *Reporter) Run(ctx context.Context) {
	ticks := r.clock.Every(reportTick)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			if !r.round(ctx) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// round reports the windows that are due. It reports false when a later term was seen.
func (r *Reporter) round(ctx context.Context) bool {
	due := r.calendar.Window(r.clock.Now().Add(-sealAfter)) - 1
	if !r.known && !r.resume(ctx, due) {
		return true
	}
	for r.last < due && r.valid() {
		w := r.last + 1
		counts, ok := r.seal(ctx, w)
		if !ok {
			return true
		}
		switch r.send(ctx, w, counts) {
		case Taken:
			r.last = w
		case Deposed:
			return false
		default:
			return true
		}
	}
	return true
}

// resume finds the window to go on from. The last frozen one is sent again, because its receipt may have been lost.
func (r *Reporter) resume(ctx context.Context, due meter.Window) bool {
	entries, out := r.store.List(ctx, sealPrefix)
	if out != storer.Applied {
		return false
	}
	newest := meter.Window(0)
	for _, e := range entries {
		n, err := strconv.ParseInt(strings.TrimPrefix(e.Key, sealPrefix), 10, 64)
		if err != nil {
			r.log.Emit(logger.RecordUnreadable, "key", e.Key, "error", err)
			continue
		}
		newest = max(newest, meter.Window(n))
	}
	if newest == 0 {
		r.last = due
	} else {
		r.last = max(newest-1, due-backlog)
	}
	r.known = true
	return true
}

// seal returns the frozen figures of a window and freezes them if they are not.
func (r *Reporter) seal(ctx context.Context, w meter.Window) (Counts, bool) {
	entries, out := r.store.List(ctx, windowPrefix(w))
	if out != storer.Applied {
		return nil, false
	}
	sum := Counts{}
	for _, e := range entries {
		counts, err := r.form.DecodeCounts(e.Value)
		if err != nil {
			r.log.Emit(logger.RecordUnreadable, "key", e.Key, "error", err)
			continue
		}
		sum = sum.WithAdded(counts)
	}
	data, err := r.form.EncodeCounts(sum)
	if err != nil {
		r.log.Emit(logger.CountsLost, "window", w, "error", err)
		return nil, false
	}
	t := storer.Transaction{}.WithGuard(sealKey(w), 0).WithPut(sealKey(w), data, 0).WithDelete(sealKey(w - keepSeals))
	for _, e := range entries[:min(len(entries), sealDeletes)] {
		t = t.WithDelete(e.Key)
	}
	switch r.store.Commit(ctx, t) {
	case storer.Applied:
		return sum, true
	case storer.Conflict:
		return r.sealed(ctx, w)
	default:
		return nil, false
	}
}

// sealed returns the figures that another term has frozen.
func (r *Reporter) sealed(ctx context.Context, w meter.Window) (Counts, bool) {
	entries, out := r.store.List(ctx, sealKey(w))
	if out != storer.Applied || len(entries) == 0 {
		return nil, false
	}
	counts, err := r.form.DecodeCounts(entries[0].Value)
	if err != nil {
		r.log.Emit(logger.RecordUnreadable, "key", entries[0].Key, "error", err)
		return nil, false
	}
	return counts, true
}

func (r *Reporter) send(ctx context.Context, w meter.Window, counts Counts) Receipt {
	if !r.valid() {
		return Unsettled
	}
	ctx, cancel := timer.WithTimeout(ctx, r.clock, sendTimeout)
	defer cancel()
	receipt := r.intake.Report(ctx, w, counts, r.term.Holder, r.term.Fence)
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	r.log.Emit(logger.UsageReported, "window", w, "teams", len(counts), "requests", total, "fence", r.term.Fence, "receipt", receipt.String())
	return receipt
}
