package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"
)

// targetCommands returns the commands for targets and usage. They show all fields of the objects that the server sends.
func targetCommands(app *kingpin.Application) []command {
	group := app.Command("target", "Show and drain targets: model engines and plain services.")
	list := group.Command("list", "List the targets.")
	drain := group.Command("drain", "Drain a target: it gets no new work and finishes its running work.")
	name := drain.Arg("target", "Name of the target.").Required().String()
	plan := group.Command("plan", "Show which targets are to be started and stopped, and why.")
	usage := app.Command("usage", "Show the usage of each team and window.")
	return []command{
		{clause: list, run: listObjects("/v1/targets")},
		{clause: plan, run: listObjects("/v1/targets/plan")},
		{clause: usage, run: listObjects("/v1/usage")},
		{clause: drain, run: func(ctx context.Context, c *client) (Listing, error) { return drainTarget(ctx, c, *name) }},
	}
}

// listObjects returns a function that lists the JSON array of objects at path.
func listObjects(path string) func(context.Context, *client) (Listing, error) {
	return func(ctx context.Context, c *client) (Listing, error) {
		var rows []map[string]any
		if err := c.get(ctx, path, &rows); err != nil {
			return Listing{}, err
		}
		return NewObjectListing(rows), nil
	}
}

func drainTarget(ctx context.Context, c *client, name string) (Listing, error) {
	path := "/v1/targets/" + url.PathEscape(name) + "/drain"
	r, err := c.send(ctx, http.MethodPost, path, "", nil)
	if err != nil {
		return Listing{}, err
	}
	if r.status != http.StatusOK && r.status != http.StatusAccepted && r.status != http.StatusNoContent {
		return Listing{}, r.failure(path)
	}
	var value any
	if json.Unmarshal(r.body, &value) != nil || value == nil {
		value = map[string]string{"target": name}
	}
	return Listing{}.WithNotes(fmt.Sprintf("target %s is draining", name)).WithValue(value), nil
}
