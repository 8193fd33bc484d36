package reporter

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Row is the row of one team in the overview of a window.
type Row struct {
	Team  identifier.Team
	Stage Stage
	// Counted is the sum over all meters, with corrections; Reported is the total of the sealed report.
	Counted  meter.Figures
	Reported meter.Figures
}

// Reconciled reports whether the sealed report equals the sum over the meters. It is false while there is no report.
func (r Row) Reconciled() bool { return r.Stage > Open && r.Counted == r.Reported }

// Overview returns the stage of each team's report of a window, with its figures and those of the meters. A false
// second result means that the key-value service did not respond or that a stored value could not be decoded.
func (r *Reporter) Overview(ctx context.Context, w meter.Window) ([]Row, bool) {
	values, ok := ReadWindow(ctx, r.store, r.codec, w)
	if !ok {
		return nil, false
	}
	var rows []Row
	for _, team := range r.teams(values) {
		row := Row{Team: team, Counted: NewReport(team, w, 0, values).Total()}
		entry, out := r.store.Get(ctx, Key(team, w))
		if out != storer.Applied {
			return nil, false
		}
		if entry.Changed != 0 {
			sealed, err := r.codec.DecodeSealedReport(entry.Value)
			if err != nil {
				return nil, false
			}
			report, err := r.codec.DecodeReport(sealed.Body)
			if err != nil {
				return nil, false
			}
			row.Stage, row.Reported = sealed.Stage, report.Total()
		}
		rows = append(rows, row)
	}
	return rows, true
}
