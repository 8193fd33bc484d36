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
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/tallier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/upgrader"
)

// Duty is the duty of switching weight versions, reporting usage and releasing VMs.
const Duty identifier.Duty = "control"

// dutyTTL is the TTL of the duty's lease. It allows for two calls to the key-value service that end without an answer.
const dutyTTL = 1800 * time.Millisecond

// Controller is a process that campaigns for Duty and performs it while it holds the lease.
type Controller struct {
	base
	leaser *leaser.Leaser
	// plan is the configuration that the last term of this process has adopted.
	plan        navigator.Navigator
	cancel      context.CancelFunc
	running     sync.WaitGroup
	stopMetrics func()
}

// StartController starts a controller.
func StartController(s Settings, p Platform, o Observers) (*Controller, error) {
	c := &Controller{base: newBase(s, p, o)}
	stopMetrics, err := c.serveMetrics(exporter.HostedState{
		Revision: func() identifier.Revision { return c.plan.Current().Revision() }, Leading: func() int { return 0 },
		Late:    func() int { return 0 },
		Omitted: func() int64 { return 0 }, Held: func() int { return 0 }, Limited: func() int { return 0 }, Cold: func() int { return 0 },
		Unusable: func() int64 { return 0 }, Relaying: func() bool { return false },
	})
	if err != nil {
		return nil, err
	}
	c.stopMetrics = stopMetrics
	c.leaser = leaser.NewLeaser(s.Node, c.store.WithPurpose(storer.PurposeLease), c.clock,
		leaser.WithTTL(max(dutyTTL, s.MinTTL)), leaser.WithCooldown(s.DutyCooldown), leaser.WithPause(c.awaitDutyChange))
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.running.Go(func() { c.leaser.Campaign(ctx, Duty, c.lead) })
	c.log.Emit(logger.ProcessStarted, "node", s.Node, "incarnation", c.incarnation)
	return c, nil
}

// maxDutyWatch bounds one watch of the duty's key. A watch that stays silent delays a takeover by up to this time.
const maxDutyWatch = 5 * time.Second

// awaitDutyChange waits until the key of the duty has changed, or for a third of d if the key-value service does not
// answer.
func (c *Controller) awaitDutyChange(ctx context.Context, key string, d time.Duration) {
	readCtx, cancelRead := timer.WithTimeout(ctx, c.clock, callTimeout)
	defer cancelRead()
	held, revision, out := c.platform.KeyValue.Snapshot(readCtx, key)
	if out == storer.Applied && len(held) == 0 {
		return
	}
	if out == storer.Applied {
		watchCtx, cancelWatch := timer.WithTimeout(ctx, c.clock, maxDutyWatch+callTimeout)
		defer cancelWatch()
		if _, _, out = c.platform.KeyValue.Changes(watchCtx, key, revision, maxDutyWatch); out == storer.Applied {
			return
		}
	}
	timer.Wait(ctx, c.clock, d/renewalsPerTTL)
}

// lead performs the duty for one term.
func (c *Controller) lead(ctx context.Context, term leaser.Term) {
	c.log.Emit(logger.DutyBegan, "duty", Duty, "fence", term.Fence)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	valid := func() bool {
		t, ok := c.leaser.Term(Duty)
		return ok && t.Fence == term.Fence
	}
	zones := newEvacuator(c.Settings)
	nav, reg := &c.plan, registrar.NewRegistrar(c.Regions).WithEvacuator(zones)
	up := upgrader.NewUpgrader(upgrader.Dependencies{
		Navigator: nav, Registrar: reg, Engines: c.platform.Targets, Work: c.modelWork, Clock: c.clock, Log: c.log,
	}, term, valid)
	report := tallier.NewReporter(
		meter.Calendar{Length: c.Window}, c.store.WithPurpose(storer.PurposeSeal), c.codec, c.platform.ReportReceiver, c.clock, c.log, term, valid)
	operators := &operatorView{
		decoder: c.platform.Decoder, navigator: nav, log: c.log, onDesired: up.SetDesired,
		onRetire: func(n identifier.Node, status storer.Put) { c.retire(ctx, n, status) },
	}
	var written storer.View = operators
	if zones != nil {
		orders := &zoneView{decoder: c.platform.Decoder, evacuator: zones, log: c.log, onChange: reg.NotifyEvacuation}
		written = operatorViews{operatorView: operators, zones: orders, prefix: c.platform.EvacuationPrefix}
	}
	targets := &targetView{
		decoder: c.platform.Decoder, registrar: reg, router: router.NewRouter(), availability: c.availability, clock: c.clock, log: c.log,
	}
	var tasks sync.WaitGroup
	// A task that returns before ctx ends has seen a later term; the other tasks are then cancelled.
	for _, task := range []func(){
		func() { up.Run(ctx) },
		func() { report.Run(ctx) },
		func() { c.follow(ctx, c.platform.OperatorPrefix, constantDelay(0), c.Apply, written) },
		func() {
			c.follow(ctx, c.platform.TargetPrefix, constantDelay(c.Drain/batchDelayDivisor), c.Drain, targets)
		},
	} {
		tasks.Go(func() {
			defer cancel()
			task()
		})
	}
	tasks.Wait()
	c.log.Emit(logger.DutyEnded, "duty", Duty, "fence", term.Fence)
}

// modelWork returns the work of each model in the batch jobs on record.
func (c *Controller) modelWork(ctx context.Context) (map[identifier.Model]int, bool) {
	records, out, err := recorder.NewRecorder(c.store.WithPurpose(storer.PurposeConfig), c.codec).Records(ctx)
	if out != storer.Applied || err != nil {
		c.log.Emit(logger.JobUnreadable, "outcome", out.String(), "error", err)
		return nil, false
	}
	work := make(map[identifier.Model]int)
	for _, r := range records {
		work[r.Model] += r.Work
	}
	return work, true
}

// retire writes the status that releases a VM with a disk. It does so at once, because the service keeps no data on the
// disk.
func (c *Controller) retire(ctx context.Context, n identifier.Node, status storer.Put) {
	old, out := c.store.Get(ctx, status.Key)
	if out == storer.Applied && string(old.Value) != string(status.Value) {
		out = c.store.CompareAndSwap(ctx, status.Key, old.Changed, status.Value, 0)
	}
	c.log.Emit(logger.DiskVMReleased, "node", n, "outcome", out.String())
}

// Stop releases the duty and stops the controller.
func (c *Controller) Stop(context.Context) {
	c.cancel()
	c.running.Wait()
	c.stopMetrics()
	c.guards.stop()
	c.log.Emit(logger.ProcessStopped)
}
