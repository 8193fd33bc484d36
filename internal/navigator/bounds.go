package navigator

import (
	"math"
	"time"
)

const (
	// maxTime is the longest time that a route sets.
	maxTime = 24 * time.Hour
	// maxAttempts is the largest number of targets that a route lets one request be sent to.
	maxAttempts = 64
)

// withinBounds returns a copy of r whose numbers are in range: times from zero to maxTime, attempts from zero to maxAttempts,
// and weights from zero on. A number out of range is set to the nearest one.
func (r Route) withinBounds() Route {
	for _, d := range []*time.Duration{&r.Timeout, &r.LatencyGoal, &r.QueueTTL, &r.ResultDue} {
		*d = min(max(*d, 0), maxTime)
	}
	r.MaxAttempts = min(max(r.MaxAttempts, 0), maxAttempts)
	shares := make([]Share, 0, len(r.Shares))
	for _, s := range r.Shares {
		if math.IsNaN(s.Weight) {
			s.Weight = 0
		}
		s.Weight = min(max(s.Weight, 0), math.MaxFloat32)
		shares = append(shares, s)
	}
	r.Shares = shares
	return r
}

// withinBounds returns a copy of s that is cold for zero to maxTime, at a rate from zero on.
func (s Service) withinBounds() Service {
	s.ColdFor = min(max(s.ColdFor, 0), maxTime)
	if math.IsNaN(s.ColdRate) {
		s.ColdRate = 0
	}
	s.ColdRate = min(max(s.ColdRate, 0), math.MaxFloat32)
	return s
}

// withinBounds returns a copy of l without negative limits.
func (l Limits) withinBounds() Limits {
	l.Header, l.Body = max(l.Header, 0), max(l.Body, 0)
	return l
}
