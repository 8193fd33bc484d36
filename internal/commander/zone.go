package commander

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
)

// zoneCommands returns the commands for availability zones.
func zoneCommands(app *kingpin.Application) []command {
	group := app.Command("zone", "Show, evacuate and take back availability zones.")
	list := group.Command("list", "List the zones.")
	show := group.Command("status", "Show the state of a zone.")
	shown := show.Arg("zone", "Name of the zone.").Required().String()
	change := func(name, help, method string) command {
		clause := group.Command(name, help)
		zone := clause.Arg("zone", "Name of the zone.").Required().String()
		base := clause.Flag("base", "Revision that must be in force; any if left out.").String()
		return command{clause: clause, run: func(ctx context.Context, c *client) (Listing, error) {
			return changeZone(ctx, c, method, *zone, *base)
		}}
	}
	return []command{
		{clause: list, run: listZones},
		{clause: show, run: func(ctx context.Context, c *client) (Listing, error) {
			return changeZone(ctx, c, http.MethodGet, *shown, "")
		}},
		change("evacuate", "Send nothing more to the targets of a zone. What runs there goes on to its end.", http.MethodPut),
		change("take-back", "Use the targets of an evacuated zone again.", http.MethodDelete),
	}
}

func listZones(ctx context.Context, c *client) (Listing, error) {
	var zones []httpserver.ZoneState
	if err := c.get(ctx, "/v1/zones", &zones); err != nil {
		return Listing{}, err
	}
	return newZoneListing(zones), nil
}

// changeZone sends a request for the evacuation of a zone and lists the state of the zone after it. base is the revision that must be in
// force; any if it is empty.
func changeZone(ctx context.Context, c *client, method, zone, base string) (Listing, error) {
	path := "/v1/zones/" + url.PathEscape(zone) + "/evacuation"
	r, err := c.send(ctx, method, path, base, nil)
	if err != nil {
		return Listing{}, err
	}
	if r.status != http.StatusOK {
		return Listing{}, r.failure(path)
	}
	var state httpserver.ZoneState
	if err := r.decode(path, &state); err != nil {
		return Listing{}, err
	}
	return newZoneListing([]httpserver.ZoneState{state}).WithValue(state), nil
}

// newZoneListing returns a listing of zones. A note names the services that have no target left.
func newZoneListing(zones []httpserver.ZoneState) Listing {
	type row = httpserver.ZoneState
	l := NewListing(zones,
		Column[row]{"zone", func(z row) string { return string(z.Zone) }},
		Column[row]{"region", func(z row) string { return string(z.Region) }},
		Column[row]{"evacuated", func(z row) string { return strconv.FormatBool(z.Evacuated) }},
		Column[row]{"revision", func(z row) string { return strconv.FormatUint(uint64(z.Revision), 10) }},
		Column[row]{"targets", func(z row) string { return strconv.Itoa(z.Targets) }},
		Column[row]{"serving", func(z row) string { return strconv.Itoa(z.Serving) }},
		Column[row]{"running", func(z row) string { return strconv.Itoa(z.Running) }},
	)
	for _, z := range zones {
		if len(z.Stranded) > 0 {
			names := make([]string, 0, len(z.Stranded))
			for _, s := range z.Stranded {
				names = append(names, string(s))
			}
			l = l.WithNotes(fmt.Sprintf("%s: no target outside the evacuated zones, requests are refused: %s", z.Zone, strings.Join(names, ", ")))
		}
	}
	return l
}
