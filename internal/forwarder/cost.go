package forwarder

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/estimator"
	"github.com/mimosalb/mimosalb/internal/router"
)

// features returns what is known of the request's attempts before they begin.
func (x *exchange) features() estimator.Features {
	return estimator.Features{Service: x.service, Route: x.route.Name, Path: x.request.Path, Shape: x.request.Shape}
}

// expectedWork returns the work that an attempt of the request adds at its target.
func (x *exchange) expectedWork() time.Duration { return x.Estimator.Predict(x.features()).Total() }

// observeCost takes in the work of an attempt that was answered in full. Failures are often faster than answers.
func (x *exchange) observeCost(t router.Target, a Attempt) {
	if x.Estimator == nil || a.Fault != NoFault || a.NotRun || a.Status >= 300 {
		return
	}
	speed := x.Router.Speed(t.ID)
	x.Estimator.Observe(x.features(), estimator.Work{Start: time.Duration(float64(a.Took) * speed)})
}

// endAttempt ends an attempt at a target.
func (x *exchange) endAttempt(t router.Target) {
	x.Router.Reduce(t.ID, t.Work)
	x.Router.Release(t.ID)
}
