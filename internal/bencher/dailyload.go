package bencher

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// replayStep is the time step of the replay.
	replayStep = 10 * time.Second
	replayDay  = 24 * time.Hour
	// replayDeadline is the deadline of a request after its arrival.
	replayDeadline = 2 * time.Minute
	// replayStartup is the time that a target needs to start.
	replayStartup = 2 * time.Minute
	// replayDrain is the time that a target needs to drain.
	replayDrain = 30 * time.Second
	replaySteps = int(replayDay / replayStep)
)

// serviceProfile describes the load of one service of a deployment. peakTargets scales the load, in targets.
type serviceProfile struct {
	name        string
	peakTargets float64
	// hasTraining adds the load of the training window.
	hasTraining bool
}

// The training window and the zone loss of the replayed day.
const (
	trainingStart = 13 * time.Hour
	trainingEnd   = 15 * time.Hour
	trainingShare = 0.2
	lossStart     = 17 * time.Hour
	lossEnd       = 18 * time.Hour
)

// The random part of the replayed day: noise that follows the noise of the step before, and spikes of the load.
const (
	noiseCorrelation = 0.96
	noiseDeviation   = 0.007
	spikeDuration    = 8 * time.Minute
	spikeFactor      = 1.3
)

// roundingTolerance is a number of targets, or work in target-seconds, below which a difference is a rounding error.
const roundingTolerance = 1e-9

// dailyLoad returns the load of a service in targets for each step of a day: two daily peaks, noise, three spikes and, if
// the profile has one, a training window. The same seed gives the same load.
func dailyLoad(service serviceProfile, seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // a replay needs a seed, not a secret
	load := make([]float64, replaySteps)
	spikes := [3]int{random.IntN(replaySteps), random.IntN(replaySteps), random.IntN(replaySteps)}
	noise := 0.0
	for i := range load {
		at := time.Duration(i) * replayStep
		hour := at.Hours()
		dailyPeaks := 0.35 + 0.3*math.Exp(-square((hour-10.5)/3)) + 0.45*math.Exp(-square((hour-19)/3.5))
		noise = noiseCorrelation*noise + noiseDeviation*random.NormFloat64()
		demand := service.peakTargets * dailyPeaks * (1 + noise)
		for _, s := range spikes {
			if since := time.Duration(i-s) * replayStep; since >= 0 && since < spikeDuration {
				demand *= spikeFactor
			}
		}
		if service.hasTraining && at >= trainingStart && at < trainingEnd {
			demand += trainingShare * service.peakTargets
		}
		load[i] = max(demand, 0)
	}
	return load
}

func square(x float64) float64 { return x * x }

// clairvoyantCost returns the cost in target-seconds of the cheapest schedule that knows the load in advance. In each
// minute the schedule has enough targets to spread each arrival evenly over the time until its deadline. Each start costs
// the start-up time.
func clairvoyantCost(load []float64) float64 {
	const minute = int(time.Minute / replayStep)
	const minuteSeconds = 60
	window := int(replayDeadline / replayStep)
	need := make([]int, len(load)/minute)
	total, maxTargets := 0.0, 1
	for i, demand := range load {
		total += demand
		if i >= window {
			total -= load[i-window]
		}
		n := max(1, int(math.Ceil(total/float64(window)-roundingTolerance)))
		need[i/minute] = max(need[i/minute], n)
		maxTargets = max(maxTargets, n)
	}
	cost := make([]float64, maxTargets+1)
	for _, n := range need {
		next := make([]float64, maxTargets+1)
		for to := range next {
			next[to] = math.Inf(1)
			if to < n {
				continue
			}
			for from, c := range cost {
				next[to] = min(next[to], c+float64(max(0, to-from))*replayStartup.Seconds()+float64(to)*minuteSeconds)
			}
		}
		cost = next
	}
	best := math.Inf(1)
	for _, c := range cost {
		best = min(best, c)
	}
	return best
}
