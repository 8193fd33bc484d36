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

// Windows reads the usage windows.
type Windows interface {
	// Watermarks returns the last closed window and the last confirmed one. ok is false if the
	// key-value service is not available or holds no windows yet.
	Watermarks(ctx context.Context) (closed, confirmed meter.Window, ok bool)
	// Overview returns one row for each team in w. The last result is false if the report or the
	// meters could not be read.
	Overview(ctx context.Context, w meter.Window) ([]reporter.Row, bool)
}

// UsageRoutes are the operators' routes for usage windows and reports.
type UsageRoutes struct {
	windows  Windows
	calendar meter.Calendar
}

// NewUsageRoutes returns routes that read the windows of w, whose ends calendar gives.
func NewUsageRoutes(w Windows, calendar meter.Calendar) *UsageRoutes {
	return &UsageRoutes{windows: w, calendar: calendar}
}

// Register adds the routes to e.
func (u *UsageRoutes) Register(e *echo.Echo) {
	e.GET("/v1/windows", u.listWindows)
	e.GET("/v1/windows/:window", u.showWindow)
	e.GET("/v1/usage", u.listUsage)
}

type windowsReply struct {
	// Closed accepts no more counts. Done and all windows before it are confirmed.
	Closed meter.Window `json:"closed"`
	Done   meter.Window `json:"done"`
	// Windows are the most recent windows, up to the one after Done.
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
	// Counted holds the sums of the meters, Reported the figures of the sealed report.
	Counted    codec.Figures `json:"counted"`
	Reported   codec.Figures `json:"reported"`
	Reconciled bool          `json:"reconciled"`
}

// recentWindowCount is the number of windows in a list.
const recentWindowCount = 5

func (u *UsageRoutes) listWindows(c echo.Context) error {
	reply, ok := u.recentWindows(c.Request().Context())
	if !ok {
		return notRunProblem(http.StatusServiceUnavailable, "store-unavailable", "no usage window could be read").write(c, storeRetryAfter)
	}
	return c.JSON(http.StatusOK, reply)
}

// recentWindows returns the last recentWindowCount windows up to the one after the last confirmed window. It reports
// false if they could not be read.
func (u *UsageRoutes) recentWindows(ctx context.Context) (windowsReply, bool) {
	closed, confirmed, ok := u.windows.Watermarks(ctx)
	reply := windowsReply{Closed: closed, Done: confirmed}
	for w := max(confirmed-recentWindowCount+2, 0); ok && w <= confirmed+1; w++ {
		var window windowReply
		if window, ok = u.readWindow(ctx, w); ok {
			reply.Windows = append(reply.Windows, window)
		}
	}
	return reply, ok
}

func (u *UsageRoutes) showWindow(c echo.Context) error {
	n, err := strconv.ParseInt(c.Param("window"), 10, 64)
	if err != nil || n < 0 {
		return notRunProblem(http.StatusBadRequest, "bad-window", "window: want a number of 0 or more").write(c, 0)
	}
	window, ok := u.readWindow(c.Request().Context(), meter.Window(n))
	if !ok {
		return notRunProblem(http.StatusServiceUnavailable, "store-unavailable", "").write(c, storeRetryAfter)
	}
	return c.JSON(http.StatusOK, window)
}

func (u *UsageRoutes) readWindow(ctx context.Context, w meter.Window) (windowReply, bool) {
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
