package commander

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/configurator"
)

// presetRow is one row of the list of presets.
type presetRow struct {
	Name     configurator.Preset `json:"name"`
	Force    bool                `json:"force"`
	Training bool                `json:"training"`
	Rollouts float64             `json:"rollouts"`
	Spare    int                 `json:"spare"`
}

// presetCommands returns the commands for presets.
func presetCommands(app *kingpin.Application) []command {
	group := app.Command("preset", "Show or switch the preset, the set of rules that is in force.")
	show := group.Command("show", "Show the presets and which one is in force.")
	change := group.Command("switch", "Put another preset in force.")
	names := make([]string, 0, len(configurator.Presets()))
	for _, p := range configurator.Presets() {
		names = append(names, string(p))
	}
	name := change.Arg("preset", "Preset to put in force.").Required().HintOptions(names...).Enum(names...)
	return []command{
		{clause: show, run: showPresets},
		{clause: change, run: func(ctx context.Context, c *client) (Listing, error) { return switchPreset(ctx, c, *name) }},
	}
}

func showPresets(ctx context.Context, c *client) (Listing, error) {
	doc, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	var rows []presetRow
	for _, p := range configurator.Presets() {
		rule := doc.WithPreset(p).Rule()
		rows = append(rows, presetRow{
			Name: p, Force: p == doc.Preset(), Training: rule.Training, Rollouts: rule.Share(), Spare: rule.SpareZones,
		})
	}
	return NewListing(rows,
		Column[presetRow]{columnName, func(p presetRow) string { return string(p.Name) }},
		Column[presetRow]{"force", func(p presetRow) string { return strconv.FormatBool(p.Force) }},
		Column[presetRow]{"training", func(p presetRow) string { return strconv.FormatBool(p.Training) }},
		Column[presetRow]{"rollouts", func(p presetRow) string { return fmt.Sprint(p.Rollouts) }},
		Column[presetRow]{"spare", func(p presetRow) string { return strconv.Itoa(p.Spare) }},
	), nil
}

func switchPreset(ctx context.Context, c *client, name string) (Listing, error) {
	path := "/v1/preset/" + name
	r, err := c.send(ctx, http.MethodPut, path, "", nil)
	if err != nil {
		return Listing{}, err
	}
	return r.editListing(path)
}

// editListing returns the listing for an edit that the server itself applied to the current configuration.
func (r reply) editListing(path string) (Listing, error) {
	if r.status == http.StatusConflict {
		return Listing{}, &Failure{Code: Conflict, Text: "another edit came first; nothing was changed, try again"}
	}
	if r.status != http.StatusOK {
		return Listing{}, r.failure(path)
	}
	doc, err := r.document()
	if err != nil {
		return Listing{}, err
	}
	return newEditListing(doc, nil), nil
}
