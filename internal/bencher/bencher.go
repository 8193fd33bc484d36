// Package bencher runs the benchmarks that the documents quote and compares each figure with its baseline of the same
// run and with its target.
package bencher

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Figure is one measured value.
type Figure struct {
	// Name is unique among all figures, such as route/choice-2700.
	Name string `json:"name"`
	// Unit is the unit of Value and Baseline, such as ns or bytes/s.
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	// Baseline is what Value is compared with; zero when there is no comparison.
	Baseline float64 `json:"baseline,omitempty"`
	Target   Target  `json:"target,omitzero"`
}

// Target bounds a figure. The zero value is no bound.
type Target struct {
	// Text is the bound as the documents state it, such as "at most 1.5× baseline".
	Text string `json:"text"`
	// Ratio tells whether the bound is for the ratio to the baseline or for the value itself.
	Ratio bool `json:"ratio"`
	// Most and Least are the bounds; nil is none.
	Most  *float64 `json:"most,omitempty"`
	Least *float64 `json:"least,omitempty"`
}

// AtMostTimes bounds the ratio to the baseline from above.
func AtMostTimes(ratio float64) Target {
	return Target{Text: fmt.Sprintf("at most %g× baseline", ratio), Ratio: true, Most: &ratio}
}

// AtLeastTimes bounds the ratio to the baseline from below.
func AtLeastTimes(ratio float64) Target {
	return Target{Text: fmt.Sprintf("at least %g× baseline", ratio), Ratio: true, Least: &ratio}
}

// AtMost bounds the value from above.
func AtMost(value float64) Target {
	return Target{Text: fmt.Sprintf("at most %g", value), Most: &value}
}

// Ratio returns the value divided by the baseline; zero without a baseline.
func (f Figure) Ratio() float64 {
	if f.Baseline == 0 {
		return 0
	}
	return f.Value / f.Baseline
}

// Met reports whether the figure is within its target.
func (f Figure) Met() bool {
	v := f.Value
	if f.Target.Ratio {
		v = f.Ratio()
	}
	return (f.Target.Most == nil || v <= *f.Target.Most) && (f.Target.Least == nil || v >= *f.Target.Least)
}

// Bench measures related figures in one go.
type Bench struct {
	Name string
	Run  func(ctx context.Context) ([]Figure, error)
}

// benches holds the registered benchmarks. It is written only while the program initialises.
var benches []Bench

// Register adds a benchmark. Each file of this package registers its own when the program starts.
func Register(name string, run func(ctx context.Context) ([]Figure, error)) bool {
	benches = append(benches, Bench{Name: name, Run: run})
	return true
}

// Benches returns the registered benchmarks in order of their names.
func Benches() []Bench {
	return slices.SortedFunc(slices.Values(benches), func(a, b Bench) int { return cmp.Compare(a.Name, b.Name) })
}

// Run runs the benchmarks whose name match accepts and returns their figures.
func Run(ctx context.Context, match func(name string) bool, progress io.Writer) ([]Figure, error) {
	var all []Figure
	for _, b := range Benches() {
		if !match(b.Name) {
			continue
		}
		_, _ = fmt.Fprintf(progress, "running %s\n", b.Name)
		figures, err := b.Run(ctx)
		if err != nil {
			return all, fmt.Errorf("benchmark %s: %w", b.Name, err)
		}
		all = append(all, figures...)
	}
	return all, nil
}

// WriteTable writes the figures as a table.
func WriteTable(w io.Writer, figures []Figure) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "FIGURE\tVALUE\tUNIT\tBASELINE\tRATIO\tTARGET\tMET")
	for _, f := range figures {
		baseline, ratio, met := "-", "-", "-"
		if f.Baseline != 0 {
			baseline, ratio = fmt.Sprintf("%.4g", f.Baseline), fmt.Sprintf("%.3f", f.Ratio())
		}
		if f.Target.Text != "" {
			met = map[bool]string{true: "yes", false: "NO"}[f.Met()]
		}
		_, _ = fmt.Fprintf(table, "%s\t%.4g\t%s\t%s\t%s\t%s\t%s\n", f.Name, f.Value, f.Unit, baseline, ratio, f.Target.Text, met)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// WriteJSON writes the figures as a JSON array.
func WriteJSON(w io.Writer, figures []Figure) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(figures); err != nil {
		return fmt.Errorf("write figures: %w", err)
	}
	return nil
}
