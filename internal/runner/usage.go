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

// newRecordHandler returns a function that adds the usage records of ended attempts to an agent's buffer. Attempts
// without a team or a meter are not recorded.
func newRecordHandler(buffer *meter.RecordBuffer, clock timer.Service) func(executor.EndedAttempt) {
	return func(e executor.EndedAttempt) {
		if e.Call.Team != "" && e.Call.Origin.Meter != "" {
			buffer.Add(meter.NewRecord(e, clock.Now()))
		}
	}
}

// usage meters an entry's requests and campaigns for the duty to report usage.
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
	// candidacy limits the duties for which this process campaigns. It observes each adopted VM list.
	candidacy *candidacy
}

func newUsage(
	s loader.Settings, clock timer.Service, log *logger.Logger, store *storer.Storer, platform *platformclient.Client,
	peers *rpcclient.Client, config *configurator.Configurator,
) *usage {
	// The name of a meter is unique to one start of the process. Records that an earlier start left are recovered.
	node := identifier.Node(s.Name + "." + strconv.FormatInt(clock.Now().UnixNano(), 16))
	u := &usage{
		clock: clock, log: log, store: store.WithPurpose(storer.PurposeUsage),
		platform: platform, agents: rpcclient.NewUsage(peers),
		candidacy: &candidacy{name: identifier.Node(s.Name), region: identifier.Region(s.Region)},
		calendar:  meter.Calendar{Length: time.Duration(s.Usage.Window)}, settings: s.Usage,
		origin: executor.Origin{Meter: node, Region: identifier.Region(s.Region)},
	}
	u.leaser = leaser.NewLeaser(node, store.WithPurpose(storer.PurposeLease), clock, leaser.WithEligible(u.candidacy.eligible))
	if u.settings.Flush == 0 {
		u.settings.Flush = loader.Duration(meter.DefaultFlushPeriod)
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

// meteredAgents adds the origin of the entry to its calls, so that agents know which meter counts them.
type meteredAgents struct {
	dispatcher.Agents

	origin executor.Origin
}

// Start offers an attempt whose call has the origin.
func (m meteredAgents) Start(ctx context.Context, t router.Target, s dispatcher.Start) (gatekeeper.Verdict, dispatcher.Delivery) {
	s.Call = s.Call.WithOrigin(m.origin)
	return m.Agents.Start(ctx, t, s)
}

// meteredAgents wraps a so that each call has the origin of this entry.
func (u *usage) meteredAgents(a dispatcher.Agents) dispatcher.Agents {
	return meteredAgents{Agents: a, origin: u.origin}
}

// countEnded counts a request that has ended. Requests without a team and requests that did not run are not counted.
func (u *usage) countEnded(e dispatcher.EndedRequest) {
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

// finalFlushTimeout limits the last storing of counts, when the process stops.
const finalFlushTimeout = time.Second

// runFlusher stores the counts each flush period until ctx ends, and then once more.
func (u *usage) runFlusher(ctx context.Context) {
	f := meter.NewFlusher(u.meter, u.store, codec.Usage{}, u.agents, u.clock)
	tick := u.clock.Every(time.Duration(u.settings.Flush))
	defer tick.Stop()
	takenOver := false
	for {
		f.RunRound(ctx)
		if u.meter.TakenOver() && !takenOver {
			takenOver = true
			u.log.Emit(logger.MeterTakenOver, "meter", u.meter.Node())
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			finalCtx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), u.clock, finalFlushTimeout)
			f.RunRound(finalCtx)
			cancel()
			return
		}
	}
}

// runReporter campaigns for the duty to report usage until ctx ends.
func (u *usage) runReporter(ctx context.Context) {
	u.leaser.Campaign(ctx, reporter.Duty, func(ctx context.Context, t leaser.Term) {
		recoverer := meter.NewRecoverer(u.meter, u.store, codec.Usage{}, u.agents)
		tick := u.clock.Every(time.Duration(u.settings.Flush))
		defer tick.Stop()
		for ctx.Err() == nil {
			if !u.reporter.RunRound(ctx, t.Fence) && ctx.Err() == nil {
				u.log.Emit(logger.ReportDelayed, "fence", t.Fence)
			}
			u.recoverRecords(ctx, recoverer, t)
			select {
			case <-tick.C():
			case <-ctx.Done():
			}
		}
	})
}

// recoverRecords takes over the usage records of meters whose entry has stopped.
func (u *usage) recoverRecords(ctx context.Context, recoverer *meter.Recoverer, t leaser.Term) {
	vms, err := u.platform.VMs(ctx)
	if err != nil {
		return
	}
	_, confirmed, ok := u.reporter.Watermarks(ctx)
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
	meterEntries, outcome := u.store.List(ctx, meter.MeterPrefix)
	if outcome != storer.Applied {
		return
	}
	latest := make(map[string]identifier.Node)
	for _, e := range meterEntries {
		n := identifier.Node(strings.TrimPrefix(e.Key, meter.MeterPrefix))
		latest[vmName(n)] = max(latest[vmName(n)], n)
	}
	recoverer.RunRound(ctx, meter.RecoveryState{
		Term: t, Done: confirmed, Now: u.calendar.Window(u.clock.Now()), Agents: agents,
		Gone: func(n identifier.Node) bool {
			name := vmName(n)
			// A meter has ended if its VM has a meter of a later start. A VM list without entries does not prove that any ended.
			return n < latest[name] || len(entries) > 0 && !entries[name]
		},
	})
}

// vmName returns the name of the VM on which a meter runs, which is the part of its name before the last dot.
func vmName(n identifier.Node) string {
	return string(n)[:max(strings.LastIndexByte(string(n), '.'), 0)]
}

// confirmPollPeriod is the time between two checks whether the records of a stopping agent are confirmed.
const confirmPollPeriod = 100 * time.Millisecond

// awaitConfirmed waits until the entries have confirmed the agent's usage records or ctx ends.
func (a *Agent) awaitConfirmed(ctx context.Context) {
	tick := a.clock.Every(confirmPollPeriod)
	defer tick.Stop()
	for a.records.Len() > 0 {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}
