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

var _ = Register("placement", benchPlacement)

// replayZones are the availability zones of a deployment. With zoneLoss the first one is lost for an hour.
var replayZones = []identifier.Zone{"first", "second", "third"}

// replayTarget is a target of the replay. A target that starts or drains does so until stateUntil.
type replayTarget struct {
	id         identifier.Target
	zone       identifier.Zone
	state      placer.State
	stateUntil time.Duration
}

// replay simulates one day of one service with one scaler.
type replay struct {
	clock     *timer.Manual
	startedAt time.Duration
	service   serviceProfile
	load      []float64
	targets   []replayTarget
	// startedTargets counts all started targets, to give each one a new name.
	startedTargets int
	// queue holds the waiting work of each step in target-seconds, oldest first.
	queue []float64
	// zoneLoss makes the first zone fail for an hour.
	zoneLoss bool
	// cost is the time of all targets, and missedWork the work done after its deadline, both in target-seconds.
	cost       float64
	missedWork float64
}

// scaler is a scaling policy. At each step it returns the zones to start targets in and the targets to stop.
type scaler func(r *replay, at time.Duration, arrivals float64) (start []identifier.Zone, stop []identifier.Target)

// run replays the day with a scaler.
func (r *replay) run(decide scaler) {
	for i, arrivals := range r.load {
		at := r.clock.Monotonic() - r.startedAt
		r.advanceTargets(at)
		start, stop := decide(r, at, arrivals)
		for _, z := range start {
			r.start(z, at+replayStartup)
		}
		for j := range r.targets {
			if slices.Contains(stop, r.targets[j].id) {
				r.targets[j].state, r.targets[j].stateUntil = placer.Draining, at+replayDrain
			}
		}
		r.serve(i, arrivals)
		r.clock.Advance(replayStep)
	}
	// Work that still waits at the end of the day, after its deadline, counts as missed.
	for i, work := range r.queue {
		if time.Duration(len(r.queue)-i)*replayStep > replayDeadline {
			r.missedWork += work
		}
	}
}

// start adds a target that is starting until ready.
func (r *replay) start(z identifier.Zone, ready time.Duration) {
	r.startedTargets++
	r.targets = append(r.targets, replayTarget{
		id: identifier.Target("t" + strconv.Itoa(r.startedTargets)), zone: z, state: placer.Starting, stateUntil: ready,
	})
}

// lost reports whether a zone is lost at a time.
func (r *replay) lost(z identifier.Zone, at time.Duration) bool {
	return r.zoneLoss && z == replayZones[0] && at >= lossStart && at < lossEnd
}

// advanceTargets completes starts and drains, and removes the targets of a lost zone.
func (r *replay) advanceTargets(at time.Duration) {
	r.targets = slices.DeleteFunc(r.targets, func(t replayTarget) bool {
		return r.lost(t.zone, at) || t.state == placer.Draining && at >= t.stateUntil
	})
	for i, t := range r.targets {
		if t.state == placer.Starting && at >= t.stateUntil {
			r.targets[i].state = placer.Running
		}
	}
}

// serve adds the arrivals of a step to the queue and processes it in order. Work that is older than the deadline counts
// as missed.
func (r *replay) serve(step int, arrivals float64) {
	dt := replayStep.Seconds()
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
		if time.Duration(step-first)*replayStep > replayDeadline {
			r.missedWork += done
		}
		if r.queue[0] > roundingTolerance {
			break
		}
		r.queue = r.queue[1:]
		first++
	}
}

// waiting returns the queued work in target-seconds.
func (r *replay) waiting() float64 {
	total := 0.0
	for _, work := range r.queue {
		total += work
	}
	return total
}

// placerScaler returns a scaler that follows the plans of the placer.
func placerScaler() scaler {
	var history placer.History
	return func(r *replay, at time.Duration, arrivals float64) ([]identifier.Zone, []identifier.Target) {
		v := placer.View{Now: at, Settings: placer.DefaultSettings()}
		for _, z := range replayZones {
			v.Zones = append(v.Zones, placer.Zone{Name: z, Price: 1, Lost: r.lost(z, at)})
		}
		service := identifier.Service(r.service.name)
		// As much work as arrives in one step does not count as queued, because the targets can run it within the step.
		queue := max(0, r.waiting()-arrivals*replayStep.Seconds())
		v.Demands = []placer.Demand{{Service: service, Arrivals: arrivals, Queue: queue, MinTargets: 1}}
		if r.service.hasTraining {
			v.Windows = []placer.TrainingWindow{{Service: service, Start: trainingStart, End: trainingEnd, Load: trainingShare * r.service.peakTargets}}
		}
		for _, t := range r.targets {
			v.Targets = append(v.Targets, placer.Target{ID: t.id, Service: service, Zone: t.zone, State: t.state})
		}
		plan := placer.MakePlan(v.WithHistory(history))
		history = plan.History
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

// fixedScaler keeps enough targets for the peak of the day at all times. After a zone loss it starts the missing targets
// again when the zone returns.
func fixedScaler(r *replay, at time.Duration, _ float64) ([]identifier.Zone, []identifier.Target) {
	peak := int(math.Ceil(slices.Max(r.load)))
	count := make(map[identifier.Zone]int)
	for _, t := range r.targets {
		count[t.zone]++
	}
	var start []identifier.Zone
	for i := range peak {
		z := replayZones[i%len(replayZones)]
		if count[z]--; count[z] < 0 && !r.lost(z, at) {
			start = append(start, z)
		}
	}
	return start, nil
}

// scalingPause is the shortest time between two changes of threshold scaling.
const scalingPause = time.Minute

// thresholdScaler returns a scaler that starts a target above 80% utilisation and stops one below 50%, at most one change
// in scalingPause.
func thresholdScaler() scaler {
	last := -time.Hour
	return func(r *replay, at time.Duration, arrivals float64) ([]identifier.Zone, []identifier.Target) {
		activeTargets := slices.DeleteFunc(slices.Clone(r.targets), func(t replayTarget) bool { return t.state == placer.Draining })
		utilisation := arrivals / max(float64(len(activeTargets)), 1)
		if at-last < scalingPause {
			return nil, nil
		}
		switch {
		case utilisation > 0.8 || len(activeTargets) == 0:
			last = at
			z := replayZones[len(activeTargets)%len(replayZones)]
			if r.lost(z, at) {
				z = replayZones[1]
			}
			return []identifier.Zone{z}, nil
		case utilisation < 0.5 && len(activeTargets) > 1:
			last = at
			return nil, []identifier.Target{activeTargets[len(activeTargets)-1].id}
		default:
			return nil, nil
		}
	}
}

// newReplay returns a replay with enough targets for the first step. They are running from the first step on.
func newReplay(service serviceProfile, load []float64, zoneLoss bool) *replay {
	clock := &timer.Manual{}
	r := &replay{clock: clock, startedAt: clock.Monotonic(), service: service, load: load, zoneLoss: zoneLoss}
	for i := range max(1, int(math.Ceil(load[0]))) {
		r.start(replayZones[i%len(replayZones)], 0)
	}
	return r
}

// benchPlacement compares the placer with the clairvoyant schedule, a fixed fleet and threshold scaling over a day with a
// zone loss, and with the fixed fleet over a day without one.
func benchPlacement(context.Context) ([]Figure, error) {
	deployments := []struct {
		name     string
		services []serviceProfile
	}{
		{"uneven-services", []serviceProfile{{name: "sortmind", peakTargets: 9, hasTraining: true}, {name: "haulbook", peakTargets: 3}}},
		{"even-services", []serviceProfile{{name: "matcher", peakTargets: 8, hasTraining: true}, {name: "ledger", peakTargets: 6}}},
	}
	figures := make([]Figure, 0, 4*len(deployments))
	for d, deployment := range deployments {
		var cost, best, missed, fixedCost, fixedMissed, thresholdCost, thresholdMissed, noLossMissed, noLossFixedMissed float64
		for i, service := range deployment.services {
			load := dailyLoad(service, uint64(10*d+i))
			plan, fixed, threshold := newReplay(service, load, true), newReplay(service, load, true), newReplay(service, load, true)
			noLoss, noLossFixed := newReplay(service, load, false), newReplay(service, load, false)
			noLoss.run(placerScaler())
			noLossFixed.run(fixedScaler)
			noLossMissed, noLossFixedMissed = noLossMissed+noLoss.missedWork, noLossFixedMissed+noLossFixed.missedWork
			plan.run(placerScaler())
			fixed.run(fixedScaler)
			threshold.run(thresholdScaler())
			cost, missed = cost+plan.cost, missed+plan.missedWork
			fixedCost, fixedMissed = fixedCost+fixed.cost, fixedMissed+fixed.missedWork
			thresholdCost, thresholdMissed = thresholdCost+threshold.cost, thresholdMissed+threshold.missedWork
			best += clairvoyantCost(load)
		}
		const hour = 3600
		prefix := "placement/" + deployment.name
		figures = append(figures,
			Figure{Name: prefix + "-cost", Unit: "target-h", Value: cost / hour, Baseline: best / hour, Target: AtMostRatio(1.15)},
			Figure{Name: prefix + "-cost-fixed", Unit: "target-h", Value: fixedCost / hour, Baseline: best / hour},
			Figure{Name: prefix + "-cost-threshold", Unit: "target-h", Value: thresholdCost / hour, Baseline: best / hour},
			Figure{Name: prefix + "-missed", Unit: "target-s", Value: missed, Baseline: fixedMissed, Target: AtMostRatio(1)},
			// The bound is the missed work of the fixed fleet, which is enough for the peak when no zone is lost.
			Figure{Name: prefix + "-missed-without-loss", Unit: "target-s", Value: noLossMissed, Target: AtMost(noLossFixedMissed)},
			Figure{Name: prefix + "-missed-threshold", Unit: "target-s", Value: thresholdMissed, Baseline: fixedMissed},
		)
	}
	return figures, nil
}
