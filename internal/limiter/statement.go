// Package limiter keeps to the rates that targets name: the requests a second that a target takes from all entries
// together. One entry is responsible for each target and allots permits to the others.
package limiter

import "math"

const (
	// minRate is the lowest limit. A target that named less still gets some requests, because only its answers can raise the
	// limit again.
	minRate = 0.5
	// maxRate is the lowest rate that counts as unlimited.
	maxRate = 10_000
)

// Statement is the rate in an answer of a target. It is immutable. The zero value names no rate.
type Statement struct {
	// Named is set if the answer names a rate. Rate is that rate in requests a second, or NaN if it can't be read.
	Named bool
	Rate  float64
	// Text is the rate as the target named it.
	Text string
}

// readable reports whether the rate makes sense. An unreadable one changes nothing.
func (s Statement) readable() bool { return s.Named && s.Rate >= 0 && !math.IsInf(s.Rate, 0) }

// limits reports whether requests are limited by a readable statement.
func (s Statement) limits() bool { return s.Named && s.Rate < maxRate }

// effective returns the rate that is kept to.
func (s Statement) effective() float64 { return max(s.Rate, minRate) }
