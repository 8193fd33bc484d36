// Package reporter builds one usage report per team and closed window, stores it before the first send, and sends the
// stored bytes on every attempt.
package reporter

import (
	"strconv"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
)

// Report is the usage report of one team and window. It is immutable.
type Report struct {
	// ID identifies the report; it is the same each time the report is sent.
	ID     string
	Team   identifier.Team
	Window meter.Window
	// Fence is the number of the term that sealed the report.
	Fence identifier.Fence
	// Figures are the usage of the window itself.
	Figures meter.Figures
	// Corrections is the usage of earlier windows that was counted after they were closed.
	Corrections []Correction
}

// Correction is usage of an earlier window.
type Correction struct {
	Window  meter.Window
	Figures meter.Figures
}

// Total returns the sum of the figures and all corrections.
func (r Report) Total() meter.Figures {
	f := r.Figures
	for _, c := range r.Corrections {
		f = f.WithAdded(c.Figures)
	}
	return f
}

// NewReport returns the report of a team for the values of a closed window. It is deterministic.
func NewReport(team identifier.Team, w meter.Window, fence identifier.Fence, values []meter.WindowUsage) Report {
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

// Stage is the delivery stage of a report.
type Stage int

const (
	// Open means that the window accepts counts.
	Open Stage = iota
	// Sealed means that the figures are final and the report was never sent.
	Sealed
	// Sent means that the platform may have received the report.
	Sent
	// Confirmed means that the platform has accepted the report.
	Confirmed
)

// String returns the name of the stage.
func (s Stage) String() string {
	return [...]string{"open", "sealed", "sent", "confirmed"}[s]
}

// SealedReport is a report as stored before it is sent. It is immutable.
type SealedReport struct {
	Stage Stage
	// Fence and Seq make each stored value unique.
	Fence identifier.Fence
	Seq   int
	// Body holds the encoded report; every send uses these bytes.
	Body []byte
}

// WithStage returns a copy of s at a later stage, as written in the term with the given number.
func (s SealedReport) WithStage(stage Stage, fence identifier.Fence) SealedReport {
	if stage < s.Stage {
		panic("invariant one-report: a report can't go from " + s.Stage.String() + " to " + stage.String())
	}
	s.Stage, s.Fence = stage, fence
	s.Seq++
	return s
}

// Codec encodes and decodes reports for storage and for sending.
type Codec interface {
	meter.Codec
	EncodeReport(r Report) []byte
	DecodeReport(data []byte) (Report, error)
	EncodeSealedReport(s SealedReport) []byte
	DecodeSealedReport(data []byte) (SealedReport, error)
}

// Key returns the key of the sealed report of a team and window.
func Key(team identifier.Team, w meter.Window) string {
	return "/window/" + string(team) + "/" + strconv.FormatInt(int64(w), 10)
}
