package runner

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/reporter"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// keep returns the function that gives the ended attempts of teams to an agent's keeper.
func keep(k *meter.RecordBuffer, clock timer.Service) func(executor.EndedAttempt) {
	return func(e executor.EndedAttempt) {
		if e.Call.Team != "" && e.Call.Origin.Meter != "" {
			k.Keep(meter.NewRecord(e, clock.Now()))
		}
	}
}

// usage meters an entry's requests and campaigns for the duty that reports.
type usage struct {
	clock    timer.Service
	log      *logger.Logger
	store    meter.Store
	platform *platformclient.Client
	agents   meter.Agents
	leaser   *leaser.Leaser
	meter    *meter.Meter
	calendar meter.Calendar
	settings loader.Usage
	origin   executor.Origin
	reporter *reporter.Reporter
	// candidacy limits the campaigns; membership feeds it.
	candidacy *candidacy
}

func newUsage(
	s loader.Settings, clock timer.Service, log *logger.Logger, store *storer.Storer, peers *rpcclient.Client,
	config *configurator.Configurator,
) *usage {
	// A meter's name is unique to the start of the process; what the last start has left is taken over.
	node := identifier.Node(s.Name + "." + strconv.FormatInt(clock.Now().UnixNano(), 16))
	u := &usage{
		clock: clock, log: log, store: store.WithPurpose(storer.PurposeUsage), platform: platformclient.NewClient(s.Platform, clock),
		agents: rpcclient.NewUsage(peers), candidacy: &candidacy{name: identifier.Node(s.Name), region: identifier.Region(s.Region)},
		calendar: meter.Calendar{Length: time.Duration(s.Usage.Window)}, settings: s.Usage,
		origin: executor.Origin{Meter: node, Region: identifier.Region(s.Region)},
	}
	u.leaser = leaser.NewLeaser(node, store.WithPurpose(storer.PurposeLease), clock, leaser.WithEligible(u.candidacy.eligible))
	if u.settings.Flush == 0 {
		u.settings.Flush = loader.Duration(meter.DefaultFlush)
	}
	u.meter = meter.NewMeter(node, u.calendar)
	teams := func() []identifier.Team {
		all := config.Current().Teams()
		names := make([]identifier.Team, 0, len(all))
		for _, t := range all {
			names = append(names, t.Name)
		}
		return names
	}
	u.reporter = reporter.NewReporter(reporter.Settings{Calendar: u.calendar, Grace: time.Duration(s.Usage.Grace), Teams: teams},
		store.WithPurpose(storer.PurposeSeal), codec.Usage{}, u.platform, u.leaser, clock)
	return u
}

// metered stamps the calls of an entry with its meter.
type metered struct {
	dispatcher.Agents

	origin executor.Origin
}

// Start offers an attempt whose call names the meter.
func (m metered) Start(ctx context.Context, t router.Target, s dispatcher.Start) (gatekeeper.Verdict, dispatcher.Delivery) {
	s.Call = s.Call.WithOrigin(m.origin)
	return m.Agents.Start(ctx, t, s)
}

// wrap returns the way to the agents that names the meter in each call.
func (u *usage) wrap(a dispatcher.Agents) dispatcher.Agents {
	return metered{Agents: a, origin: u.origin}
}

// ended counts a request that has ended. Refused work has no attempts that ran.
func (u *usage) ended(e dispatcher.EndedRequest) {
	if e.Request.Identity.Team == "" || e.Result.RunState == dispatcher.NotRun || len(e.Targets) == 0 {
		return
	}
	last := len(e.Targets) - 1
	receipt := func(number int) meter.Receipt {
		return meter.Receipt{
			Attempt: identifier.Attempt{Request: e.Request.ID, Number: number}, Agent: e.Targets[number].Address,
		}
	}
	var lost []meter.Receipt
	for i := range last {
		lost = append(lost, receipt(i))
	}
	now := u.clock.Now()
	if e.Result.RunState == dispatcher.HasRun && e.Result.Final.End == streamer.Complete {
		u.meter.Count(now, e.Request.Identity.Team, meter.Measure(e.Result.Final), receipt(last), lost...)
		return
	}
	u.meter.AwaitRecord(now, receipt(last), lost...)
}

// flush stores the counts each period until ctx ends.
func (u *usage) flush(ctx context.Context) {
	f := meter.NewFlusher(u.meter, u.store, codec.Usage{}, u.agents, u.clock)
	tick := u.clock.Every(time.Duration(u.settings.Flush))
	defer tick.Stop()
	deposed := false
	for {
		f.Round(ctx)
		if u.meter.TakenOver() && !deposed {
			deposed = true
			u.log.Emit(logger.MeterTakenOver, "meter", u.meter.Node())
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			last, cancel := timer.WithTimeout(context.WithoutCancel(ctx), u.clock, time.Second)
			f.Round(last)
			cancel()
			return
		}
	}
}

// report campaigns for the duty that reports, until ctx ends.
func (u *usage) report(ctx context.Context) {
	u.leaser.Campaign(ctx, reporter.Duty, func(ctx context.Context, t leaser.Term) {
		heir := meter.NewRecoverer(u.meter, u.store, codec.Usage{}, u.agents)
		tick := u.clock.Every(time.Duration(u.settings.Flush))
		defer tick.Stop()
		for ctx.Err() == nil {
			if !u.reporter.Round(ctx, t.Fence) && ctx.Err() == nil {
				u.log.Emit(logger.ReportDelayed, "fence", t.Fence)
			}
			u.inherit(ctx, heir, t)
			select {
			case <-tick.C():
			case <-ctx.Done():
			}
		}
	})
}

// inherit takes over the records of entries that are gone.
func (u *usage) inherit(ctx context.Context, heir *meter.Recoverer, t leaser.Term) {
	vms, err := u.platform.VMs(ctx)
	if err != nil {
		return
	}
	_, done, ok := u.reporter.Watermarks(ctx)
	if !ok {
		return
	}
	entries := make(map[string]bool)
	var agents []string
	for _, vm := range vms {
		if vm.Role == platformclient.RoleEntry {
			entries[string(vm.Name)] = true
		} else {
			agents = append(agents, vm.Address)
		}
	}
	starts, out := u.store.List(ctx, meter.MeterPrefix)
	if out != storer.Applied {
		return
	}
	latest := make(map[string]identifier.Node)
	for _, e := range starts {
		n := identifier.Node(strings.TrimPrefix(e.Key, meter.MeterPrefix))
		latest[vmOf(n)] = max(latest[vmOf(n)], n)
	}
	heir.Round(ctx, meter.RecoveryState{
		Term: t, Done: done, Now: u.calendar.Window(u.clock.Now()), Agents: agents,
		Gone: func(n identifier.Node) bool {
			name := vmOf(n)
			// A list without entries says nothing about them. A process that has started again has ended before.
			return n < latest[name] || len(entries) > 0 && !entries[name]
		},
	})
}

// vmOf returns the name of the VM that a meter runs on.
func vmOf(n identifier.Node) string {
	return string(n)[:max(strings.LastIndexByte(string(n), '.'), 0)]
}

// confirmPause is the time between two looks at the records of a stopping agent.
const confirmPause = 100 * time.Millisecond

// awaitConfirmed waits until the entries have confirmed the agent's usage records, until ctx ends.
func (a *Agent) awaitConfirmed(ctx context.Context) {
	tick := a.clock.Every(confirmPause)
	defer tick.Stop()
	for a.keeper.Len() > 0 {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}
