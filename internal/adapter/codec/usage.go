package codec

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/reporter"
)

// Figures is the JSON form of meter.Figures.
type Figures struct {
	Requests int64             `json:"requests,omitempty"`
	Input    identifier.Tokens `json:"input,omitempty"`
	Cached   identifier.Tokens `json:"cached,omitempty"`
	Output   identifier.Tokens `json:"output,omitempty"`
	// Busy is the time that targets spent, in nanoseconds.
	Busy time.Duration `json:"busy,omitempty"`
	// Cross counts the bytes that were sent from one region to another.
	Cross identifier.Bytes `json:"cross,omitempty"`
}

// Correction holds usage of an earlier window that was not in the report of that window.
type Correction struct {
	Window  meter.Window `json:"window"`
	Figures Figures      `json:"figures"`
}

// ReportFigures holds the figures of a report and its corrections.
type ReportFigures struct {
	Figures

	Corrections []Correction `json:"corrections,omitempty"`
}

// Report is the JSON form of a usage report.
type Report struct {
	ID      string           `json:"id"`
	Team    identifier.Team  `json:"team"`
	Window  meter.Window     `json:"window"`
	Fence   identifier.Fence `json:"fence"`
	Figures ReportFigures    `json:"figures"`
}

type usageLine struct {
	Team    identifier.Team `json:"team"`
	Origin  meter.Window    `json:"origin"`
	Figures Figures         `json:"figures"`
}

type usageValue struct {
	Node     identifier.Node      `json:"node"`
	Window   meter.Window         `json:"window"`
	Seq      uint64               `json:"seq"`
	Lines    []usageLine          `json:"lines"`
	Requests []identifier.Request `json:"requests,omitempty"`
}

// Usage encodes and decodes the stored and sent forms of usage.
type Usage struct{}

// EncodeWindowUsage returns the JSON form of a node's usage in a window.
func (Usage) EncodeWindowUsage(v meter.WindowUsage) []byte {
	f := usageValue{Node: v.Node, Window: v.Window, Seq: v.Seq, Requests: v.Requests}
	for _, line := range v.Lines {
		f.Lines = append(f.Lines, usageLine{Team: line.Team, Origin: line.Origin, Figures: Figures(line.Figures)})
	}
	return encodeJSON(f)
}

// DecodeWindowUsage reads the JSON form of a node's usage in a window.
func (Usage) DecodeWindowUsage(data []byte) (meter.WindowUsage, error) {
	f, err := decodeJSON[usageValue](data)
	v := meter.WindowUsage{Node: f.Node, Window: f.Window, Seq: f.Seq, Requests: f.Requests}
	for _, line := range f.Lines {
		v.Lines = append(v.Lines, meter.Line{Team: line.Team, Origin: line.Origin, Figures: meter.Figures(line.Figures)})
	}
	return v, err
}

// EncodeWatermark returns the JSON form of a watermark.
func (Usage) EncodeWatermark(m meter.Watermark) []byte { return encodeJSON(m) }

// DecodeWatermark reads the JSON form of a watermark.
func (Usage) DecodeWatermark(data []byte) (meter.Watermark, error) {
	return decodeJSON[meter.Watermark](data)
}

// EncodeReport returns the JSON form of a report.
func (Usage) EncodeReport(r reporter.Report) []byte { return encodeJSON(FromReport(r)) }

// FromReport converts a report to its JSON form.
func FromReport(r reporter.Report) Report {
	f := Report{ID: r.ID, Team: r.Team, Window: r.Window, Fence: r.Fence, Figures: ReportFigures{Figures: Figures(r.Figures)}}
	for _, c := range r.Corrections {
		f.Figures.Corrections = append(f.Figures.Corrections, Correction{Window: c.Window, Figures: Figures(c.Figures)})
	}
	return f
}

// DecodeReport reads the JSON form of a report.
func (Usage) DecodeReport(data []byte) (reporter.Report, error) {
	f, err := decodeJSON[Report](data)
	r := reporter.Report{ID: f.ID, Team: f.Team, Window: f.Window, Fence: f.Fence, Figures: meter.Figures(f.Figures.Figures)}
	for _, c := range f.Figures.Corrections {
		r.Corrections = append(r.Corrections, reporter.Correction{Window: c.Window, Figures: meter.Figures(c.Figures)})
	}
	return r, err
}

// EncodeSealedReport returns the JSON form of a sealed report.
func (Usage) EncodeSealedReport(s reporter.SealedReport) []byte { return encodeJSON(s) }

// DecodeSealedReport reads the JSON form of a sealed report.
func (Usage) DecodeSealedReport(data []byte) (reporter.SealedReport, error) {
	return decodeJSON[reporter.SealedReport](data)
}

func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("invariant stored-form: every stored value can be encoded: " + err.Error())
	}
	return data
}

func decodeJSON[T any](data []byte) (T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("decode %T: %w", v, err)
	}
	return v, nil
}
