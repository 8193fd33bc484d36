package httpserver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/reporter"
)

// Windows gives an overview of the usage windows.
type Windows interface {
	Watermarks(ctx context.Context) (closed, done meter.Window, ok bool)
	Overview(ctx context.Context, w meter.Window) ([]reporter.Row, bool)
}

// UsageRoutes is the operators' interface to usage reports.
type UsageRoutes struct {
	windows  Windows
	calendar meter.Calendar
}

// NewUsageRoutes returns the operators' routes for usage windows.
func NewUsageRoutes(w Windows, calendar meter.Calendar) *UsageRoutes {
	return &UsageRoutes{windows: w, calendar: calendar}
}

// Register adds the routes.
func (u *UsageRoutes) Register(e *echo.Echo) {
	e.GET("/v1/windows", u.list)
	e.GET("/v1/windows/:window", u.show)
	e.GET("/v1/usage", u.rows)
}

type windowsReply struct {
	// Closed takes no more counts; Done and all windows before it are confirmed.
	Closed meter.Window `json:"closed"`
	Done   meter.Window `json:"done"`
	// Windows are the last ones, from a few before the last confirmed one on.
	Windows []windowReply `json:"windows"`
}

type windowReply struct {
	Window meter.Window `json:"window"`
	End    time.Time    `json:"end"`
	Teams  []windowTeam `json:"teams"`
}

type windowTeam struct {
	Team identifier.Team `json:"team"`
	// Stage is open, sealed, sent or confirmed.
	Stage string `json:"stage"`
	// Counted are the sums of the meters; Reported the figures of the sealed report.
	Counted    codec.Figures `json:"counted"`
	Reported   codec.Figures `json:"reported"`
	Reconciled bool          `json:"reconciled"`
}

// listWindows is the number of windows that the list shows.
const listWindows = 5

func (u *UsageRoutes) list(c echo.Context) error {
	reply, ok := u.recent(c.Request().Context())
	if !ok {
		return refused(http.StatusServiceUnavailable, "store-unavailable", "no usage window is known").write(c, storeRetry)
	}
	return c.JSON(http.StatusOK, reply)
}

// recent returns the last windows; false when the key-value service does not answer.
func (u *UsageRoutes) recent(ctx context.Context) (windowsReply, bool) {
	closed, done, ok := u.windows.Watermarks(ctx)
	reply := windowsReply{Closed: closed, Done: done}
	for w := max(done-listWindows+2, 0); ok && w <= done+1; w++ {
		var window windowReply
		if window, ok = u.window(ctx, w); ok {
			reply.Windows = append(reply.Windows, window)
		}
	}
	return reply, ok
}

func (u *UsageRoutes) show(c echo.Context) error {
	n, err := strconv.ParseInt(c.Param("window"), 10, 64)
	if err != nil || n < 0 {
		return refused(http.StatusBadRequest, "bad-window", "want the number of a window").write(c, 0)
	}
	window, ok := u.window(c.Request().Context(), meter.Window(n))
	if !ok {
		return refused(http.StatusServiceUnavailable, "store-unavailable", "").write(c, storeRetry)
	}
	return c.JSON(http.StatusOK, window)
}

func (u *UsageRoutes) window(ctx context.Context, w meter.Window) (windowReply, bool) {
	rows, ok := u.windows.Overview(ctx, w)
	reply := windowReply{Window: w, End: u.calendar.End(w), Teams: make([]windowTeam, 0, len(rows))}
	for _, r := range rows {
		reply.Teams = append(reply.Teams, windowTeam{
			Team: r.Team, Stage: r.Stage.String(), Counted: codec.Figures(r.Counted), Reported: codec.Figures(r.Reported),
			Reconciled: r.Reconciled(),
		})
	}
	return reply, ok
}
