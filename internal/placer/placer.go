package placer

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/mimosalb/mimosalb/internal/decider"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Kind tells what an order does.
type Kind string

const (
	// Start starts a target.
	Start Kind = "start"
	// Stop drains a target and stops it once it is idle.
	Stop Kind = "stop"
)

// Order is one change that a plan asks for.
type Order struct {
	Kind    Kind
	Service identifier.Service
	Zone    identifier.Zone
	// Target is the target to stop.
	Target identifier.Target
	Reason string
}

// Need explains the number of targets of one service.
type Need struct {
	Service identifier.Service
	// Forecast is the load expected when a target that is ordered now serves, with planned training windows.
	Forecast float64
	// Base is the number of targets for that load and the queue, Held the largest Base within the hold time.
	Base int
	Held int
	// Wanted is the number with spare zones; Have counts the targets that run or start.
	Wanted int
	Have   int
	Reason string
}

// Plan is what is to be ordered, with the reasons.
type Plan struct {
	Needs   []Need
	Orders  []Order
	History History
}

// situation is what the policies decide on.
type situation struct {
	need Need
	// grow and shrink are the wanted targets of each zone for Base and for Held.
	grow, shrink []int
	have         []int
	// left is the number of targets that the loss of the spare zones leaves.
	left int
	// held is set when the needs of the whole hold time are known.
	held bool
}

// Policies in priority order: a shortage is met at once, a surplus only after the hold time, and otherwise nothing
// changes.
var policies = decider.NewChain(
	decider.WithPriority[decider.Policy[situation, change]](decider.Func[situation, change](grow), 10),
	decider.WithPriority[decider.Policy[situation, change]](decider.Func[situation, change](shrink), 20),
	decider.WithPriority[decider.Policy[situation, change]](decider.Func[situation, change](keep), 30),
)

// change is the number of targets to start (above zero) or stop (below) in each zone.
type change struct {
	zones  []int
	reason string
}

// MakePlan returns the plan for a view.
func MakePlan(v View) Plan {
	p := Plan{History: History{services: make(map[identifier.Service]recall)}}
	zones := slices.Clone(v.Zones)
	slices.SortStableFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	for _, d := range v.Demands {
		r := v.History.services[d.Service]
		r.forecast = r.forecast.With(d.Arrivals, v.Now, v.Settings.Smoothing)
		need := v.need(d, r.forecast)
		r = r.with(need.Base, v.Now, v.Settings.Hold)
		need.Held = r.peak()
		p.History.services[d.Service] = r
		s := situation{need: need, have: v.have(d.Service, zones), held: r.covers(v.Settings.Hold)}
		s.left = left(s.have, min(v.Rule.SpareZones, open(zones)-1))
		s.grow = spread(need.Base, v.Rule.SpareZones, zones, s.have)
		s.shrink = spread(need.Held, v.Rule.SpareZones, zones, s.have)
		s.need.Wanted, s.need.Have = sum(s.grow), sum(s.have)
		c, _ := policies.Decide(s)
		s.need.Reason = c.reason
		p.Needs = append(p.Needs, s.need)
		p.Orders = append(p.Orders, v.orders(d.Service, zones, c)...)
	}
	return p
}

// need returns the number of targets for the expected load of a service.
func (v View) need(d Demand, f Forecast) Need {
	s := v.Settings
	ready := v.Now + s.Startup
	// The load now counts too: a falling trend must not take away targets that are busy at present.
	load := max(f.At(ready), d.Arrivals)
	for _, w := range v.Windows {
		// While a window lasts, its load is part of the arrivals.
		if w.Service == d.Service && w.Start > v.Now && w.Start <= ready+s.Startup/2 {
			load += w.Load
		}
	}
	if s.Deadline > 0 {
		load += max(0, d.Queue/s.Deadline.Seconds())
	}
	base := int(math.Ceil(load*(1+s.Headroom) - 1e-9))
	return Need{Service: d.Service, Forecast: load, Base: max(base, d.MinTargets, 1)}
}

// have returns the targets of a service in each zone that run or start.
func (v View) have(s identifier.Service, zones []Zone) []int {
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

func grow(s situation) (change, bool) {
	if s.left >= s.need.Base {
		return change{}, false
	}
	c := change{zones: make([]int, len(s.have))}
	for i := range s.have {
		c.zones[i] = max(0, s.grow[i]-s.have[i])
	}
	c.reason = fmt.Sprintf("load of %.2f targets is expected: %d wanted, %d there", s.need.Forecast, sum(s.grow), sum(s.have))
	return c, sum(c.zones) > 0
}

func shrink(s situation) (change, bool) {
	surplus := sum(s.have) - sum(s.shrink)
	if surplus <= 0 || !s.held {
		return change{}, false
	}
	c := change{zones: make([]int, len(s.have))}
	// The most expensive zones come last.
	for i := len(s.have) - 1; i >= 0 && surplus > 0; i-- {
		n := min(surplus, max(0, s.have[i]-s.shrink[i]))
		c.zones[i] -= n
		surplus -= n
	}
	c.reason = fmt.Sprintf("%d targets were enough for the hold time, %d there", sum(s.shrink), sum(s.have))
	return c, sum(c.zones) < 0
}

func keep(s situation) (change, bool) {
	return change{zones: make([]int, len(s.have)), reason: fmt.Sprintf("%d wanted, %d there", sum(s.grow), sum(s.have))}, true
}

// orders names the targets of a change: of a zone's targets the starting ones stop first, then the least busy.
func (v View) orders(s identifier.Service, zones []Zone, c change) []Order {
	var orders []Order
	for i, n := range c.zones {
		for range n {
			orders = append(orders, Order{Kind: Start, Service: s, Zone: zones[i].Name, Reason: c.reason})
		}
		if n >= 0 {
			continue
		}
		var there []Target
		for _, t := range v.Targets {
			if t.Service == s && t.Zone == zones[i].Name && t.State != Draining {
				there = append(there, t)
			}
		}
		slices.SortFunc(there, func(a, b Target) int {
			return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID))
		})
		for _, t := range there[:min(-n, len(there))] {
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
