package hoster

import (
	"context"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/tallier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/upgrader"
)

// Duty is the duty of the process that gives orders and reports usage.
const Duty identifier.Duty = "control"

// dutyTTL is the time after which the duty of a silent holder is free. It spans two calls to the key-value service that
// end without an answer.
const dutyTTL = 1800 * time.Millisecond

// Controller is a process that campaigns for the duty.
type Controller struct {
	base
	leaser *leaser.Leaser
	// plan is the configuration that the last term of this process has seen.
	plan     navigator.Navigator
	cancel   context.CancelFunc
	running  sync.WaitGroup
	unexport func()
}

// StartController starts a controller.
func StartController(s Settings, p Platform, o Observers) (*Controller, error) {
	c := &Controller{base: newBase(s, p, o)}
	unexport, err := c.export(exporter.HostedState{
		Revision: func() identifier.Revision { return c.plan.Current().Revision() }, Leading: func() int { return 0 },
		Omitted: func() int64 { return 0 },
	})
	if err != nil {
		return nil, err
	}
	c.unexport = unexport
	c.leaser = leaser.NewLeaser(s.Node, c.store.WithPurpose(storer.PurposeLease), c.clock,
		leaser.WithTTL(max(dutyTTL, s.MinTTL)), leaser.WithCooldown(s.DutyCooldown), leaser.WithPause(c.pause))
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.running.Go(func() { c.leaser.Campaign(ctx, Duty, c.lead) })
	c.log.Emit(logger.ProcessStarted, "node", s.Node, "incarnation", c.incarnation)
	return c, nil
}

// dutyWatch is the longest wait of one watch of the duty's key. A watch that stays silent delays a take-over by it.
const dutyWatch = 5 * time.Second

// pause waits until the key of the duty has changed, or for a third of d if the key-value service gives no answer.
func (c *Controller) pause(ctx context.Context, key string, d time.Duration) {
	look, done := timer.WithTimeout(ctx, c.clock, callTimeout)
	defer done()
	held, revision, out := c.platform.KeyValue.Snapshot(look, key)
	if out == storer.Applied && len(held) == 0 {
		return
	}
	if out == storer.Applied {
		watch, cancel := timer.WithTimeout(ctx, c.clock, dutyWatch+callTimeout)
		defer cancel()
		if _, _, out = c.platform.KeyValue.Changes(watch, key, revision, dutyWatch); out == storer.Applied {
			return
		}
	}
	timer.Wait(ctx, c.clock, d/renewals)
}

// lead does the work of the duty for one term.
func (c *Controller) lead(ctx context.Context, term leaser.Term) {
	c.log.Emit(logger.DutyBegan, "duty", Duty, "fence", term.Fence)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	valid := func() bool {
		t, ok := c.leaser.Term(Duty)
		return ok && t.Fence == term.Fence
	}
	nav, reg := &c.plan, registrar.NewRegistrar(c.Regions)
	up := upgrader.NewUpgrader(upgrader.Dependencies{
		Navigator: nav, Registrar: reg, Engines: c.platform.Targets, Clock: c.clock, Log: c.log,
	}, term, valid)
	report := tallier.NewReporter(
		meter.Calendar{Length: c.Window}, c.store.WithPurpose(storer.PurposeSeal), c.codec, c.platform.ReportReceiver, c.clock, c.log, term, valid)
	operators := &operatorView{
		decoder: c.platform.Decoder, navigator: nav, log: c.log, wanted: up.SetDesired,
		retire: func(n identifier.Node, status storer.Put) { c.retire(ctx, n, status) },
	}
	targets := &targetView{decoder: c.platform.Decoder, registrar: reg, router: router.NewRouter(), clock: c.clock, log: c.log}
	var work sync.WaitGroup
	// A part that returns has seen a later term; the others end with it.
	for _, part := range []func(){
		func() { up.Run(ctx) },
		func() { report.Run(ctx) },
		func() { c.follow(ctx, c.platform.OperatorPrefix, at(0), c.Apply, operators) },
		func() { c.follow(ctx, c.platform.TargetPrefix, at(c.Drain/settleShare), c.Drain, targets) },
	} {
		work.Go(func() {
			defer cancel()
			part()
		})
	}
	work.Wait()
	c.log.Emit(logger.DutyEnded, "duty", Duty, "fence", term.Fence)
}

// retire tells that a VM with a disk is empty: nothing of the system lasts on its disk.
func (c *Controller) retire(ctx context.Context, n identifier.Node, status storer.Put) {
	old, out := c.store.Get(ctx, status.Key)
	if out == storer.Applied && string(old.Value) != string(status.Value) {
		out = c.store.CompareAndSwap(ctx, status.Key, old.Changed, status.Value, 0)
	}
	c.log.Emit(logger.DiskVMReleased, "node", n, "outcome", out.String())
}

// Stop gives the duty back and stops the controller.
func (c *Controller) Stop(context.Context) {
	c.cancel()
	c.running.Wait()
	c.unexport()
	c.log.Emit(logger.ProcessStopped)
}
