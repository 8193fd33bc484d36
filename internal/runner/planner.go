package runner

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/placer"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/tracker"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// defaultPlanPeriod is the time between two plans if the settings give none.
const defaultPlanPeriod = 10 * time.Second

// planner plans the targets of the entry's region and campaigns for the duty to send the resulting orders.
type planner struct {
	clock    timer.Service
	log      *logger.Logger
	peers    *rpcclient.Client
	tracker  *tracker.Tracker
	config   *configurator.Configurator
	waiting  func() int
	leaser   *leaser.Leaser
	orderer  *orderer.Orderer
	region   identifier.Region
	settings loader.Orders
	// plan is the last plan that this process made.
	plan atomic.Pointer[placer.Plan]
}

func newPlanner(
	s loader.Settings, u *usage, store *storer.Storer, log *logger.Logger, m *membership, config *configurator.Configurator,
	waiting func() int,
) *planner {
	p := &planner{
		clock: u.clock, log: log, peers: m.peers, tracker: m.tracker, config: config, waiting: waiting, leaser: u.leaser,
		region: identifier.Region(s.Region), settings: s.Orders,
	}
	if p.settings.Period == 0 {
		p.settings.Period = loader.Duration(defaultPlanPeriod)
	}
	if p.settings.Capacity == 0 {
		p.settings.Capacity = defaultConcurrency
	}
	settings := orderer.Settings{Region: p.region, Fenced: s.Orders.Fenced, Drain: time.Duration(s.Orders.Drain)}
	p.orderer = orderer.NewOrderer(
		settings, store, codec.Orders{}, platformclient.NewOrders(u.platform, p.region), p, u.leaser, u.clock, p.logEvent)
	return p
}

// run campaigns for the duty of the region until ctx ends, if the settings allow this process to order targets.
func (p *planner) run(ctx context.Context) {
	if !p.settings.Enabled {
		return
	}
	p.leaser.Campaign(ctx, orderer.Duty(p.region), func(ctx context.Context, t leaser.Term) {
		tick := p.clock.Every(time.Duration(p.settings.Period))
		defer tick.Stop()
		for ctx.Err() == nil {
			if !p.orderer.RunRound(ctx, t.Fence, p.wantedOrders) && ctx.Err() == nil {
				p.log.Emit(logger.OrdersHeld, "region", p.region, "fence", t.Fence)
			}
			select {
			case <-tick.C():
			case <-ctx.Done():
			}
		}
	})
}

// wantedOrders returns the orders of the next plan without stops of targets that the VM list does not contain: a start
// that the platform has not listed yet cannot be stopped.
func (p *planner) wantedOrders(vms []orderer.VM, open []orderer.Order) []placer.Order {
	plan := p.makePlan(vms, open)
	return slices.DeleteFunc(slices.Clone(plan.Orders), func(order placer.Order) bool {
		listed := slices.ContainsFunc(vms, func(vm orderer.VM) bool { return vm.Target == order.Target })
		return order.Kind == placer.Stop && !listed
	})
}

// makePlan makes the next plan from this entry's view of the targets and stores it.
func (p *planner) makePlan(vms []orderer.VM, open []orderer.Order) placer.Plan {
	running := make(map[identifier.Target]int)
	load := make(map[identifier.Service]float64)
	for _, t := range p.tracker.View().Targets() {
		running[t.ID] = t.Running
		if t.Region == p.region {
			load[t.Service] += float64(t.Running) / float64(p.settings.Capacity)
		}
	}
	doc := p.config.Current()
	v := placer.View{Now: p.clock.Monotonic(), Settings: p.placerSettings(), Rule: doc.Rule()}
	for _, z := range doc.Zones() {
		if z.Region == p.region {
			zone := p.placerZone(z.Name)
			// Targets of an evacuated zone are no capacity; what they served has to find room elsewhere.
			zone.Lost = doc.Evacuated().Contains(z.Name)
			v.Zones = append(v.Zones, zone)
		}
	}
	// A service is planned only if it has targets in the region; an operator starts the first one.
	planned := make(map[identifier.Service]bool)
	for _, vm := range vms {
		if !planned[vm.Service] {
			planned[vm.Service] = true
			v.Demands = append(v.Demands, placer.Demand{
				Service: vm.Service, Arrivals: load[vm.Service], Queue: float64(p.waiting()) / float64(p.settings.Capacity),
				MinTargets: max(p.settings.Smallest, 1),
			})
		}
	}
	v.Targets = orderer.Targets(vms, open, func(t identifier.Target) int { return running[t] })
	if last := p.plan.Load(); last != nil {
		v = v.WithHistory(last.History)
	}
	plan := placer.MakePlan(v)
	p.plan.Store(&plan)
	return plan
}

func (p *planner) placerSettings() placer.Settings {
	s := placer.DefaultSettings()
	if p.settings.Startup > 0 {
		s.Startup = time.Duration(p.settings.Startup)
	}
	if p.settings.Hold > 0 {
		s.Hold = time.Duration(p.settings.Hold)
	}
	return s
}

// placerZone returns a zone with its price and limit. A zone without settings has price 1 and no limit.
func (p *planner) placerZone(name identifier.Zone) placer.Zone {
	for _, z := range p.settings.Zones {
		if z.Name == string(name) {
			return placer.Zone{Name: name, Price: z.Price, Limit: z.Limit}
		}
	}
	return placer.Zone{Name: name, Price: 1}
}

// Drain makes a target accept no new work and reports whether it is idle. The agent refuses an old fencing number.
func (p *planner) Drain(ctx context.Context, t identifier.Target, fence identifier.Fence, deadline time.Duration) (idle, ok bool) {
	address, ok := p.agentAddress(t)
	if !ok || p.clock.Monotonic() >= deadline {
		return false, false
	}
	return p.peers.Drain(ctx, address, fence)
}

// SendEngineOrder sends an order to the engine of a target.
func (p *planner) SendEngineOrder(ctx context.Context, t identifier.Target, order orderer.EngineOrder, deadline time.Duration) orderer.Outcome {
	address, ok := p.agentAddress(t)
	if !ok || p.clock.Monotonic() >= deadline {
		return orderer.Unsent
	}
	return p.peers.SendEngineOrder(ctx, address, order)
}

func (p *planner) agentAddress(t identifier.Target) (string, bool) {
	for _, m := range p.tracker.Members() {
		if m.Target == t {
			return m.Address, true
		}
	}
	return "", false
}

// logEvent logs an event of an order that operators should see.
func (p *planner) logEvent(e orderer.Event, order orderer.Order) {
	event := map[orderer.Event]logger.Event{
		orderer.NotDrained: logger.TargetNotDrained, orderer.NotStarted: logger.TargetNotStarted, orderer.NotAccepted: logger.OrderRefused,
	}[e]
	p.log.Emit(event, "order", order.ID, "kind", order.Kind, "target", order.Target, "zone", order.Zone, "service", order.Service)
}
