package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
)

// documentVerbs are the commands for the whole configuration.
func documentVerbs(app *kingpin.Application) []verb {
	apply := app.Command("apply", "Put a configuration file in force.")
	file := apply.Flag("file", "Configuration file in YAML or JSON.").Short('f').Required().String()
	dry := apply.Flag("dry-run", "Show what would change and change nothing.").Bool()
	get := app.Command("get", "Show the configuration in force.")
	return []verb{
		{clause: apply, run: func(ctx context.Context, c *client) (Listing, error) { return applyFile(ctx, c, *file, *dry) }},
		{clause: get, run: getDocument},
	}
}

// applyFile puts a file in force. A file without keys leaves the keys as they are, so that a file under version
// control need not hold their hashes. A file with a revision is refused when a later one is in force.
func applyFile(ctx context.Context, c *client, file string, dry bool) (Listing, error) {
	edited, err := readDocument(file)
	if err != nil {
		return Listing{}, err
	}
	seen, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	base := seen.Revision()
	if len(edited.Keys()) == 0 {
		edited = edited.WithKeys(seen.Keys()...)
	}
	if faults := edited.Check(); len(faults) > 0 {
		return Listing{}, &Failure{Code: BadInput, Text: fmt.Sprintf("%s: with the keys in force: %v", file, faults[0])}
	}
	if r := edited.Revision(); r > 0 && r != base {
		lines := append([]string{
			fmt.Sprintf("another edit came first: %s was made from revision %d, revision %d is in force", file, r, base),
			"the difference from the file to what is in force:",
		}, diffLines(configurator.Diff(edited, seen))...)
		return Listing{}, &Failure{Code: Conflict, Text: strings.Join(lines, "\n")}
	}
	if dry {
		lines := diffLines(configurator.Diff(seen, edited))
		return Listing{}.
			WithNotes(lines...).
			WithNotes(fmt.Sprintf("dry run: changes %d, revision %d stays in force", len(lines), base)).
			WithValue(outcome{Revision: base, Preset: seen.Preset(), Changes: lines}), nil
	}
	return c.store(ctx, seen, edited, base)
}

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

// noPreset differs from every preset, so that a comparison with it names the preset.
const noPreset configurator.Preset = "none"
