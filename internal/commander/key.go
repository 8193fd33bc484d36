package commander

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// keyRow is one row of the list of keys. It leaves out the hash.
type keyRow struct {
	Name      identifier.Caller `json:"name"`
	Team      identifier.Team   `json:"team"`
	Withdrawn bool              `json:"withdrawn"`
}

// createdKey is the server's reply to the creation of a key, the only one with the key itself.
type createdKey struct {
	Name     identifier.Caller   `json:"name"`
	Team     identifier.Team     `json:"team"`
	Key      string              `json:"key"`
	Revision identifier.Revision `json:"revision"`
}

// pathKeys is the route of the keys.
const pathKeys = "/v1/keys"

// keyCommands returns the commands for keys.
func keyCommands(app *kingpin.Application) []command {
	group := app.Command("key", "Manage the keys of callers.")
	list := group.Command("list", "List the keys without their secrets.")
	create := group.Command("create", "Create a key and show it. It can't be shown again.")
	createName := create.Arg("name", "Name of the key.").Required().String()
	team := create.Flag("team", "Team of the key.").Required().String()
	withdraw := group.Command("withdraw", "Withdraw a key permanently.")
	withdrawName := withdraw.Arg("name", "Name of the key.").Required().String()
	return []command{
		{clause: list, run: listKeys},
		{clause: create, run: func(ctx context.Context, c *client) (Listing, error) { return createKey(ctx, c, *createName, *team) }},
		{clause: withdraw, run: func(ctx context.Context, c *client) (Listing, error) {
			path := pathKeys + "/" + url.PathEscape(*withdrawName)
			r, err := c.send(ctx, http.MethodDelete, path, "", nil)
			if err != nil {
				return Listing{}, err
			}
			return r.editListing(path)
		}},
	}
}

func listKeys(ctx context.Context, c *client) (Listing, error) {
	doc, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	var rows []keyRow
	for _, k := range doc.Keys() {
		rows = append(rows, keyRow{Name: k.Caller, Team: k.Team, Withdrawn: k.Withdrawn})
	}
	return NewListing(rows,
		Column[keyRow]{columnName, func(k keyRow) string { return string(k.Name) }},
		Column[keyRow]{"team", func(k keyRow) string { return string(k.Team) }},
		Column[keyRow]{"withdrawn", func(k keyRow) string { return strconv.FormatBool(k.Withdrawn) }},
	), nil
}

func createKey(ctx context.Context, c *client, name, team string) (Listing, error) {
	r, err := c.send(ctx, http.MethodPost, pathKeys, "", map[string]string{"name": name, "team": team})
	if err != nil {
		return Listing{}, err
	}
	if r.status != http.StatusCreated {
		return Listing{}, r.failure(pathKeys)
	}
	var created createdKey
	if err := r.decode(pathKeys, &created); err != nil {
		return Listing{}, err
	}
	return NewListing([]createdKey{created},
		Column[createdKey]{columnName, func(k createdKey) string { return string(k.Name) }},
		Column[createdKey]{"team", func(k createdKey) string { return string(k.Team) }},
		Column[createdKey]{"key", func(k createdKey) string { return k.Key }},
	).WithNotes("save the key now: it can't be shown again").WithValue(created), nil
}
