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

// Duty is the duty whose holder reports.
const Duty identifier.Duty = "report"

// DefaultGrace is the time between the end of a window and its closing. It covers two flushes of every node.
const DefaultGrace = 15 * time.Second

// DefaultRetention is the number of windows for which values and seals are kept: a day of minutes.
const DefaultRetention meter.Window = 1440

// Outcome is how sending a report came out.
type Outcome int

const (
	// Accepted means that the platform has the report.
	Accepted Outcome = iota + 1
	// Refused means that the platform did not take the report.
	Refused
	// Lost means that the report may have arrived.
	Lost
	// Unsent means that no byte of the report left this process.
	Unsent
)

// Intake takes reports.
type Intake interface {
	// Send sends the body of a report. No byte may leave once the boot clock has reached until.
	Send(ctx context.Context, body []byte, fence identifier.Fence, until time.Duration) Outcome
}

// Terms gives the present term of a duty.
type Terms interface {
	Term(d identifier.Duty) (leaser.Term, bool)
}

// Settings are the calendar and timing of reports.
type Settings struct {
	Calendar meter.Calendar
	// Grace is the time between the end of a window and its closing; zero means DefaultGrace.
	Grace time.Duration
	// Teams returns the teams that get a report even without usage.
	Teams func() []identifier.Team
	// Retention is the number of windows for which values and seals are kept after they are done; zero means
	// DefaultRetention.
	Retention meter.Window
}

// Reporter leads windows from open to confirmed. One goroutine uses it.
//
// Invariants: a window is closed before it is summed up, and takes no counts then; a report is sealed before it is sent
// and sent as it was sealed; nothing leaves outside a valid term.
type Reporter struct {
	settings Settings
	store    meter.Store
	form     Form
	intake   Intake
	terms    Terms
	clock    timer.Service
	// hold is the boot clock time before which no window is closed: after an outage of the key-value service the
	// nodes first get time to store what they counted.
	hold time.Duration
}

// NewReporter returns a Reporter that sends to intake.
func NewReporter(s Settings, store meter.Store, form Form, intake Intake, terms Terms, clock timer.Service) *Reporter {
	if s.Grace <= 0 {
		s.Grace = DefaultGrace
	}
	if s.Retention <= 0 {
		s.Retention = DefaultRetention
	}
	return &Reporter{settings: s, store: store, form: form, intake: intake, terms: terms, clock: clock}
}

// Round closes the windows that are due and seals, sends and confirms what is closed, as far as the term goes. It
// reports false when something is left that was due.
func (r *Reporter) Round(ctx context.Context, fence identifier.Fence) bool {
	closed, ok := r.mark(ctx, fence, meter.ClosedKey)
	if !ok {
		r.hold = r.clock.Boot() + r.settings.Grace
		return false
	}
	done, ok := r.mark(ctx, fence, meter.DoneKey)
	if !ok {
		return false
	}
	due := r.settings.Calendar.Window(r.clock.Now().Add(-r.settings.Grace)) - 1
	for closed.last < due && r.clock.Boot() >= r.hold {
		if closed, ok = r.advance(ctx, fence, closed); !ok {
			return false
		}
	}
	for done.last < closed.last {
		if !r.report(ctx, fence, done.last+1) {
			return false
		}
		if done, ok = r.advance(ctx, fence, done); !ok {
			return false
		}
	}
	return r.tidy(ctx, fence, done.last-r.settings.Retention)
}

// Watermarks returns the last window that is closed and the last one that is done.
func (r *Reporter) Watermarks(ctx context.Context) (closed, done meter.Window, ok bool) {
	c, ok := r.read(ctx, meter.ClosedKey)
	if !ok || c.changed == 0 {
		return 0, 0, false
	}
	d, ok := r.read(ctx, meter.DoneKey)
	return c.last, d.last, ok && d.changed != 0
}

// position is a stored mark with the revision of its last change.
type position struct {
	key     string
	last    meter.Window
	changed int64
}

func (r *Reporter) read(ctx context.Context, key string) (position, bool) {
	entry, out := r.store.Get(ctx, key)
	if out != storer.Applied || entry.Changed == 0 {
		return position{key: key}, out == storer.Applied
	}
	m, err := r.form.DecodeWatermark(entry.Value)
	return position{key: key, last: m.Last, changed: entry.Changed}, err == nil
}

// mark reads a mark. The first term of a deployment makes both: it closes the windows before the present one, and takes
// as done those before the first that has counts.
func (r *Reporter) mark(ctx context.Context, fence identifier.Fence, key string) (position, bool) {
	p, ok := r.read(ctx, key)
	if !ok || p.changed != 0 {
		return p, ok
	}
	first := r.settings.Calendar.Window(r.clock.Now())
	if key != meter.ClosedKey {
		if first, ok = r.first(ctx); !ok {
			return p, false
		}
	}
	// advance adds one to last; what is stored is the window before the first one.
	p.last = first - 2
	return r.advance(ctx, fence, p)
}

// first returns the first closed window with counts, or the one after the last closed window. The windows are closed, so
// the answer does not change.
func (r *Reporter) first(ctx context.Context) (meter.Window, bool) {
	closed, ok := r.read(ctx, meter.ClosedKey)
	if !ok || closed.changed == 0 {
		return 0, false
	}
	entries, out := r.store.List(ctx, meter.ValuePrefix)
	if out != storer.Applied {
		return 0, false
	}
	first := closed.last + 1
	for _, e := range entries {
		if e.Key == meter.ClosedKey || e.Key == meter.DoneKey || e.Key == meter.TidiedKey {
			continue
		}
		v, err := r.form.DecodeWindowUsage(e.Value)
		if err != nil {
			return 0, false
		}
		first = min(first, v.Window)
	}
	return first, true
}

// advance moves a mark by one window.
func (r *Reporter) advance(ctx context.Context, fence identifier.Fence, p position) (position, bool) {
	return r.write(ctx, fence, p, meter.Watermark{Last: p.last + 1, Fence: fence}, nil)
}

// valid returns the present term if it is still the one with the given number.
func (r *Reporter) valid(fence identifier.Fence) (leaser.Term, bool) {
	term, ok := r.terms.Term(Duty)
	return term, ok && term.Fence == fence
}

// report seals, sends and confirms the reports of a closed window.
func (r *Reporter) report(ctx context.Context, fence identifier.Fence, w meter.Window) bool {
	values, ok := Values(ctx, r.store, r.form, w)
	if !ok {
		return false
	}
	whole := true
	for _, team := range r.teams(values) {
		whole = r.deliver(ctx, fence, Compile(team, w, fence, values)) && whole
	}
	return whole
}

// Values returns the stored values of a window.
func Values(ctx context.Context, store meter.Store, form meter.Codec, w meter.Window) ([]meter.WindowUsage, bool) {
	entries, out := store.List(ctx, meter.Prefix(w))
	if out != storer.Applied {
		return nil, false
	}
	values := make([]meter.WindowUsage, 0, len(entries))
	for _, e := range entries {
		v, err := form.DecodeWindowUsage(e.Value)
		if err != nil {
			return nil, false
		}
		values = append(values, v)
	}
	return values, true
}

// teams returns the teams that get a report, in order.
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

// deliver leads one report to its confirmation. Whatever another holder has sealed or sent before is what counts.
func (r *Reporter) deliver(ctx context.Context, fence identifier.Fence, report Report) bool {
	key := Key(report.Team, report.Window)
	seal, entry, ok := r.seal(ctx, fence, key, report)
	if !ok {
		return false
	}
	if seal.Stage == Confirmed {
		return true
	}
	if seal.Stage == Sealed {
		if seal, entry, ok = r.step(ctx, fence, key, seal.WithStage(Sent, fence), entry); !ok {
			return false
		}
	}
	term, ok := r.valid(fence)
	if !ok || r.intake.Send(ctx, seal.Body, fence, term.ValidUntil) != Accepted {
		return false
	}
	_, _, ok = r.step(ctx, fence, key, seal.WithStage(Confirmed, fence), entry)
	return ok
}

// seal returns the stored seal of a report and stores one if there is none.
func (r *Reporter) seal(ctx context.Context, fence identifier.Fence, key string, report Report) (SealedReport, storer.Entry, bool) {
	entry, out := r.store.Get(ctx, key)
	if out != storer.Applied {
		return SealedReport{}, entry, false
	}
	if entry.Changed == 0 {
		first := SealedReport{Stage: Sealed, Fence: fence, Seq: 1, Body: r.form.EncodeReport(report)}
		return r.step(ctx, fence, key, first, entry)
	}
	seal, err := r.form.DecodeSealedReport(entry.Value)
	return seal, entry, err == nil
}

// step stores the next form of a seal in place of the one that entry holds.
func (r *Reporter) step(ctx context.Context, fence identifier.Fence, key string, next SealedReport, entry storer.Entry) (SealedReport, storer.Entry, bool) {
	if _, ok := r.valid(fence); !ok {
		return next, entry, false
	}
	data := r.form.EncodeSealedReport(next)
	out := r.store.Commit(ctx, storer.Transaction{}.WithGuard(key, entry.Changed).WithPut(key, data, 0))
	if out != storer.Applied {
		return next, entry, false
	}
	entry, out = r.store.Get(ctx, key)
	return next, entry, out == storer.Applied && string(entry.Value) == string(data)
}
