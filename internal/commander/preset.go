package commander

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/configurator"
)

// preset is one row of the presets.
type preset struct {
	Name     configurator.Preset `json:"name"`
	Force    bool                `json:"force"`
	Training bool                `json:"training"`
	Rollouts float64             `json:"rollouts"`
	Spare    int                 `json:"spare"`
}

// presetVerbs are the commands for presets.
func presetVerbs(app *kingpin.Application) []verb {
	group := app.Command("preset", "Presets: sets of rules of which one is in force.")
	show := group.Command("show", "Show the presets and which one is in force.")
	change := group.Command("switch", "Put another preset in force.")
	names := make([]string, 0, len(configurator.Presets()))
	for _, p := range configurator.Presets() {
		names = append(names, string(p))
	}
	name := change.Arg("preset", "Preset to put in force.").Required().HintOptions(names...).Enum(names...)
	return []verb{
		{clause: show, run: showPresets},
		{clause: change, run: func(ctx context.Context, c *client) (Listing, error) { return switchPreset(ctx, c, *name) }},
	}
}

func showPresets(ctx context.Context, c *client) (Listing, error) {
	doc, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	var rows []preset
	for _, p := range configurator.Presets() {
		rule := doc.WithPreset(p).Rule()
		rows = append(rows, preset{
			Name: p, Force: p == doc.Preset(), Training: rule.Training, Rollouts: rule.Share(), Spare: rule.SpareZones,
		})
	}
	return NewListing(rows,
		Column[preset]{columnName, func(p preset) string { return string(p.Name) }},
		Column[preset]{"force", func(p preset) string { return strconv.FormatBool(p.Force) }},
		Column[preset]{"training", func(p preset) string { return strconv.FormatBool(p.Training) }},
		Column[preset]{"rollouts", func(p preset) string { return fmt.Sprint(p.Rollouts) }},
		Column[preset]{"spare", func(p preset) string { return strconv.Itoa(p.Spare) }},
	), nil
}

func switchPreset(ctx context.Context, c *client, name string) (Listing, error) {
	path := "/v1/preset/" + name
	r, err := c.send(ctx, http.MethodPut, path, "", nil)
	if err != nil {
		return Listing{}, err
	}
	return r.changed(path)
}

// changed is the result of a change that the server made by itself.
func (r reply) changed(path string) (Listing, error) {
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
	return accepted(doc, nil), nil
}
