// Package bencher runs the benchmarks that the documents quote. It compares each figure with a baseline from the same run
// and with a target.
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
	// Baseline is the value that Value is compared with; zero means that there is none.
	Baseline float64 `json:"baseline,omitempty"`
	Target   Target  `json:"target,omitzero"`
}

// Target is the range that a figure must be in. The zero value has no bounds.
type Target struct {
	// Text is the target as the documents state it, such as "at most 1.5× baseline".
	Text string `json:"text"`
	// Relative means that the bounds apply to the ratio of the value to the baseline, not to the value.
	Relative bool `json:"ratio"`
	// Max and Min are the bounds; nil means no bound.
	Max *float64 `json:"most,omitempty"`
	Min *float64 `json:"least,omitempty"`
}

// AtMostRatio returns a target with an upper bound for the ratio to the baseline.
func AtMostRatio(ratio float64) Target {
	return Target{Text: fmt.Sprintf("at most %g× baseline", ratio), Relative: true, Max: &ratio}
}

// AtLeastRatio returns a target with a lower bound for the ratio to the baseline.
func AtLeastRatio(ratio float64) Target {
	return Target{Text: fmt.Sprintf("at least %g× baseline", ratio), Relative: true, Min: &ratio}
}

// AtMost returns a target with an upper bound for the value.
func AtMost(value float64) Target {
	return Target{Text: fmt.Sprintf("at most %g", value), Max: &value}
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
	if f.Target.Relative {
		v = f.Ratio()
	}
	return (f.Target.Max == nil || v <= *f.Target.Max) && (f.Target.Min == nil || v >= *f.Target.Min)
}

// Benchmark measures one or more related figures.
type Benchmark struct {
	Name string
	Run  func(ctx context.Context) ([]Figure, error)
}

// registered holds all benchmarks. It is written only during package initialisation.
var registered []Benchmark

// Register adds a benchmark. It returns true so that a package variable can be initialised with the call.
func Register(name string, run func(ctx context.Context) ([]Figure, error)) bool {
	registered = append(registered, Benchmark{Name: name, Run: run})
	return true
}

// Benchmarks returns the registered benchmarks sorted by name.
func Benchmarks() []Benchmark {
	return slices.SortedFunc(slices.Values(registered), func(a, b Benchmark) int { return cmp.Compare(a.Name, b.Name) })
}

// Run runs the benchmarks whose names match accepts, one after the other, and returns their figures. It stops at the first
// error and then returns the figures of the benchmarks before.
func Run(ctx context.Context, match func(name string) bool, progress io.Writer) ([]Figure, error) {
	var all []Figure
	for _, b := range Benchmarks() {
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

// WriteTable writes the figures as a text table.
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
