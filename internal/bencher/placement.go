package bencher

import (
	"context"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/placer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

var _ = Register("placement", placement)

// simZones are the availability zones of a deployment; the first one is lost for an hour.
var simZones = []identifier.Zone{"first", "second", "third"}

// simTarget is a target of the replay.
type simTarget struct {
	id    identifier.Target
	zone  identifier.Zone
	state placer.State
	until time.Duration
}

// replay is one day of one service under one policy.
type replay struct {
	clock   *timer.Manual
	begin   time.Duration
	fleet   fleet
	load    []float64
	targets []simTarget
	made    int
	queue   []float64
	// loss makes the first zone fail for an hour.
	loss bool
	// cost is in target-seconds; missed is the work done after its deadline, in target-seconds.
	cost   float64
	missed float64
}

// scaler decides on starts and stops at each step: it returns the zones to start in and the targets to stop.
type scaler func(r *replay, at time.Duration, arrivals float64) (start []identifier.Zone, stop []identifier.Target)

// run replays the day on the manual timer.
func (r *replay) run(decide scaler) {
	for i, x := range r.load {
		at := r.clock.Boot() - r.begin
		r.advanceTargets(at)
		start, stop := decide(r, at, x)
		for _, z := range start {
			r.start(z, at+simStartup)
		}
		for j := range r.targets {
			if slices.Contains(stop, r.targets[j].id) {
				r.targets[j].state, r.targets[j].until = placer.Draining, at+simDrain
			}
		}
		r.serve(i, x)
		r.clock.Advance(simStep)
	}
	// What waits at the end of the day beyond its deadline is late too.
	for i, w := range r.queue {
		if time.Duration(len(r.queue)-i)*simStep > simDeadline {
			r.missed += w
		}
	}
}

func (r *replay) start(z identifier.Zone, ready time.Duration) {
	r.made++
	r.targets = append(r.targets, simTarget{
		id: identifier.Target("t" + strconv.Itoa(r.made)), zone: z, state: placer.Starting, until: ready,
	})
}

// lost reports whether a zone is lost at a time.
func (r *replay) lost(z identifier.Zone, at time.Duration) bool {
	return r.loss && z == simZones[0] && at >= lossStart && at < lossEnd
}

// advanceTargets ends starts and drains, and takes away the targets of a lost zone. A fixed fleet gets them back with
// the zone, see fixedScaler.
func (r *replay) advanceTargets(at time.Duration) {
	r.targets = slices.DeleteFunc(r.targets, func(t simTarget) bool {
		return r.lost(t.zone, at) || t.state == placer.Draining && at >= t.until
	})
	for i, t := range r.targets {
		if t.state == placer.Starting && at >= t.until {
			r.targets[i].state = placer.Running
		}
	}
}

// serve adds the arrivals of a step to the queue and works on it in order. What is older than the deadline is late.
func (r *replay) serve(step int, arrivals float64) {
	dt := simStep.Seconds()
	running := 0
	for _, t := range r.targets {
		if t.state == placer.Running {
			running++
		}
	}
	r.cost += float64(len(r.targets)) * dt
	r.queue = append(r.queue, arrivals*dt)
	work := float64(running) * dt
	first := step + 1 - len(r.queue)
	for len(r.queue) > 0 && work > 0 {
		done := min(work, r.queue[0])
		work -= done
		r.queue[0] -= done
		if time.Duration(step-first)*simStep > simDeadline {
			r.missed += done
		}
		if r.queue[0] > 1e-9 {
			break
		}
		r.queue = r.queue[1:]
		first++
	}
}

func (r *replay) waiting() float64 {
	total := 0.0
	for _, w := range r.queue {
		total += w
	}
	return total
}

// planScaler follows the placer.
func planScaler() scaler {
	var memory placer.History
	return func(r *replay, at time.Duration, arrivals float64) ([]identifier.Zone, []identifier.Target) {
		v := placer.View{Now: at, Settings: placer.DefaultSettings()}
		for _, z := range simZones {
			v.Zones = append(v.Zones, placer.Zone{Name: z, Price: 1, Lost: r.lost(z, at)})
		}
		service := identifier.Service(r.fleet.service)
		// The work of one step does not wait if there is a target for it.
		queue := max(0, r.waiting()-arrivals*simStep.Seconds())
		v.Demands = []placer.Demand{{Service: service, Arrivals: arrivals, Queue: queue, MinTargets: 1}}
		if r.fleet.trained {
			v.Windows = []placer.TrainingWindow{{Service: service, Start: trainingStart, End: trainingEnd, Load: trainingShare * r.fleet.peak}}
		}
		for _, t := range r.targets {
			v.Targets = append(v.Targets, placer.Target{ID: t.id, Service: service, Zone: t.zone, State: t.state})
		}
		plan := placer.MakePlan(v.WithHistory(memory))
		memory = plan.History
		var start []identifier.Zone
		var stop []identifier.Target
		for _, o := range plan.Orders {
			if o.Kind == placer.Start {
				start = append(start, o.Zone)
			} else {
				stop = append(stop, o.Target)
			}
		}
		return start, stop
	}
}

// fixedScaler keeps the peak of the day at all times. Its targets return with a lost zone.
func fixedScaler(r *replay, at time.Duration, _ float64) ([]identifier.Zone, []identifier.Target) {
	peak := int(math.Ceil(slices.Max(r.load)))
	count := make(map[identifier.Zone]int)
	for _, t := range r.targets {
		count[t.zone]++
	}
	var start []identifier.Zone
	for i := range peak {
		z := simZones[i%len(simZones)]
		if count[z]--; count[z] < 0 && !r.lost(z, at) {
			start = append(start, z)
		}
	}
	return start, nil
}

// thresholdScaler adds a target above four fifths of utilisation and stops one below a half, at most one a minute.
func thresholdScaler() scaler {
	last := -time.Hour
	return func(r *replay, at time.Duration, arrivals float64) ([]identifier.Zone, []identifier.Target) {
		active := slices.DeleteFunc(slices.Clone(r.targets), func(t simTarget) bool { return t.state == placer.Draining })
		used := arrivals / max(float64(len(active)), 1)
		if at-last < time.Minute {
			return nil, nil
		}
		switch {
		case used > 0.8 || len(active) == 0:
			last = at
			z := simZones[len(active)%len(simZones)]
			if r.lost(z, at) {
				z = simZones[1]
			}
			return []identifier.Zone{z}, nil
		case used < 0.5 && len(active) > 1:
			last = at
			return nil, []identifier.Target{active[len(active)-1].id}
		default:
			return nil, nil
		}
	}
}

// newReplay begins a day with the targets that its first load needs, all running.
func newReplay(f fleet, load []float64, loss bool) *replay {
	clock := &timer.Manual{}
	r := &replay{clock: clock, begin: clock.Boot(), fleet: f, load: load, loss: loss}
	for i := range max(1, int(math.Ceil(load[0]))) {
		r.start(simZones[i%len(simZones)], 0)
	}
	return r
}

func placement(context.Context) ([]Figure, error) {
	deployments := []struct {
		name   string
		fleets []fleet
	}{
		{"lumentra", []fleet{{service: "sortmind", peak: 9, trained: true}, {service: "haulbook", peak: 3}}},
		{"magnolia", []fleet{{service: "matcher", peak: 8, trained: true}, {service: "ledger", peak: 6}}},
	}
	figures := make([]Figure, 0, 4*len(deployments))
	for d, deployment := range deployments {
		var cost, best, missed, fixedCost, fixedMissed, thresholdCost, thresholdMissed, calmMissed, calmFixedMissed float64
		for i, f := range deployment.fleets {
			load := dayCurve(f, uint64(10*d+i))
			plan, fixed, threshold := newReplay(f, load, true), newReplay(f, load, true), newReplay(f, load, true)
			calm, calmFixed := newReplay(f, load, false), newReplay(f, load, false)
			calm.run(planScaler())
			calmFixed.run(fixedScaler)
			calmMissed, calmFixedMissed = calmMissed+calm.missed, calmFixedMissed+calmFixed.missed
			plan.run(planScaler())
			fixed.run(fixedScaler)
			threshold.run(thresholdScaler())
			cost, missed = cost+plan.cost, missed+plan.missed
			fixedCost, fixedMissed = fixedCost+fixed.cost, fixedMissed+fixed.missed
			thresholdCost, thresholdMissed = thresholdCost+threshold.cost, thresholdMissed+threshold.missed
			best += clairvoyant(load)
		}
		const hour = 3600
		prefix := "placement/" + deployment.name
		figures = append(figures,
			Figure{Name: prefix + "-cost", Unit: "target-h", Value: cost / hour, Baseline: best / hour, Target: AtMostTimes(1.15)},
			Figure{Name: prefix + "-cost-fixed", Unit: "target-h", Value: fixedCost / hour, Baseline: best / hour},
			Figure{Name: prefix + "-cost-threshold", Unit: "target-h", Value: thresholdCost / hour, Baseline: best / hour},
			Figure{Name: prefix + "-missed", Unit: "target-s", Value: missed, Baseline: fixedMissed, Target: AtMostTimes(1)},
			// Without the zone loss the fixed fleet has all that it needs.
			Figure{Name: prefix + "-missed-without-loss", Unit: "target-s", Value: calmMissed, Target: AtMost(calmFixedMissed)},
			Figure{Name: prefix + "-missed-threshold", Unit: "target-s", Value: thresholdMissed, Baseline: fixedMissed},
		)
	}
	return figures, nil
}
