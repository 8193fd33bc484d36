package httpserver

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/publisher"
)

// ZoneState is the state of an availability zone as one entry sees it.
type ZoneState struct {
	Zone   identifier.Zone   `json:"zone"`
	Region identifier.Region `json:"region,omitempty"`
	// Evacuated means that nothing is sent to the targets of the zone, from the revision on in which that was ordered.
	Evacuated bool                `json:"evacuated"`
	Revision  identifier.Revision `json:"revision"`
	// Targets is the number of targets that the VM list names, Serving that of those to which this entry gives new work, and Running that
	// of the attempts that run there.
	Targets int `json:"targets"`
	Serving int `json:"serving"`
	Running int `json:"running"`
	// Stranded are the services with targets in the zone that have none outside the evacuated zones.
	Stranded []identifier.Service `json:"stranded"`
}

// ZoneStates gives access to the state of the availability zones.
type ZoneStates interface {
	// ZoneState returns the state of a zone with a document in force.
	ZoneState(d configurator.Document, z identifier.Zone) ZoneState
	// ListedZones returns the zones that the VM list names.
	ListedZones() []identifier.Zone
	// RecordUnknown logs an order for a zone that does not exist.
	RecordUnknown(z identifier.Zone)
}

// EvacuationRoutes are the operators' routes that evacuate availability zones and take them back. The evacuated zones are a part of the
// configuration document.
type EvacuationRoutes struct {
	editor Editor
	config *configurator.Configurator
	zones  ZoneStates
}

// NewEvacuationRoutes returns routes that edit the configuration through editor.
func NewEvacuationRoutes(editor Editor, config *configurator.Configurator, zones ZoneStates) *EvacuationRoutes {
	return &EvacuationRoutes{editor: editor, config: config, zones: zones}
}

// Register adds the routes to e.
func (r *EvacuationRoutes) Register(e *echo.Echo) {
	e.GET("/v1/zones", r.list)
	e.GET("/v1/zones/:zone/evacuation", r.show)
	e.PUT("/v1/zones/:zone/evacuation", func(c echo.Context) error { return r.edit(c, evacuator.Zones.With) })
	e.DELETE("/v1/zones/:zone/evacuation", func(c echo.Context) error { return r.edit(c, evacuator.Zones.Without) })
}

func (r *EvacuationRoutes) list(c echo.Context) error {
	doc := r.config.Current()
	known := r.known(doc).Names()
	all := make([]ZoneState, 0, len(known))
	for _, z := range known {
		all = append(all, r.zones.ZoneState(doc, z))
	}
	return c.JSON(http.StatusOK, all)
}

// known returns the zones that a document or the VM list names.
func (r *EvacuationRoutes) known(d configurator.Document) evacuator.Zones {
	return d.KnownZones(r.zones.ListedZones()...)
}

func (r *EvacuationRoutes) show(c echo.Context) error {
	return r.writeState(c, r.config.Current(), identifier.Zone(c.Param("zone")))
}

// writeState sends the state of a zone with a document in force.
func (r *EvacuationRoutes) writeState(c echo.Context, doc configurator.Document, zone identifier.Zone) error {
	if !r.known(doc).Contains(zone) {
		return notRunProblem(http.StatusNotFound, "no-such-zone", "neither the configuration nor the VM list names this zone").write(c, 0)
	}
	return c.JSON(http.StatusOK, r.zones.ZoneState(doc, zone))
}

// edit stores the evacuated zones that change makes of the present ones. With the header If-Match, it does so only if that is the revision
// in force. An order that is in force already changes nothing and uses up no revision.
func (r *EvacuationRoutes) edit(c echo.Context, change func(evacuator.Zones, identifier.Zone) evacuator.Zones) error {
	zone := identifier.Zone(c.Param("zone"))
	header := c.Request().Header.Get("If-Match")
	base, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if header != "" && err != nil {
		return notRunProblem(http.StatusBadRequest, "bad-field", "If-Match: want the revision that the edit is based on").write(c, 0)
	}
	var found configurator.Document
	read, known, conflicting, unchanged := false, false, false, false
	result := r.editor.Edit(c.Request().Context(), identifier.Revision(base), func(d configurator.Document) configurator.Document {
		read, found = true, d
		next := change(d.Evacuated(), zone)
		// The editor accepts any revision for base zero; a header with zero means the empty configuration.
		conflicting = header != "" && d.Revision() != identifier.Revision(base)
		known = r.known(d).Contains(zone)
		unchanged = next.Equal(d.Evacuated())
		if conflicting || !known || unchanged {
			return d.WithPreset(invalidPreset)
		}
		return d.WithEvacuated(next)
	})
	switch {
	case result.Edit == configurator.Conflicting || conflicting:
		return writeConflict(c, result.Document)
	case result.Edit == configurator.InvalidEdit && read && !known:
		r.zones.RecordUnknown(zone)
		return r.writeState(c, found, zone)
	case result.Edit == configurator.InvalidEdit && unchanged:
		return r.writeState(c, found, zone)
	case !result.Accepted():
		return r.writeFailure(c, result)
	default:
		return r.writeState(c, result.Document, zone)
	}
}

// writeFailure writes the problem of an edit that was not stored.
func (r *EvacuationRoutes) writeFailure(c echo.Context, result publisher.Result) error {
	return (&OperatorRoutes{editor: r.editor, config: r.config}).writeResult(c, result)
}
