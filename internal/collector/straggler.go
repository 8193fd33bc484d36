package collector

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/decider"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// slowFactor is the multiple of a median above which a duration or a time per token is that of a straggler.
	slowFactor = 1.5
	// maxHedgeShare bounds the hedges as a share of the samples.
	maxHedgeShare = 0.05
	// minTimedTokens is the number of tokens after the first ones below which no time per token is computed.
	minTimedTokens = 3
	// maxAttempts bounds the attempts at one sample that run at the same time.
	maxAttempts = 3
	// historySize is the number of finished rollouts whose time per token and duration are kept.
	historySize = 64
	// minHistory is the number of finished rollouts below which nothing is predicted.
	minHistory = 8
)

// Progress is the state of a running rollout that a StragglerDetector decides on.
type Progress struct {
	Elapsed time.Duration
	// SinceLastTokens is the time since the last tokens or, before the first ones, since the start.
	SinceLastTokens time.Duration
	Tokens          identifier.Tokens
	// GenerationTime is the time from the first to the last tokens and GeneratedTokens the tokens after the first ones.
	// Waits before or after, such as for a weight change of the engine, are left out of the time per token.
	GenerationTime  time.Duration
	GeneratedTokens identifier.Tokens
	Limit           identifier.Tokens
	// MedianDuration is the median duration of the group's finished rollouts, or of the run's last finished ones while
	// fewer than half of them have finished. MedianTimePerToken is that of the run's last finished rollouts.
	MedianDuration     time.Duration
	MedianTimePerToken time.Duration
}

// StragglerDetector decides whether a rollout is a straggler. The first policy that decides takes effect.
type StragglerDetector = decider.Chain[Progress, bool]

// DefaultStragglerDetector returns the default policies. A long answer at the usual time per token is not a straggler:
// a new attempt would take as long.
func DefaultStragglerDetector() StragglerDetector {
	return decider.NewChain(
		decider.WithPriority[decider.Policy[Progress, bool]](decider.Func[Progress, bool](lacksHistory), 10),
		decider.WithPriority[decider.Policy[Progress, bool]](decider.Func[Progress, bool](isStalled), 20),
		decider.WithPriority[decider.Policy[Progress, bool]](decider.Func[Progress, bool](isSlow), 30),
	)
}

// lacksHistory decides that a rollout is not a straggler while there are no medians to compare it with.
func lacksHistory(p Progress) (straggler, decided bool) {
	return false, p.MedianDuration <= 0 || p.MedianTimePerToken <= 0
}

// isStalled detects rollouts without a new token for longer than a whole rollout usually takes. Other rollouts with
// fewer than minTimedTokens generated tokens are not stragglers.
func isStalled(p Progress) (straggler, decided bool) {
	stalled := float64(p.SinceLastTokens) > slowFactor*float64(p.MedianDuration)
	return stalled, stalled || p.GeneratedTokens < minTimedTokens
}

// isSlow compares the predicted duration with the group's median and with a new attempt at the usual time per token.
func isSlow(p Progress) (straggler, decided bool) {
	timePerToken := float64(p.GenerationTime) / float64(p.GeneratedTokens)
	predicted := float64(p.Elapsed) + timePerToken*float64(p.Limit-p.Tokens)
	newAttempt := float64(p.MedianTimePerToken) * float64(p.Limit)
	return predicted > slowFactor*float64(p.MedianDuration) && timePerToken > slowFactor*float64(p.MedianTimePerToken) &&
		predicted-float64(p.Elapsed) > newAttempt, true
}

// median returns the middle of ds; zero when there are none.
func median(ds []time.Duration) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(ds))
	return sorted[len(sorted)/2]
}
