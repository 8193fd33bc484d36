package httpserver

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
)

// usageRow is the usage of one team in one window, with the stage of its report.
type usageRow struct {
	Team       identifier.Team `json:"team"`
	Window     meter.Window    `json:"window"`
	End        time.Time       `json:"end"`
	Stage      string          `json:"stage"`
	Reconciled bool            `json:"reconciled"`

	codec.Figures
}

// listUsage returns the rows of the most recent windows as one flat list, which mimosactl prints as a table.
func (u *UsageRoutes) listUsage(c echo.Context) error {
	reply, ok := u.recentWindows(c.Request().Context())
	if !ok {
		return notRunProblem(http.StatusServiceUnavailable, "store-unavailable", "no usage window could be read").write(c, storeRetryAfter)
	}
	rows := make([]usageRow, 0, len(reply.Windows))
	for _, w := range reply.Windows {
		for _, team := range w.Teams {
			rows = append(rows, usageRow{
				Team: team.Team, Window: w.Window, End: w.End, Stage: team.Stage, Reconciled: team.Reconciled, Figures: team.Counted,
			})
		}
	}
	return c.JSON(http.StatusOK, rows)
}
