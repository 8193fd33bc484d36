package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
)

// documentCommands returns the commands for the configuration as a whole.
func documentCommands(app *kingpin.Application) []command {
	apply := app.Command("apply", "Replace the configuration by that of a file.")
	file := apply.Flag("file", "Configuration file in YAML or JSON.").Short('f').Required().String()
	dry := apply.Flag("dry-run", "Show the changes without applying them.").Bool()
	get := app.Command("get", "Show the configuration in force.")
	return []command{
		{clause: apply, run: func(ctx context.Context, c *client) (Listing, error) { return applyFile(ctx, c, *file, *dry) }},
		{clause: get, run: getDocument},
	}
}

// applyFile replaces the configuration by that of a file. A file without keys leaves the keys as they are, so that a file
// under version control need not hold their hashes. A file with a revision is refused unless that is the current one.
func applyFile(ctx context.Context, c *client, file string, dryRun bool) (Listing, error) {
	edited, err := readDocument(file)
	if err != nil {
		return Listing{}, err
	}
	current, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	base := current.Revision()
	edited = edited.Onto(current)
	if problems := edited.Check(); len(problems) > 0 {
		return Listing{}, &Failure{Code: BadInput, Text: fmt.Sprintf("%s: invalid with the current keys: %v", file, problems[0])}
	}
	if r := edited.Revision(); r > 0 && r != base {
		lines := append([]string{
			fmt.Sprintf("another edit came first: %s is based on revision %d, revision %d is in force", file, r, base),
			"changes from the file to the configuration in force:",
		}, diffLines(configurator.Diff(edited, current))...)
		return Listing{}, &Failure{Code: Conflict, Text: strings.Join(lines, "\n")}
	}
	if dryRun {
		lines := diffLines(configurator.Diff(current, edited))
		return Listing{}.
			WithNotes(lines...).
			WithNotes(fmt.Sprintf("dry run: changes %d, revision %d stays in force", len(lines), base)).
			WithValue(editResult{Revision: base, Preset: current.Preset(), Changes: lines}), nil
	}
	return c.replace(ctx, current, edited, base)
}

// readDocument reads and checks a configuration file.
func readDocument(file string) (configurator.Document, error) {
	doc, problems, err := codec.Load(file)
	if err != nil {
		return doc, &Failure{Code: BadInput, Text: fmt.Sprintf("--file: %v", err)}
	}
	if len(problems) > 0 {
		lines := make([]string, 0, len(problems))
		for _, p := range problems {
			lines = append(lines, p.String())
		}
		return doc, &Failure{Code: BadInput, Text: strings.Join(lines, "\n")}
	}
	return doc, nil
}

// getDocument lists all fields of the current configuration.
func getDocument(ctx context.Context, c *client) (Listing, error) {
	doc, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	var lines []string
	for _, change := range configurator.Diff(configurator.Document{}.WithPreset(noPreset), doc) {
		lines = append(lines, change.Field+": "+change.After)
	}
	return Listing{}.
		WithNotes(fmt.Sprintf("revision: %d", doc.Revision())).
		WithNotes(lines...).
		WithValue(codec.FromDocument(doc)), nil
}

// noPreset differs from every valid preset, so that the difference to an empty document includes the preset.
const noPreset configurator.Preset = "none"
