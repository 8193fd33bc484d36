package placer

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/mimosalb/mimosalb/internal/decider"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Kind is the kind of an order.
type Kind string

const (
	// Start starts a target.
	Start Kind = "start"
	// Stop drains a target and stops it when it is idle.
	Stop Kind = "stop"
)

// Order requests the start or the stop of one target.
type Order struct {
	Kind    Kind
	Service identifier.Service
	Zone    identifier.Zone
	// Target is the target to stop; empty in an order to start one.
	Target identifier.Target
	Reason string
}

// Need holds the number of targets that one service needs, with the figures from which it follows.
type Need struct {
	Service identifier.Service
	// Forecast is the load expected at the time when a target ordered now begins to serve, including planned training
	// windows and the queue.
	Forecast float64
	// Base is the number of targets for that load, Held the largest Base within the hold time.
	Base int
	Held int
	// Wanted is Base plus the targets for the spare zones; Have counts the targets that run or start.
	Wanted int
	Have   int
	Reason string
}

// Plan holds the needs of the services, the orders that meet them and the history for the next plan.
type Plan struct {
	Needs   []Need
	Orders  []Order
	History History
}

// scalingState is the state of one service on which the policies decide.
type scalingState struct {
	need Need
	// growTo and shrinkTo are the numbers of targets per zone that meet Base and Held.
	growTo, shrinkTo []int
	have             []int
	// survivors is the number of targets that remain when the spare zones are lost.
	survivors int
	// holdCovered is set when the needs of the whole hold time are known.
	holdCovered bool
}

// policies apply in order of priority: a shortage is met at once, a surplus is stopped only after the hold time, and
// otherwise nothing changes.
var policies = decider.NewChain(
	decider.WithPriority[decider.Policy[scalingState, change]](decider.Func[scalingState, change](grow), 10),
	decider.WithPriority[decider.Policy[scalingState, change]](decider.Func[scalingState, change](shrink), 20),
	decider.WithPriority[decider.Policy[scalingState, change]](decider.Func[scalingState, change](keep), 30),
)

// change holds the number of targets to start (positive) or stop (negative) in each zone.
type change struct {
	zones  []int
	reason string
}

// MakePlan returns the plan for a view.
func MakePlan(v View) Plan {
	p := Plan{History: History{services: make(map[identifier.Service]serviceHistory)}}
	zones := slices.Clone(v.Zones)
	slices.SortStableFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	for _, d := range v.Demands {
		history := v.History.services[d.Service]
		history.forecast = history.forecast.With(d.Arrivals, v.Now, v.Settings.Smoothing)
		need := v.forecastNeed(d, history.forecast)
		history = history.withNeed(need.Base, v.Now, v.Settings.Hold)
		need.Held = history.peak()
		p.History.services[d.Service] = history
		s := scalingState{need: need, have: v.activeTargets(d.Service, zones), holdCovered: history.covers(v.Settings.Hold)}
		s.survivors = survivors(s.have, min(v.Rule.SpareZones, availableZones(zones)-1))
		s.growTo = spread(need.Base, v.Rule.SpareZones, zones, s.have)
		s.shrinkTo = spread(need.Held, v.Rule.SpareZones, zones, s.have)
		s.need.Wanted, s.need.Have = sum(s.growTo), sum(s.have)
		c, _ := policies.Decide(s)
		s.need.Reason = c.reason
		p.Needs = append(p.Needs, s.need)
		p.Orders = append(p.Orders, v.orders(d.Service, zones, c)...)
	}
	return p
}

const (
	// windowMarginDivisor divides the start-up time to give the time after a target ordered now is ready within which a
	// training window that starts counts towards the need.
	windowMarginDivisor = 2
	// roundingTolerance is the excess of the load, in targets, that counts as a rounding error.
	roundingTolerance = 1e-9
)

// forecastNeed returns the need of a service for its expected load, without the figures that depend on zones.
func (v View) forecastNeed(d Demand, f Forecast) Need {
	s := v.Settings
	ready := v.Now + s.Startup
	// The current load is the minimum: a falling trend must not remove targets that are busy now.
	load := max(f.At(ready), d.Arrivals)
	for _, w := range v.Windows {
		// The load of a window that has started is already part of the arrivals.
		if w.Service == d.Service && w.Start > v.Now && w.Start <= ready+s.Startup/windowMarginDivisor {
			load += w.Load
		}
	}
	if s.Deadline > 0 {
		load += max(0, d.Queue/s.Deadline.Seconds())
	}
	// Without the subtraction, a rounding error could raise a whole number of targets by one.
	base := int(math.Ceil(load*(1+s.Headroom) - roundingTolerance))
	return Need{Service: d.Service, Forecast: load, Base: max(base, d.MinTargets, 1)}
}

// activeTargets returns the number of targets of a service in each zone that run or start. Lost zones have none.
func (v View) activeTargets(s identifier.Service, zones []Zone) []int {
	have := make([]int, len(zones))
	for _, t := range v.Targets {
		if t.Service != s || t.State == Draining {
			continue
		}
		if i := slices.IndexFunc(zones, func(z Zone) bool { return z.Name == t.Zone && !z.Lost }); i >= 0 {
			have[i]++
		}
	}
	return have
}

func grow(s scalingState) (change, bool) {
	if s.survivors >= s.need.Base {
		return change{}, false
	}
	c := change{zones: make([]int, len(s.have))}
	for i := range s.have {
		c.zones[i] = max(0, s.growTo[i]-s.have[i])
	}
	c.reason = fmt.Sprintf("expected load of %.2f targets: %d wanted, %d running or starting", s.need.Forecast, sum(s.growTo), sum(s.have))
	return c, sum(c.zones) > 0
}

func shrink(s scalingState) (change, bool) {
	surplus := sum(s.have) - sum(s.shrinkTo)
	if surplus <= 0 || !s.holdCovered {
		return change{}, false
	}
	c := change{zones: make([]int, len(s.have))}
	// Targets are stopped in the most expensive zones first, which come last in the slice.
	for i := len(s.have) - 1; i >= 0 && surplus > 0; i-- {
		n := min(surplus, max(0, s.have[i]-s.shrinkTo[i]))
		c.zones[i] -= n
		surplus -= n
	}
	c.reason = fmt.Sprintf("%d targets sufficed during the whole hold time, %d running or starting", sum(s.shrinkTo), sum(s.have))
	return c, sum(c.zones) < 0
}

func keep(s scalingState) (change, bool) {
	return change{zones: make([]int, len(s.have)), reason: fmt.Sprintf("%d wanted, %d running or starting", sum(s.growTo), sum(s.have))}, true
}

// orders returns the orders for a change. In each zone the targets that are starting are stopped first, then the least
// busy ones.
func (v View) orders(s identifier.Service, zones []Zone, c change) []Order {
	var orders []Order
	for i, n := range c.zones {
		for range n {
			orders = append(orders, Order{Kind: Start, Service: s, Zone: zones[i].Name, Reason: c.reason})
		}
		if n >= 0 {
			continue
		}
		var active []Target
		for _, t := range v.Targets {
			if t.Service == s && t.Zone == zones[i].Name && t.State != Draining {
				active = append(active, t)
			}
		}
		slices.SortFunc(active, func(a, b Target) int {
			return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID))
		})
		for _, t := range active[:min(-n, len(active))] {
			orders = append(orders, Order{Kind: Stop, Service: s, Zone: t.Zone, Target: t.ID, Reason: c.reason})
		}
	}
	return orders
}

func sum(n []int) int {
	total := 0
	for _, x := range n {
		total += x
	}
	return total
}
