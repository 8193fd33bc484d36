package runner

import (
	"context"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/tracker"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// membership keeps an entry's view of the targets: it reads the VM list and probes each listed agent.
type membership struct {
	clock    timer.Service
	log      *logger.Logger
	peers    *rpcclient.Client
	platform *platformclient.Client
	tracker  *tracker.Tracker
	router   *router.Router
	period   time.Duration
	// listed is called with each VM list.
	listed func([]platformclient.VM)

	probing map[string]context.CancelFunc
	tasks   sync.WaitGroup
}

func period(s loader.Settings) time.Duration {
	if s.Period > 0 {
		return time.Duration(s.Period)
	}
	return loader.DefaultPeriod
}

// run reads the VM list each period until ctx ends.
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
	vms, err := m.platform.VMs(ctx)
	if err != nil {
		m.log.Emit(logger.ListUnavailable, "error", err)
		return
	}
	if m.listed != nil {
		m.listed(vms)
	}
	var list []tracker.Member
	for _, vm := range vms {
		if vm.Role == platformclient.RoleTarget {
			list = append(list, tracker.Member{
				Target: vm.Target, Service: vm.Service, Zone: vm.Zone, Region: vm.Region,
				Address: vm.Address, Leaving: vm.State == platformclient.StateLeaving,
			})
		}
	}
	m.tracker.AdoptList(list)
	m.watch(ctx, list)
	m.router.Adopt(m.tracker.View())
}

// watch starts a probe for each new member and ends those of members that are gone.
func (m *membership) watch(ctx context.Context, list []tracker.Member) {
	listed := make(map[string]bool, len(list))
	for _, member := range list {
		id := string(member.Target) + "@" + member.Address
		listed[id] = true
		if _, ok := m.probing[id]; ok {
			continue
		}
		probeCtx, cancel := context.WithCancel(ctx)
		m.probing[id] = cancel
		m.tasks.Go(func() { m.probe(probeCtx, member) })
	}
	for id, cancel := range m.probing {
		if !listed[id] {
			cancel()
			delete(m.probing, id)
		}
	}
}

// probe asks an agent for its report each period until ctx ends.
func (m *membership) probe(ctx context.Context, member tracker.Member) {
	tick := m.clock.Every(m.period)
	defer tick.Stop()
	for {
		m.ask(ctx, member)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (m *membership) ask(ctx context.Context, member tracker.Member) {
	reply, err := m.peers.Report(ctx, member.Address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		before, after := m.tracker.Miss(member.Target)
		if before != after {
			m.log.Emit(logger.TargetSilent, "target", member.Target, "error", err)
			m.router.Adopt(m.tracker.View())
		}
		return
	}
	report := tracker.Report{
		Incarnation: reply.Incarnation, Running: reply.Running, Draining: reply.Draining, Version: reply.Version,
	}
	before, after := m.tracker.Observe(member.Target, report, m.clock.Boot())
	if before != after && after == tracker.Serving {
		m.log.Emit(logger.TargetServing, "target", member.Target)
	}
	m.router.Adopt(m.tracker.View())
}
