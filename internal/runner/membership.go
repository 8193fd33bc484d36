package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/tracker"
)

// membership maintains an entry's view of the targets from the VM list, the digest of the entry's zone, the summaries of
// other zones and its own probes of a few agents.
type membership struct {
	clock     timer.Service
	log       *logger.Logger
	peers     *rpcclient.Client
	zone      identifier.Zone
	region    identifier.Region
	seed      uint64
	tracker   *tracker.Tracker
	assembler *tracker.Assembler
	router    *router.Router
	config    *configurator.Configurator
	period    time.Duration

	// adopting is held from the making of a view to its adoption.
	adopting sync.Mutex
	// stranded are the services without a target outside the evacuated zones, as of the last refresh.
	stranded evacuator.Stranded
	// unserved are the restrictions to regions without a listed target, as of the last refresh.
	unserved []configurator.Unserved
	// listed holds the targets of the last VM list.
	listed atomic.Pointer[[]tracker.Member]
	probes map[string]context.CancelFunc
	tasks  sync.WaitGroup
}

// adoptList records the targets of a VM list for the next refresh.
func (m *membership) adoptList(vms []platformclient.VM) {
	var list []tracker.Member
	for _, vm := range vms {
		if vm.Role == platformclient.RoleTarget {
			list = append(list, tracker.Member{
				Target: vm.Target, Service: vm.Service, Zone: vm.Zone, Region: vm.Region,
				Address: vm.Address, Leaving: vm.State == platformclient.StateLeaving,
			})
		}
	}
	m.listed.Store(&list)
}

// run refreshes the view each period until ctx ends.
func (m *membership) run(ctx context.Context) {
	defer m.tasks.Wait()
	tick := m.clock.Every(m.period)
	defer tick.Stop()
	for {
		m.refresh(ctx)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (m *membership) refresh(ctx context.Context) {
	now := m.clock.Monotonic()
	if list := m.listed.Load(); list != nil {
		m.tracker.AdoptList(*list, now)
	}
	rows, older := m.assembler.ZoneRows(now)
	for _, c := range m.tracker.AdoptRows(m.zone, rows, older, now) {
		m.logStatus(c.Target, c.After, nil)
	}
	m.tracker.AdoptSummaries(m.assembler.Summaries(func(z identifier.Zone) bool { return z != m.zone }))
	m.updateProbes(ctx, m.tracker.Probes(m.zone, m.region, m.seed, tracker.DefaultProbes, now, m.period))
	m.adoptView()
	m.logStranded()
	m.logUnserved()
}

// updateProbes starts a probe for each member of list that has none and cancels the probes of members that are not in
// list.
func (m *membership) updateProbes(ctx context.Context, list []tracker.Member) {
	listed := make(map[string]bool, len(list))
	for _, member := range list {
		id := string(member.Target) + "@" + member.Address
		listed[id] = true
		if _, ok := m.probes[id]; ok {
			continue
		}
		probeCtx, cancel := context.WithCancel(ctx)
		m.probes[id] = cancel
		m.tasks.Go(func() {
			m.probe(probeCtx, member)
			m.tracker.EndProbing(member.Target)
		})
	}
	for id, cancel := range m.probes {
		if !listed[id] {
			cancel()
			delete(m.probes, id)
		}
	}
}

// probe requests the report of an agent each period until ctx ends.
func (m *membership) probe(ctx context.Context, member tracker.Member) {
	tick := m.clock.Every(m.period)
	defer tick.Stop()
	for {
		m.probeOnce(ctx, member)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (m *membership) probeOnce(ctx context.Context, member tracker.Member) {
	reply, err := m.peers.Report(ctx, member.Address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		before, after := m.tracker.RecordFailure(member.Target)
		if before != after {
			m.logStatus(member.Target, after, err)
			m.adoptView()
		}
		return
	}
	report := tracker.Report{
		Incarnation: reply.Incarnation, Running: reply.Running, Draining: reply.Draining, Version: reply.Version, Release: reply.Release,
	}
	before, after := m.tracker.RecordReport(member.Target, report, m.clock.Monotonic())
	if before != after {
		m.logStatus(member.Target, after, nil)
	}
	m.adoptView()
}

func (m *membership) logStatus(target identifier.Target, after tracker.Status, err error) {
	switch after {
	case tracker.Silent:
		m.log.Emit(logger.TargetSilent, "target", target, "error", err)
	case tracker.Serving:
		m.log.Emit(logger.TargetServing, "target", target)
	default:
	}
}
