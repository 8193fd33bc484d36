// Package placer plans how many targets run in which availability zone. MakePlan is a pure function from a view to
// orders with reasons.
package placer

import "time"

// Forecast holds the exponentially weighted mean and trend of a load. It is immutable; the zero value has no samples.
type Forecast struct {
	seen  bool
	at    time.Duration
	mean  float64
	trend float64
}

// Smoothing sets how fast a forecast follows the load: the time constants of the mean and of the trend.
type Smoothing struct {
	Mean  time.Duration
	Trend time.Duration
}

// With returns the forecast updated with a sample of the load at the given time. Samples out of order are ignored.
func (f Forecast) With(load float64, at time.Duration, s Smoothing) Forecast {
	if !f.seen {
		return Forecast{seen: true, at: at, mean: load}
	}
	dt := (at - f.at).Seconds()
	if dt <= 0 {
		return f
	}
	before := f.mean
	expected := f.mean + f.trend*dt
	f.mean = expected + sampleWeight(dt, s.Mean)*(load-expected)
	f.trend += sampleWeight(dt, s.Trend) * ((f.mean-before)/dt - f.trend)
	f.at = at
	return f
}

// At returns the load expected at a later time, which is never negative.
func (f Forecast) At(at time.Duration) float64 {
	return max(0, f.mean+f.trend*(at-f.at).Seconds())
}

// sampleWeight returns the weight of a sample that comes dt seconds after the previous one. It is a first-order
// approximation that needs no exponential.
func sampleWeight(dt float64, constant time.Duration) float64 {
	if constant <= 0 {
		return 1
	}
	return dt / (dt + constant.Seconds())
}
