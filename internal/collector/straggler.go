package collector

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/decider"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// slowFactor is how much longer than the group's median a rollout may be predicted to take.
	slowFactor = 1.5
	// hedgeShare bounds the hedges as a share of the samples.
	hedgeShare = 0.05
	// paceTokens is the number of tokens after the first ones below which no pace is measured.
	paceTokens = 3
	// maxTries bounds the tries at one sample that run at a time.
	maxTries = 3
	// paceWindow is the number of finished rollouts whose pace and duration are remembered.
	paceWindow = 64
	// paceLeast is the number of them below which nothing is predicted.
	paceLeast = 8
)

// Progress is what is known of a running rollout when it is judged.
type Progress struct {
	Elapsed time.Duration
	// Silence is the time since the last tokens or, before the first ones, since the start.
	Silence time.Duration
	Tokens  identifier.Tokens
	// Writing is the time from the first to the last tokens and Written the tokens that came in it. A wait before or
	// after them, such as for a weight change of the engine, says nothing about the pace.
	Writing time.Duration
	Written identifier.Tokens
	Limit   identifier.Tokens
	// Median is the median duration of the group's finished rollouts, or of the run's last ones while the group has
	// too few. Pace is the run's median time per token.
	Median time.Duration
	Pace   time.Duration
}

// StragglerDetector decides whether a rollout is a straggler; the first policy that decides counts.
type StragglerDetector = decider.Chain[Progress, bool]

// DefaultStragglerDetector returns the usual policies. A long answer at a usual pace is not a straggler: making it again would
// take as long.
func DefaultStragglerDetector() StragglerDetector {
	return decider.NewChain(
		decider.WithPriority[decider.Policy[Progress, bool]](decider.Func[Progress, bool](unpredictable), 10),
		decider.WithPriority[decider.Policy[Progress, bool]](decider.Func[Progress, bool](silent), 20),
		decider.WithPriority[decider.Policy[Progress, bool]](decider.Func[Progress, bool](slowPace), 30),
	)
}

func unpredictable(p Progress) (straggler, decided bool) {
	return false, p.Median <= 0 || p.Pace <= 0
}

// silent finds rollouts that have been without a token for longer than a whole rollout usually takes.
func silent(p Progress) (straggler, decided bool) {
	long := float64(p.Silence) > slowFactor*float64(p.Median)
	return long, long || p.Written < paceTokens
}

// slowPace compares the predicted duration with the group's median and with a new try at the usual pace.
func slowPace(p Progress) (straggler, decided bool) {
	pace := float64(p.Writing) / float64(p.Written)
	predicted := float64(p.Elapsed) + pace*float64(p.Limit-p.Tokens)
	again := float64(p.Pace) * float64(p.Limit)
	return predicted > slowFactor*float64(p.Median) && pace > slowFactor*float64(p.Pace) && predicted-float64(p.Elapsed) > again, true
}

// median returns the middle of ds; zero when there are none.
func median(ds []time.Duration) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(ds))
	return sorted[len(sorted)/2]
}
