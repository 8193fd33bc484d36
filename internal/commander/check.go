package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/checker"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Values of the flag that selects whether a file is compared with the configuration in force.
const (
	compareAuto = "auto"
	compareYes  = "yes"
	compareNo   = "no"
)

// checkOptions are the flags and the argument of the command check.
type checkOptions struct {
	file     string
	compare  string
	warnings string
}

// Values of the flag that selects whether warnings count as findings for the exit code.
const (
	warningsCount  = "count"
	warningsIgnore = "show"
)

// checkCommands returns the command that checks a configuration file. Its exit codes are Done for a file without findings, Failed for one
// with findings, and BadInput if the check could not be made, whatever the reason.
func checkCommands(app *kingpin.Application) []command {
	o := &checkOptions{}
	clause := app.Command("check", "Check a configuration file and change nothing. Exit code 0: no findings, 1: findings, 2: not checked.")
	clause.Arg("file", "Configuration file in YAML or JSON.").Required().StringVar(&o.file)
	clause.Flag("compare", "Whether to compare the file with the configuration in force: yes, no, or auto if an entry answers.").
		Default(compareAuto).EnumVar(&o.compare, compareAuto, compareYes, compareNo)
	clause.Flag("warnings", "Whether warnings count for the exit code, or are only shown: count or show.").
		Default(warningsCount).EnumVar(&o.warnings, warningsCount, warningsIgnore)
	return []command{{clause: clause, run: o.run, failed: BadInput}}
}

// run checks the file.
func (o *checkOptions) run(ctx context.Context, c *client) (Listing, error) {
	data, err := os.ReadFile(o.file)
	if err != nil {
		return Listing{}, fmt.Errorf("read configuration: %w", err)
	}
	compared, review := o.compareInForce(ctx, c, codec.NewReview(o.file, data))
	_, complete := review.Document()
	return newCheckListing(o.file, complete, review.Findings(), compared).WithCode(o.code(review.Findings(), compared)), nil
}

// code returns the exit code for findings and a comparison.
func (o *checkOptions) code(findings []checker.Finding, r comparison) Code {
	if r.unanswered && o.compare == compareYes {
		return BadInput
	}
	return findingsCode(findings, o.warnings == warningsCount)
}

// findingsCode returns the exit code for findings; warnings count for it only if countWarnings is set.
func findingsCode(findings []checker.Finding, countWarnings bool) Code {
	if checker.Count(findings, checker.Error) > 0 || countWarnings && len(findings) > 0 {
		return Failed
	}
	return Done
}

// WriteFindings writes the findings of the check of a file as the command check does, and returns the exit code. format is table, json or
// yaml. complete is false if only the form of the file was checked.
func WriteFindings(out io.Writer, format, file string, complete bool, findings []checker.Finding) Code {
	listing := newCheckListing(file, complete, findings, comparison{Omitted: "the version in force is not read"})
	text, ok := outputFormats().Decide(outputRequest{format: format, listing: listing})
	if !ok {
		return BadInput
	}
	if _, err := out.Write(text); err != nil {
		return BadInput
	}
	return findingsCode(findings, true)
}

// compareInForce compares the document of a review with the configuration in force, and adds the findings that follow from that. Without
// an answer of an entry the comparison is omitted.
func (o *checkOptions) compareInForce(ctx context.Context, c *client, review codec.Review) (comparison, codec.Review) {
	edited, ok := review.Document()
	switch {
	case o.compare == compareNo:
		return comparison{Omitted: "not requested"}, review
	case !ok:
		return comparison{Omitted: "the file does not have the form of a configuration"}, review
	}
	current, err := c.current(ctx)
	if err != nil {
		return comparison{Omitted: err.Error(), unanswered: true}, review
	}
	return newComparison(current, edited), review.WithFindings(configurator.Transition(current, edited)...)
}

// comparison is the difference between the configuration in force and a file.
type comparison struct {
	// Omitted says why there is no comparison; it is empty if there is one.
	Omitted  string              `json:"omitted,omitempty"`
	Revision identifier.Revision `json:"revision"`
	Changes  []changeRow         `json:"changes"`
	lines    []string
	// unanswered is set if the comparison is omitted because no entry answered with its configuration.
	unanswered bool
}

// changeRow is one difference; an empty value means that the field is missing.
type changeRow struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// newComparison compares current with the document that edited would become.
func newComparison(current, edited configurator.Document) comparison {
	changes := configurator.Diff(current, edited.Onto(current))
	r := comparison{Revision: current.Revision(), Changes: make([]changeRow, 0, len(changes)), lines: diffLines(changes)}
	for _, c := range changes {
		r.Changes = append(r.Changes, changeRow(c))
	}
	return r
}

// notes returns the comparison as lines of text.
func (r comparison) notes() []string {
	switch {
	case r.Omitted != "":
		return []string{"not compared with the configuration in force: " + r.Omitted}
	case len(r.lines) == 0:
		return []string{fmt.Sprintf("no changes from revision %d, which is in force", r.Revision)}
	default:
		return append([]string{fmt.Sprintf("changes from revision %d, which is in force:", r.Revision)}, r.lines...)
	}
}

// checkResult is the JSON and YAML output of check.
type checkResult struct {
	File string `json:"file"`
	// Complete is false if the file does not have the form of a configuration, so that only its form was checked.
	Complete   bool         `json:"complete"`
	Errors     int          `json:"errors"`
	Warnings   int          `json:"warnings"`
	Findings   []findingRow `json:"findings"`
	Comparison comparison   `json:"comparison"`
}

// findingRow is a finding in JSON and YAML.
type findingRow struct {
	Severity string    `json:"severity"`
	Kind     string    `json:"kind"`
	Line     int       `json:"line"`
	Path     string    `json:"path"`
	Message  string    `json:"message"`
	Other    *placeRow `json:"other,omitempty"`
}

// placeRow is the place that a finding refers to.
type placeRow struct {
	Line int    `json:"line"`
	Path string `json:"path"`
}

// newCheckListing returns the listing of a check: a line for each finding, the comparison, and the counts.
func newCheckListing(file string, complete bool, findings []checker.Finding, r comparison) Listing {
	result := checkResult{
		File: file, Complete: complete, Errors: checker.Count(findings, checker.Error), Warnings: checker.Count(findings, checker.Warning),
		Findings: make([]findingRow, 0, len(findings)), Comparison: r,
	}
	if r.Changes == nil {
		result.Comparison.Changes = []changeRow{}
	}
	l := Listing{}
	for _, f := range findings {
		result.Findings = append(result.Findings, newFindingRow(f))
		l = l.WithNotes(findingLine(file, f))
	}
	if !complete {
		l = l.WithNotes("only the form of the file was checked: correct it to have the rest checked")
	}
	return l.WithNotes(r.notes()...).
		WithNotes(fmt.Sprintf("%s: errors %d, warnings %d", file, result.Errors, result.Warnings)).
		WithValue(result)
}

func newFindingRow(f checker.Finding) findingRow {
	row := findingRow{Severity: f.Severity.String(), Kind: f.Kind.String(), Line: f.Place.Line, Path: f.Place.Path, Message: f.Message}
	if f.Other.Path != "" {
		row.Other = &placeRow{Line: f.Other.Line, Path: f.Other.Path}
	}
	return row
}

// findingLine returns a finding as file, line, severity, path and message, in the form that editors and scripts read.
func findingLine(file string, f checker.Finding) string {
	text := fmt.Sprintf("%s:%d: %s: %s: %s", file, f.Place.Line, f.Severity, f.Place.Path, f.Message)
	if f.Other.Path != "" {
		text += fmt.Sprintf(" (see line %d, %s)", f.Other.Line, f.Other.Path)
	}
	return text
}
