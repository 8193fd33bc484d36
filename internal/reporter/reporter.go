package reporter

import (
	"context"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Duty is the duty whose holder closes windows and sends their reports.
const Duty identifier.Duty = "report"

// DefaultGrace is the default delay between the end of a window and its closing. It covers two flushes of every node.
const DefaultGrace = 15 * time.Second

// DefaultRetention is the default number of windows for which values and sealed reports are kept: a day of one-minute
// windows.
const DefaultRetention meter.Window = 1440

// Outcome is the outcome of sending a report.
type Outcome int

const (
	// Accepted means that the platform has accepted the report.
	Accepted Outcome = iota + 1
	// Refused means that the platform refused the report.
	Refused
	// Lost means that no response arrived; the platform may have the report.
	Lost
	// Unsent means that no byte of the report left this process.
	Unsent
)

// Sender sends reports to the platform.
type Sender interface {
	// Send sends the body of a report. It must not send any byte once the monotonic clock has reached deadline.
	Send(ctx context.Context, body []byte, fence identifier.Fence, deadline time.Duration) Outcome
}

// Terms returns the current term of a duty.
type Terms interface {
	Term(d identifier.Duty) (leaser.Term, bool)
}

// Settings hold the calendar and timing of reports.
type Settings struct {
	Calendar meter.Calendar
	// Grace is the delay between the end of a window and its closing; zero means DefaultGrace.
	Grace time.Duration
	// Teams returns the teams that get a report even if they have no usage.
	Teams func() []identifier.Team
	// Retention is the number of windows for which values and sealed reports are kept after they are confirmed; zero means
	// DefaultRetention.
	Retention meter.Window
}

// Reporter closes windows and delivers their reports until the platform has confirmed them. It is not safe for
// concurrent use.
//
// Invariants: a window is closed before its counts are summed, and accepts no counts afterwards; a report is sealed
// before it is sent, and the sealed bytes are sent; nothing is sent outside a valid term.
type Reporter struct {
	settings Settings
	store    meter.Store
	codec    Codec
	sender   Sender
	terms    Terms
	clock    timer.Service
	// holdUntil is the monotonic time before which no window is closed: after an outage of the key-value service, the
	// nodes need time to store their counts.
	holdUntil time.Duration
}

// NewReporter returns a Reporter that sends reports through sender.
func NewReporter(s Settings, store meter.Store, codec Codec, sender Sender, terms Terms, clock timer.Service) *Reporter {
	if s.Grace <= 0 {
		s.Grace = DefaultGrace
	}
	if s.Retention <= 0 {
		s.Retention = DefaultRetention
	}
	return &Reporter{settings: s, store: store, codec: codec, sender: sender, terms: terms, clock: clock}
}

// RunRound closes the windows that are due and seals, sends and confirms the reports of closed windows while the term is
// valid. It reports false when due work remains.
func (r *Reporter) RunRound(ctx context.Context, fence identifier.Fence) bool {
	closed, ok := r.ensureWatermark(ctx, fence, meter.ClosedKey)
	if !ok {
		r.holdUntil = r.clock.Monotonic() + r.settings.Grace
		return false
	}
	confirmed, ok := r.ensureWatermark(ctx, fence, meter.ConfirmedKey)
	if !ok {
		return false
	}
	due := r.settings.Calendar.Window(r.clock.Now().Add(-r.settings.Grace)) - 1
	for closed.last < due && r.clock.Monotonic() >= r.holdUntil {
		if closed, ok = r.advance(ctx, fence, closed); !ok {
			return false
		}
	}
	for confirmed.last < closed.last {
		if !r.reportWindow(ctx, fence, confirmed.last+1) {
			return false
		}
		if confirmed, ok = r.advance(ctx, fence, confirmed); !ok {
			return false
		}
	}
	return r.prune(ctx, fence, confirmed.last-r.settings.Retention)
}

// Watermarks returns the last window that is closed and the last one whose reports are all confirmed.
func (r *Reporter) Watermarks(ctx context.Context) (closed, confirmed meter.Window, ok bool) {
	c, ok := r.readWatermark(ctx, meter.ClosedKey)
	if !ok || c.changed == 0 {
		return 0, 0, false
	}
	d, ok := r.readWatermark(ctx, meter.ConfirmedKey)
	return c.last, d.last, ok && d.changed != 0
}

// storedWatermark is a stored watermark with the revision of its last change.
type storedWatermark struct {
	key     string
	last    meter.Window
	changed int64
}

func (r *Reporter) readWatermark(ctx context.Context, key string) (storedWatermark, bool) {
	entry, out := r.store.Get(ctx, key)
	if out != storer.Applied || entry.Changed == 0 {
		return storedWatermark{key: key}, out == storer.Applied
	}
	m, err := r.codec.DecodeWatermark(entry.Value)
	return storedWatermark{key: key, last: m.Last, changed: entry.Changed}, err == nil
}

// ensureWatermark reads a watermark and creates it if it does not exist. The first term of a deployment closes the
// windows before the current one, and sets the other watermarks to the window before the first one with counts.
func (r *Reporter) ensureWatermark(ctx context.Context, fence identifier.Fence, key string) (storedWatermark, bool) {
	stored, ok := r.readWatermark(ctx, key)
	if !ok || stored.changed != 0 {
		return stored, ok
	}
	first := r.settings.Calendar.Window(r.clock.Now())
	if key != meter.ClosedKey {
		if first, ok = r.firstWindow(ctx); !ok {
			return stored, false
		}
	}
	// advance adds one to last, so the window before the first one is stored.
	stored.last = first - 2
	return r.advance(ctx, fence, stored)
}

// firstWindow returns the first closed window with counts, or the window after the last closed one if none has counts.
// The windows are closed, so the result does not change.
func (r *Reporter) firstWindow(ctx context.Context) (meter.Window, bool) {
	closed, ok := r.readWatermark(ctx, meter.ClosedKey)
	if !ok || closed.changed == 0 {
		return 0, false
	}
	entries, out := r.store.List(ctx, meter.ValuePrefix)
	if out != storer.Applied {
		return 0, false
	}
	first := closed.last + 1
	for _, e := range entries {
		if e.Key == meter.ClosedKey || e.Key == meter.ConfirmedKey || e.Key == meter.PrunedKey {
			continue
		}
		v, err := r.codec.DecodeWindowUsage(e.Value)
		if err != nil {
			return 0, false
		}
		first = min(first, v.Window)
	}
	return first, true
}

// advance moves a watermark forward by one window.
func (r *Reporter) advance(ctx context.Context, fence identifier.Fence, stored storedWatermark) (storedWatermark, bool) {
	return r.writeWatermark(ctx, fence, stored, meter.Watermark{Last: stored.last + 1, Fence: fence}, nil)
}

// currentTerm returns the current term. It reports false unless the term is valid and has the given fence.
func (r *Reporter) currentTerm(fence identifier.Fence) (leaser.Term, bool) {
	term, ok := r.terms.Term(Duty)
	return term, ok && term.Fence == fence
}

// reportWindow seals, sends and confirms the reports of a closed window.
func (r *Reporter) reportWindow(ctx context.Context, fence identifier.Fence, w meter.Window) bool {
	values, ok := ReadWindow(ctx, r.store, r.codec, w)
	if !ok {
		return false
	}
	complete := true
	for _, team := range r.teams(values) {
		complete = r.deliver(ctx, fence, NewReport(team, w, fence, values)) && complete
	}
	return complete
}

// ReadWindow returns the stored values of a window.
func ReadWindow(ctx context.Context, store meter.Store, codec meter.Codec, w meter.Window) ([]meter.WindowUsage, bool) {
	entries, out := store.List(ctx, meter.Prefix(w))
	if out != storer.Applied {
		return nil, false
	}
	values := make([]meter.WindowUsage, 0, len(entries))
	for _, e := range entries {
		v, err := codec.DecodeWindowUsage(e.Value)
		if err != nil {
			return nil, false
		}
		values = append(values, v)
	}
	return values, true
}

// teams returns the teams that get a report, sorted.
func (r *Reporter) teams(values []meter.WindowUsage) []identifier.Team {
	var teams []identifier.Team
	if r.settings.Teams != nil {
		teams = slices.Clone(r.settings.Teams())
	}
	for _, v := range values {
		for _, line := range v.Lines {
			teams = append(teams, line.Team)
		}
	}
	slices.Sort(teams)
	return slices.Compact(teams)
}

// deliver seals, sends and confirms one report. A report that another holder of the duty has already sealed is sent as
// stored, whatever the given report contains.
func (r *Reporter) deliver(ctx context.Context, fence identifier.Fence, report Report) bool {
	key := Key(report.Team, report.Window)
	sealed, entry, ok := r.loadOrSeal(ctx, fence, key, report)
	if !ok {
		return false
	}
	if sealed.Stage == Confirmed {
		return true
	}
	if sealed.Stage == Sealed {
		if sealed, entry, ok = r.replaceSealed(ctx, fence, key, sealed.WithStage(Sent, fence), entry); !ok {
			return false
		}
	}
	term, ok := r.currentTerm(fence)
	if !ok || r.sender.Send(ctx, sealed.Body, fence, term.ValidUntil) != Accepted {
		return false
	}
	_, _, ok = r.replaceSealed(ctx, fence, key, sealed.WithStage(Confirmed, fence), entry)
	return ok
}

// loadOrSeal returns the stored sealed report; if there is none, it seals and stores the given report.
func (r *Reporter) loadOrSeal(ctx context.Context, fence identifier.Fence, key string, report Report) (SealedReport, storer.Entry, bool) {
	entry, out := r.store.Get(ctx, key)
	if out != storer.Applied {
		return SealedReport{}, entry, false
	}
	if entry.Changed == 0 {
		first := SealedReport{Stage: Sealed, Fence: fence, Seq: 1, Body: r.codec.EncodeReport(report)}
		return r.replaceSealed(ctx, fence, key, first, entry)
	}
	sealed, err := r.codec.DecodeSealedReport(entry.Value)
	return sealed, entry, err == nil
}

// replaceSealed stores next in place of the sealed report in entry.
func (r *Reporter) replaceSealed(
	ctx context.Context, fence identifier.Fence, key string, next SealedReport, entry storer.Entry,
) (SealedReport, storer.Entry, bool) {
	if _, ok := r.currentTerm(fence); !ok {
		return next, entry, false
	}
	data := r.codec.EncodeSealedReport(next)
	out := r.store.Commit(ctx, storer.Transaction{}.WithGuard(key, entry.Changed).WithPut(key, data, 0))
	if out != storer.Applied {
		return next, entry, false
	}
	entry, out = r.store.Get(ctx, key)
	return next, entry, out == storer.Applied && string(entry.Value) == string(data)
}
