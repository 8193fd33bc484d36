// Package pacer holds how fast targets were measured to be, and decides from that which attempts are stalled and which are worth
// moving to another target.
package pacer

import (
	"math"
	"time"
)

// smoothing is the weight of a new measurement. About 16 items then decide, which is one group.
const smoothing = 1.0 / 16

// outgrownDivisor divides the length of a text that has outgrown its hint into what it is expected to gain.
const outgrownDivisor = 4

// Pace is what items take at a target or at those of a service. It is immutable. A zero value is unknown.
type Pace struct {
	// First is the time to the first event, which includes the target's queue and the reading of the prompt. Interval is the time
	// between two events, and Score that of a scoring call with its repeats.
	First, Interval, Score time.Duration
	// hinted and written are the means of the hints in tokens and of the events of complete texts.
	hinted, written float64
}

// WithFirst returns a copy of p with one more measured time to a first event.
func (p Pace) WithFirst(d time.Duration) Pace {
	p.First = smooth(p.First, d)
	return p
}

// WithInterval returns a copy of p with one more measured time between two events.
func (p Pace) WithInterval(d time.Duration) Pace {
	p.Interval = smooth(p.Interval, d)
	return p
}

// WithScore returns a copy of p with one more measured time of a scoring call.
func (p Pace) WithScore(d time.Duration) Pace {
	p.Score = smooth(p.Score, d)
	return p
}

// WithText returns a copy of p with one more complete text. It ignores texts without a hint.
func (p Pace) WithText(hint, events int) Pace {
	if hint <= 0 || events <= 0 {
		return p
	}
	if p.hinted == 0 {
		p.hinted, p.written = float64(hint), float64(events)
		return p
	}
	p.hinted += smoothing * (float64(hint) - p.hinted)
	p.written += smoothing * (float64(events) - p.written)
	return p
}

func smooth(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + time.Duration(smoothing*float64(d-mean))
}

// Remaining returns how many events a text is expected to gain that has some already. Hints are right at the median and often far off:
// a text that has outgrown its hint, or has none, is expected to gain in proportion to its length.
func (p Pace) Remaining(hint, events int) int {
	perToken := 1.0
	if p.hinted > 0 {
		perToken = p.written / p.hinted
	}
	switch expected := int(math.Ceil(float64(hint) * perToken)); {
	case hint <= 0:
		return max(events, 1)
	case events < expected:
		return expected - events
	default:
		return max(events/outgrownDivisor, 1)
	}
}

// Rest returns the time until a text with some events is complete and scored. Begun is set if an attempt has its first event. Of a text
// without a hint only the score is known to be needed.
func (p Pace) Rest(hint, events int, begun bool) time.Duration {
	rest := p.Score
	if hint > 0 {
		rest += time.Duration(p.Remaining(hint, events)) * p.Interval
	}
	if !begun {
		rest += p.First
	}
	return rest
}
