package commander

import (
	"context"
	"net/http"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// status is the state of one entry as the status command shows it.
type status struct {
	Address  string              `json:"address"`
	Ready    bool                `json:"ready"`
	Revision identifier.Revision `json:"revision"`
	Preset   configurator.Preset `json:"preset"`
	Teams    int                 `json:"teams"`
	Keys     int                 `json:"keys"`
	Services int                 `json:"services"`
}

// statusCommands returns the command for the state of an entry.
func statusCommands(app *kingpin.Application) []command {
	return []command{{clause: app.Command("status", "Show the state of the entry."), run: showStatus}}
}

func showStatus(ctx context.Context, c *client) (Listing, error) {
	ready, err := c.send(ctx, http.MethodGet, "/readyz", "", nil)
	if err != nil {
		return Listing{}, err
	}
	doc, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	s := status{
		Address: c.address, Ready: ready.status == http.StatusOK, Revision: doc.Revision(), Preset: doc.Preset(),
		Teams: len(doc.Teams()), Keys: len(doc.Keys()), Services: len(doc.Services()),
	}
	return NewListing([]status{s},
		Column[status]{"address", func(s status) string { return s.Address }},
		Column[status]{"ready", func(s status) string { return strconv.FormatBool(s.Ready) }},
		Column[status]{"revision", func(s status) string { return strconv.FormatUint(uint64(s.Revision), 10) }},
		Column[status]{"preset", func(s status) string { return string(s.Preset) }},
		Column[status]{"teams", func(s status) string { return strconv.Itoa(s.Teams) }},
		Column[status]{"keys", func(s status) string { return strconv.Itoa(s.Keys) }},
		Column[status]{"services", func(s status) string { return strconv.Itoa(s.Services) }},
	).WithValue(s), nil
}
