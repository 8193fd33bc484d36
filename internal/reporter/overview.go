package reporter

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Row is one team in the overview of a window.
type Row struct {
	Team  identifier.Team
	Stage Stage
	// Counted are the sums of the meters, with corrections; Reported are the figures of the sealed report.
	Counted  meter.Figures
	Reported meter.Figures
}

// Reconciled reports whether the report says what the meters counted. It is false as long as there is no report.
func (r Row) Reconciled() bool { return r.Stage > Open && r.Counted == r.Reported }

// Overview returns how far each team's report of a window has come and compares it with the meters. A false second
// result means that the key-value service did not answer.
func (r *Reporter) Overview(ctx context.Context, w meter.Window) ([]Row, bool) {
	values, ok := Values(ctx, r.store, r.form, w)
	if !ok {
		return nil, false
	}
	var rows []Row
	for _, team := range r.teams(values) {
		row := Row{Team: team, Counted: Compile(team, w, 0, values).Total()}
		entry, out := r.store.Get(ctx, Key(team, w))
		if out != storer.Applied {
			return nil, false
		}
		if entry.Changed != 0 {
			seal, err := r.form.DecodeSealedReport(entry.Value)
			if err != nil {
				return nil, false
			}
			report, err := r.form.DecodeReport(seal.Body)
			if err != nil {
				return nil, false
			}
			row.Stage, row.Reported = seal.Stage, report.Total()
		}
		rows = append(rows, row)
	}
	return rows, true
}
