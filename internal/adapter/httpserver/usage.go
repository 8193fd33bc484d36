package httpserver

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
)

// usageRow is what one team used in one window: the counted figures and how far their report is.
type usageRow struct {
	Team       identifier.Team `json:"team"`
	Window     meter.Window    `json:"window"`
	End        time.Time       `json:"end"`
	Stage      string          `json:"stage"`
	Reconciled bool            `json:"reconciled"`

	codec.Figures
}

// rows answers the last windows as one flat list, for tools that print tables.
func (u *UsageRoutes) rows(c echo.Context) error {
	reply, ok := u.recent(c.Request().Context())
	if !ok {
		return refused(http.StatusServiceUnavailable, "store-unavailable", "no usage window is known").write(c, storeRetry)
	}
	rows := make([]usageRow, 0, len(reply.Windows))
	for _, w := range reply.Windows {
		for _, t := range w.Teams {
			rows = append(rows, usageRow{
				Team: t.Team, Window: w.Window, End: w.End, Stage: t.Stage, Reconciled: t.Reconciled, Figures: t.Counted,
			})
		}
	}
	return c.JSON(http.StatusOK, rows)
}
