package bencher

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// simStep is the resolution of the replay.
	simStep = 10 * time.Second
	simDay  = 24 * time.Hour
	// simDeadline and simStartup are a request's deadline and the time that a target takes to start.
	simDeadline = 2 * time.Minute
	simStartup  = 2 * time.Minute
	// simDrain is the time that a target needs to drain.
	simDrain = 30 * time.Second
	simSteps = int(simDay / simStep)
)

// fleet is a service of a deployment with its targets at the peak.
type fleet struct {
	service string
	peak    float64
	// trained marks the service that a training window loads.
	trained bool
}

// The training window and the zone loss of the replayed day.
const (
	trainingStart = 13 * time.Hour
	trainingEnd   = 15 * time.Hour
	trainingShare = 0.2
	lossStart     = 17 * time.Hour
	lossEnd       = 18 * time.Hour
)

// dayCurve returns the load of a service in targets for each step of a day: two humps, noise, three spikes and a
// training window. The seed makes it the same in each run.
func dayCurve(f fleet, seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // a replay needs a seed, not a secret
	load := make([]float64, simSteps)
	spikes := [3]int{random.IntN(simSteps), random.IntN(simSteps), random.IntN(simSteps)}
	wander := 0.0
	for i := range load {
		at := time.Duration(i) * simStep
		hour := at.Hours()
		hump := 0.35 + 0.3*math.Exp(-sq((hour-10.5)/3)) + 0.45*math.Exp(-sq((hour-19)/3.5))
		wander = 0.96*wander + 0.007*random.NormFloat64()
		x := f.peak * hump * (1 + wander)
		for _, s := range spikes {
			if since := time.Duration(i-s) * simStep; since >= 0 && since < 8*time.Minute {
				x *= 1.3
			}
		}
		if f.trained && at >= trainingStart && at < trainingEnd {
			x += trainingShare * f.peak
		}
		load[i] = max(x, 0)
	}
	return load
}

func sq(x float64) float64 { return x * x }

// clairvoyant returns the cost in target-seconds of the cheapest schedule that knows the load: at each minute it has
// enough targets to spread each arrival evenly over the time to its deadline, and each start costs the start-up time.
func clairvoyant(load []float64) float64 {
	const minute = int(time.Minute / simStep)
	window := int(simDeadline / simStep)
	need := make([]int, len(load)/minute)
	total, most := 0.0, 1
	for i, x := range load {
		total += x
		if i >= window {
			total -= load[i-window]
		}
		n := max(1, int(math.Ceil(total/float64(window)-1e-9)))
		need[i/minute] = max(need[i/minute], n)
		most = max(most, n)
	}
	cost := make([]float64, most+1)
	for _, n := range need {
		next := make([]float64, most+1)
		for to := range next {
			next[to] = math.Inf(1)
			if to < n {
				continue
			}
			for from, c := range cost {
				next[to] = min(next[to], c+float64(max(0, to-from))*simStartup.Seconds()+float64(to)*60)
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
