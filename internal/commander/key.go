package commander

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// keyRow is one row of the keys. It has no hash.
type keyRow struct {
	Name      identifier.Caller `json:"name"`
	Team      identifier.Team   `json:"team"`
	Withdrawn bool              `json:"withdrawn"`
}

// newKey is a new key as the server shows it once.
type newKey struct {
	Name     identifier.Caller   `json:"name"`
	Team     identifier.Team     `json:"team"`
	Key      string              `json:"key"`
	Revision identifier.Revision `json:"revision"`
}

// pathKeys is the route of the keys.
const pathKeys = "/v1/keys"

// keyVerbs are the commands for keys.
func keyVerbs(app *kingpin.Application) []verb {
	group := app.Command("key", "Keys of callers.")
	list := group.Command("list", "List the keys without their secrets.")
	create := group.Command("create", "Make a key and show it this one time.")
	createName := create.Arg("name", "Name of the key.").Required().String()
	team := create.Flag("team", "Team of the key.").Required().String()
	withdraw := group.Command("withdraw", "Withdraw a key for good.")
	withdrawName := withdraw.Arg("name", "Name of the key.").Required().String()
	return []verb{
		{clause: list, run: listKeys},
		{clause: create, run: func(ctx context.Context, c *client) (Listing, error) { return createKey(ctx, c, *createName, *team) }},
		{clause: withdraw, run: func(ctx context.Context, c *client) (Listing, error) {
			path := pathKeys + "/" + url.PathEscape(*withdrawName)
			r, err := c.send(ctx, http.MethodDelete, path, "", nil)
			if err != nil {
				return Listing{}, err
			}
			return r.changed(path)
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
	var made newKey
	if err := r.decode(pathKeys, &made); err != nil {
		return Listing{}, err
	}
	return NewListing([]newKey{made},
		Column[newKey]{columnName, func(k newKey) string { return string(k.Name) }},
		Column[newKey]{"team", func(k newKey) string { return string(k.Team) }},
		Column[newKey]{"key", func(k newKey) string { return k.Key }},
	).WithNotes("keep the key: it is not shown again").WithValue(made), nil
}
