package demonstrator_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// Guards against an idle target that is never stopped, one that is stopped without a drain, and a stop that leaves fewer
// targets than the smallest team needs, on the whole path from the plan to the platform. The entry's region has two idle
// targets of one service.
func TestIdleTargetIsDrainedAndStopped(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	plan := demonstrator.DefaultPlan()
	plan.Orders = loader.Orders{
		Enabled: true, Fenced: true, Capacity: 4,
		Period: loader.Duration(100 * time.Millisecond), Hold: loader.Duration(300 * time.Millisecond),
	}
	d, err := demonstrator.NewDeployment(plan, io.Discard)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(d.Close(), qt.IsNil) }()
	d.Standin.Platform.Fenced = true
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: make(map[string]string)}
	_, err = demonstrator.Steps()[0].Run(ctx, s)
	c.Assert(err, qt.IsNil)

	err = s.Client.Await(ctx, 15*time.Second, func() bool { return len(d.Standin.Platform.Orders()) > 0 })
	c.Assert(err, qt.IsNil)
	stop := d.Standin.Platform.Orders()[0]
	c.Assert(stop.Kind, qt.Equals, "stop")
	c.Assert(stop.Zone, qt.Equals, "lagos-ikeja")
	c.Assert(stop.Service, qt.Equals, "sortmind")
	// The open orders are empty once the VM list shows that the target has stopped. No second order follows.
	var shown string
	err = s.Client.Await(ctx, 5*time.Second, func() bool {
		r, err := s.Client.SendAsOperator(ctx, http.MethodGet, "/v1/plan", nil, nil)
		shown = string(r.Body)
		return err == nil && r.Status == http.StatusOK && strings.Contains(shown, `"open":[]`) && strings.Contains(shown, `"wanted":[]`)
	})
	c.Assert(err, qt.IsNil, qt.Commentf("%s", shown))
	c.Assert(d.Standin.Platform.Orders(), qt.HasLen, 1)

	r, err := s.Client.SendAsOperator(ctx, http.MethodPost, "/v1/targets/nowhere/drain", nil, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Status, qt.Equals, http.StatusNotFound)
	r, err = s.Client.SendAsOperator(ctx, http.MethodPost, "/v1/targets/manifest-1/drain", nil, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Status, qt.Equals, http.StatusAccepted, qt.Commentf("%s", r.Body))
	err = s.Client.Await(ctx, 5*time.Second, func() bool {
		r, err := s.Client.SendAsOperator(ctx, http.MethodGet, "/v1/targets", nil, nil)
		shown = string(r.Body)
		return err == nil && strings.Contains(shown, `"target":"manifest-1","service":"manifest","zone":"lagos-ikeja","region":"lagos","serving":false`)
	})
	c.Assert(err, qt.IsNil, qt.Commentf("%s", shown))
}
