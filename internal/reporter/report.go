// Package reporter turns the counts of closed windows into one usage report per team and window, and sends each with
// frozen figures.
package reporter

import (
	"strconv"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
)

// Report is what is sent about one team and window. It is immutable.
type Report struct {
	// ID identifies the report; it is the same however often the report is sent.
	ID     string
	Team   identifier.Team
	Window meter.Window
	// Fence is the number of the term that sealed the report.
	Fence identifier.Fence
	// Figures are the usage of the window itself.
	Figures meter.Figures
	// Corrections are usage of earlier windows that arrived after those were closed.
	Corrections []Correction
}

// Correction is usage of an earlier window.
type Correction struct {
	Window  meter.Window
	Figures meter.Figures
}

// Total returns the figures with all corrections.
func (r Report) Total() meter.Figures {
	f := r.Figures
	for _, c := range r.Corrections {
		f = f.WithAdded(c.Figures)
	}
	return f
}

// Compile returns the report of a team from the values of a closed window. The same values give the same report.
func Compile(team identifier.Team, w meter.Window, fence identifier.Fence, values []meter.WindowUsage) Report {
	r := Report{ID: "usage-" + string(team) + "-" + strconv.FormatInt(int64(w), 10), Team: team, Window: w, Fence: fence}
	late := make(map[meter.Window]meter.Figures)
	var lines []meter.Line
	for _, v := range values {
		for _, line := range v.Lines {
			switch {
			case line.Team != team:
			case line.Origin == w:
				r.Figures = r.Figures.WithAdded(line.Figures)
			default:
				if _, ok := late[line.Origin]; !ok {
					lines = append(lines, line)
				}
				late[line.Origin] = late[line.Origin].WithAdded(line.Figures)
			}
		}
	}
	meter.SortLines(lines)
	for _, line := range lines {
		r.Corrections = append(r.Corrections, Correction{Window: line.Origin, Figures: late[line.Origin]})
	}
	return r
}

// Stage is how far a report has come.
type Stage int

const (
	// Open means that the window takes counts.
	Open Stage = iota
	// Sealed means that the figures are frozen and the report was never sent.
	Sealed
	// Sent means that the report may have arrived.
	Sent
	// Confirmed means that the platform has the report.
	Confirmed
)

// String returns the name of the stage.
func (s Stage) String() string {
	return [...]string{"open", "sealed", "sent", "confirmed"}[s]
}

// SealedReport is a report as it is stored before it is sent. It is immutable.
type SealedReport struct {
	Stage Stage
	// Fence and Seq make each stored form unlike any other.
	Fence identifier.Fence
	Seq   int
	// Body holds the bytes that are sent, each time the same.
	Body []byte
}

// WithStage returns a copy of s at a later stage, as written in the term with the given number.
func (s SealedReport) WithStage(stage Stage, fence identifier.Fence) SealedReport {
	if stage < s.Stage {
		panic("invariant one-report: a report goes from sealed to sent to confirmed")
	}
	s.Stage, s.Fence = stage, fence
	s.Seq++
	return s
}

// Form is the stored and sent form of reports.
type Form interface {
	meter.Codec
	EncodeReport(r Report) []byte
	DecodeReport(data []byte) (Report, error)
	EncodeSealedReport(s SealedReport) []byte
	DecodeSealedReport(data []byte) (SealedReport, error)
}

// Key returns the key of the seal of a team and window.
func Key(team identifier.Team, w meter.Window) string {
	return "/window/" + string(team) + "/" + strconv.FormatInt(int64(w), 10)
}
