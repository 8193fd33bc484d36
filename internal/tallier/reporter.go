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
	// Accepted means that the platform has the report.
	Accepted Receipt = iota + 1
	// StaleFence means that the platform has seen a higher fencing number.
	StaleFence
	// Unknown means that the report may or may not have arrived; it is sent again.
	Unknown
)

// String returns the name of the receipt.
func (r Receipt) String() string {
	names := [...]string{"none", "taken", "deposed", "unsettled"}
	if r < 0 || int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// ReportReceiver sends reports to the platform.
type ReportReceiver interface {
	Report(ctx context.Context, w meter.Window, c Counts, holder identifier.Node, fence identifier.Fence) Receipt
}

const (
	// sealDelay is the time from the end of a window to the sealing of its counts. By then every process has stored
	// its counts, and a report that must be sent again still arrives in time.
	sealDelay = 3500 * time.Millisecond
	// sendTimeout is the timeout of one call to the platform.
	sendTimeout = 1500 * time.Millisecond
	// reportInterval is the time between two checks for windows to report, and between repeats of a report.
	reportInterval = 500 * time.Millisecond
	// maxBacklog is the maximum number of overdue windows that a new term reports; older ones are skipped.
	maxBacklog = 60
	// retainedSeals is the number of windows whose sealed counts are kept.
	retainedSeals = 100
	// maxDeletes is the maximum number of stored counts that one transaction deletes.
	maxDeletes = 24
)

// Reporter reports windows to the platform during one term as the holder of the duty. Only one goroutine uses it.
//
// Invariant: the counts of a window are sealed, that is written once to the key-value store, before they are sent,
// and only sealed counts are sent. So every report of a window has the same counts.
type Reporter struct {
	calendar meter.Calendar
	store    Store
	codec    Codec
	receiver ReportReceiver
	clock    timer.Service
	log      *logger.Logger
	term     leaser.Term
	valid    func() bool
	// lastConfirmed is the last window whose report is confirmed in this term, or the window that the term continues
	// after. It is valid once resumed is set.
	lastConfirmed meter.Window
	resumed       bool
}

// NewReporter returns a Reporter for a term. It sends no report once valid returns false.
func NewReporter(
	c meter.Calendar, store Store, codec Codec, receiver ReportReceiver, clock timer.Service, log *logger.Logger, term leaser.Term, valid func() bool,
) *Reporter {
	return &Reporter{calendar: c, store: store, codec: codec, receiver: receiver, clock: clock, log: log, term: term, valid: valid}
}

// Run reports windows until ctx ends or the platform has seen a later term.
func (r *Reporter) Run(ctx context.Context) {
	ticks := r.clock.Every(reportInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			if !r.reportDue(ctx) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// reportDue reports the windows that are due. It returns false if the platform has seen a later term.
func (r *Reporter) reportDue(ctx context.Context) bool {
	due := r.calendar.Window(r.clock.Now().Add(-sealDelay)) - 1
	if !r.resumed && !r.resume(ctx, due) {
		return true
	}
	for r.lastConfirmed < due && r.valid() {
		w := r.lastConfirmed + 1
		counts, ok := r.seal(ctx, w)
		if !ok {
			return true
		}
		switch r.send(ctx, w, counts) {
		case Accepted:
			r.lastConfirmed = w
		case StaleFence:
			return false
		default:
			return true
		}
	}
	return true
}

// resume determines the window to continue after. The latest sealed window is sent again, because its receipt may
// have been lost. It returns false if the seals could not be read.
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
		r.lastConfirmed = due
	} else {
		r.lastConfirmed = max(newest-1, due-maxBacklog)
	}
	r.resumed = true
	return true
}

// seal returns the sealed counts of a window. It seals the sum of the stored counts if the window has no seal yet.
func (r *Reporter) seal(ctx context.Context, w meter.Window) (Counts, bool) {
	entries, out := r.store.List(ctx, windowPrefix(w))
	if out != storer.Applied {
		return nil, false
	}
	sum := Counts{}
	for _, e := range entries {
		counts, err := r.codec.DecodeCounts(e.Value)
		if err != nil {
			r.log.Emit(logger.RecordUnreadable, "key", e.Key, "error", err)
			continue
		}
		sum = sum.WithAdded(counts)
	}
	data, err := r.codec.EncodeCounts(sum)
	if err != nil {
		r.log.Emit(logger.CountsLost, "window", w, "error", err)
		return nil, false
	}
	t := storer.Transaction{}.WithGuard(sealKey(w), 0).WithPut(sealKey(w), data, 0).WithDelete(sealKey(w - retainedSeals))
	for _, e := range entries[:min(len(entries), maxDeletes)] {
		t = t.WithDelete(e.Key)
	}
	switch r.store.Commit(ctx, t) {
	case storer.Applied:
		return sum, true
	case storer.Conflict:
		return r.readSeal(ctx, w)
	default:
		return nil, false
	}
}

// readSeal returns the counts that another term has sealed.
func (r *Reporter) readSeal(ctx context.Context, w meter.Window) (Counts, bool) {
	entries, out := r.store.List(ctx, sealKey(w))
	if out != storer.Applied || len(entries) == 0 {
		return nil, false
	}
	counts, err := r.codec.DecodeCounts(entries[0].Value)
	if err != nil {
		r.log.Emit(logger.RecordUnreadable, "key", entries[0].Key, "error", err)
		return nil, false
	}
	return counts, true
}

func (r *Reporter) send(ctx context.Context, w meter.Window, counts Counts) Receipt {
	if !r.valid() {
		return Unknown
	}
	ctx, cancel := timer.WithTimeout(ctx, r.clock, sendTimeout)
	defer cancel()
	receipt := r.receiver.Report(ctx, w, counts, r.term.Holder, r.term.Fence)
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	r.log.Emit(logger.UsageReported, "window", w, "teams", len(counts), "requests", total, "fence", r.term.Fence, "receipt", receipt.String())
	return receipt
}
