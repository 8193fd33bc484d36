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

// defaultPlanning is the time between two plans when the settings give none.
const defaultPlanning = 10 * time.Second

// orders plans the targets of the entry's region and campaigns for the duty that orders them.
type orders struct {
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
	// plan is the last plan of this process.
	plan atomic.Pointer[placer.Plan]
}

func newOrders(
	s loader.Settings, u *usage, store *storer.Storer, log *logger.Logger, m *membership, config *configurator.Configurator,
	waiting func() int,
) *orders {
	o := &orders{
		clock: u.clock, log: log, peers: m.peers, tracker: m.tracker, config: config, waiting: waiting, leaser: u.leaser,
		region: identifier.Region(s.Region), settings: s.Orders,
	}
	if o.settings.Period == 0 {
		o.settings.Period = loader.Duration(defaultPlanning)
	}
	if o.settings.Capacity == 0 {
		o.settings.Capacity = defaultConcurrency
	}
	settings := orderer.Settings{Region: o.region, Fenced: s.Orders.Fenced, Drain: time.Duration(s.Orders.Drain)}
	o.orderer = orderer.NewOrderer(
		settings, store, codec.Orders{}, platformclient.NewOrders(u.platform, o.region), o, u.leaser, u.clock, o.tell)
	return o
}

// run campaigns for the duty of the region until ctx ends, if the settings let this process order targets.
func (o *orders) run(ctx context.Context) {
	if !o.settings.Enabled {
		return
	}
	o.leaser.Campaign(ctx, orderer.Duty(o.region), func(ctx context.Context, t leaser.Term) {
		tick := o.clock.Every(time.Duration(o.settings.Period))
		defer tick.Stop()
		for ctx.Err() == nil {
			if !o.orderer.Round(ctx, t.Fence, o.want) && ctx.Err() == nil {
				o.log.Emit(logger.OrdersHeld, "region", o.region, "fence", t.Fence)
			}
			select {
			case <-tick.C():
			case <-ctx.Done():
			}
		}
	})
}

// want returns the orders of the next plan. A start that the platform has not shown yet can't be stopped.
func (o *orders) want(vms []orderer.VM, open []orderer.Order) []placer.Order {
	plan := o.next(vms, open)
	return slices.DeleteFunc(slices.Clone(plan.Orders), func(p placer.Order) bool {
		listed := slices.ContainsFunc(vms, func(vm orderer.VM) bool { return vm.Target == p.Target })
		return p.Kind == placer.Stop && !listed
	})
}

// next makes the next plan from what this entry sees and remembers it.
func (o *orders) next(vms []orderer.VM, open []orderer.Order) placer.Plan {
	running := make(map[identifier.Target]int)
	load := make(map[identifier.Service]float64)
	for _, t := range o.tracker.View().Targets() {
		running[t.ID] = t.Running
		if t.Region == o.region {
			load[t.Service] += float64(t.Running) / float64(o.settings.Capacity)
		}
	}
	doc := o.config.Current()
	v := placer.View{Now: o.clock.Boot(), Settings: o.settingsOf(), Rule: doc.Rule()}
	for _, z := range doc.Zones() {
		if z.Region == o.region {
			v.Zones = append(v.Zones, o.zone(z.Name))
		}
	}
	// A service is planned where it has targets; the first one of a region is an operator's decision.
	planned := make(map[identifier.Service]bool)
	for _, vm := range vms {
		if !planned[vm.Service] {
			planned[vm.Service] = true
			v.Demands = append(v.Demands, placer.Demand{
				Service: vm.Service, Arrivals: load[vm.Service], Queue: float64(o.waiting()) / float64(o.settings.Capacity),
				MinTargets: max(o.settings.Smallest, 1),
			})
		}
	}
	v.Targets = orderer.Targets(vms, open, func(t identifier.Target) int { return running[t] })
	if last := o.plan.Load(); last != nil {
		v = v.WithHistory(last.History)
	}
	plan := placer.MakePlan(v)
	o.plan.Store(&plan)
	return plan
}

func (o *orders) settingsOf() placer.Settings {
	s := placer.DefaultSettings()
	if o.settings.Startup > 0 {
		s.Startup = time.Duration(o.settings.Startup)
	}
	if o.settings.Hold > 0 {
		s.Hold = time.Duration(o.settings.Hold)
	}
	return s
}

// zone returns a zone with its price and limit; a zone without settings has price 1.
func (o *orders) zone(name identifier.Zone) placer.Zone {
	for _, z := range o.settings.Zones {
		if z.Name == string(name) {
			return placer.Zone{Name: name, Price: z.Price, Limit: z.Limit}
		}
	}
	return placer.Zone{Name: name, Price: 1}
}

// Drain makes a target take no new work and reports whether it is idle. The agent refuses an old fencing number.
func (o *orders) Drain(ctx context.Context, t identifier.Target, fence identifier.Fence, until time.Duration) (idle, ok bool) {
	address, ok := o.address(t)
	if !ok || o.clock.Boot() >= until {
		return false, false
	}
	return o.peers.Drain(ctx, address, fence)
}

// Engine sends an order to the engine of a target.
func (o *orders) Engine(ctx context.Context, t identifier.Target, order orderer.EngineOrder, until time.Duration) orderer.Outcome {
	address, ok := o.address(t)
	if !ok || o.clock.Boot() >= until {
		return orderer.Unsent
	}
	return o.peers.Engine(ctx, address, order)
}

func (o *orders) address(t identifier.Target) (string, bool) {
	for _, m := range o.tracker.Members() {
		if m.Target == t {
			return m.Address, true
		}
	}
	return "", false
}

// tell logs what an operator should know about an order.
func (o *orders) tell(e orderer.Event, order orderer.Order) {
	event := map[orderer.Event]logger.Event{
		orderer.NotDrained: logger.TargetNotDrained, orderer.NotStarted: logger.TargetNotStarted, orderer.NotAccepted: logger.OrderRefused,
	}[e]
	o.log.Emit(event, "order", order.ID, "kind", order.Kind, "target", order.Target, "zone", order.Zone, "service", order.Service)
}
