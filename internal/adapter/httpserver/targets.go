package httpserver

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/placer"
)

// Target is the state of a listed target as one entry sees it.
type Target struct {
	Target  identifier.Target  `json:"target"`
	Service identifier.Service `json:"service"`
	Zone    identifier.Zone    `json:"zone"`
	Region  identifier.Region  `json:"region"`
	// Serving means that the target accepts new work from this entry.
	Serving bool `json:"serving"`
	Leaving bool `json:"leaving"`
	Running int  `json:"running"`
}

// Targets gives access to the targets and the placement plan.
type Targets interface {
	List() []Target
	// DrainTarget makes a target accept no new work. It reports whether the target is idle, whether it is listed, and
	// whether its agent answered.
	DrainTarget(ctx context.Context, t identifier.Target) (idle, known, ok bool)
	// Plan returns the last plan and the open orders. The last result is false if the store did not answer.
	Plan(ctx context.Context) (placer.Plan, []orderer.Order, bool)
}

// TargetRoutes are the operators' routes for targets and the placement plan.
type TargetRoutes struct{ targets Targets }

// NewTargetRoutes returns routes that read and drain targets through t.
func NewTargetRoutes(t Targets) *TargetRoutes { return &TargetRoutes{targets: t} }

// Register adds the routes to e.
func (t *TargetRoutes) Register(e *echo.Echo) {
	e.GET("/v1/targets", t.list)
	e.POST("/v1/targets/:target/drain", t.drain)
	e.GET("/v1/targets/plan", t.planRows)
	e.GET("/v1/plan", t.plan)
}

func (t *TargetRoutes) list(c echo.Context) error {
	all := t.targets.List()
	slices.SortFunc(all, func(a, b Target) int { return cmp.Compare(a.Target, b.Target) })
	if all == nil {
		all = []Target{}
	}
	return c.JSON(http.StatusOK, all)
}

func (t *TargetRoutes) drain(c echo.Context) error {
	idle, known, ok := t.targets.DrainTarget(c.Request().Context(), identifier.Target(c.Param("target")))
	switch {
	case !known:
		return notRunProblem(http.StatusNotFound, "no-such-target", "the VM list does not name this target").write(c, 0)
	case !ok:
		p := notRunProblem(http.StatusGatewayTimeout, "agent-unreachable", "the agent did not answer; the target may be draining")
		p.Type, p.Title = TypeUnknown, "The drain may have started"
		return p.write(c, 0)
	default:
		return c.JSON(http.StatusAccepted, map[string]bool{"draining": true, "idle": idle})
	}
}

type planReply struct {
	Needs  []planNeed  `json:"needs"`
	Wanted []planOrder `json:"wanted"`
	Open   []openOrder `json:"open"`
}

type planNeed struct {
	Service  identifier.Service `json:"service"`
	Forecast float64            `json:"forecast"`
	Base     int                `json:"base"`
	Held     int                `json:"held"`
	Wanted   int                `json:"wanted"`
	Have     int                `json:"have"`
	Reason   string             `json:"reason"`
}

type planOrder struct {
	Kind    placer.Kind        `json:"kind"`
	Service identifier.Service `json:"service"`
	Zone    identifier.Zone    `json:"zone"`
	Target  identifier.Target  `json:"target,omitempty"`
	Reason  string             `json:"reason"`
}

type openOrder struct {
	planOrder

	ID    string    `json:"id"`
	State string    `json:"state"`
	Since time.Time `json:"since"`
}

func (t *TargetRoutes) plan(c echo.Context) error {
	plan, open, ok := t.targets.Plan(c.Request().Context())
	if !ok {
		return notRunProblem(http.StatusServiceUnavailable, "store-unavailable", "").write(c, storeRetryAfter)
	}
	reply := planReply{
		Needs: make([]planNeed, 0, len(plan.Needs)), Wanted: make([]planOrder, 0, len(plan.Orders)), Open: make([]openOrder, 0, len(open)),
	}
	for _, n := range plan.Needs {
		reply.Needs = append(reply.Needs, planNeed(n))
	}
	for _, o := range plan.Orders {
		reply.Wanted = append(reply.Wanted, planOrder(o))
	}
	for _, o := range open {
		reply.Open = append(reply.Open, openOrder{
			planOrder: planOrder{Kind: o.Kind, Service: o.Service, Zone: o.Zone, Target: o.Target, Reason: o.Reason},
			ID:        o.ID, State: o.State.String(), Since: o.Since,
		})
	}
	return c.JSON(http.StatusOK, reply)
}

// planRow is one row of the plan as mimosactl shows it: the need of a service, or an order.
type planRow struct {
	// Row is need, wanted or open.
	Row     string             `json:"row"`
	Service identifier.Service `json:"service"`
	Zone    identifier.Zone    `json:"zone,omitempty"`
	Target  identifier.Target  `json:"target,omitempty"`
	// What is the wanted and the present number of targets, the kind of a wanted order or the state of an open one.
	What   string `json:"what"`
	Reason string `json:"reason"`
}

// planRows returns the plan as a flat list of rows.
func (t *TargetRoutes) planRows(c echo.Context) error {
	plan, open, ok := t.targets.Plan(c.Request().Context())
	if !ok {
		return notRunProblem(http.StatusServiceUnavailable, "store-unavailable", "").write(c, storeRetryAfter)
	}
	rows := make([]planRow, 0, len(plan.Needs)+len(plan.Orders)+len(open))
	for _, n := range plan.Needs {
		rows = append(rows, planRow{
			Row: "need", Service: n.Service, What: fmt.Sprintf("wants %d, has %d", n.Wanted, n.Have), Reason: n.Reason,
		})
	}
	for _, o := range plan.Orders {
		rows = append(rows, planRow{
			Row: "wanted", Service: o.Service, Zone: o.Zone, Target: o.Target, What: fmt.Sprint(o.Kind), Reason: o.Reason,
		})
	}
	for _, o := range open {
		rows = append(rows, planRow{
			Row: "open", Service: o.Service, Zone: o.Zone, Target: o.Target, What: o.State.String(), Reason: o.Reason,
		})
	}
	return c.JSON(http.StatusOK, rows)
}
