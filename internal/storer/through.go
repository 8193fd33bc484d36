package storer

import "context"

// Through returns a copy of s that calls the service through another driver. It has a back-off of its own, as one way to the service may
// work while another does not, and shares the budget of s.
func (s *Storer) Through(d Driver) *Storer {
	c := *s
	c.driver = d
	c.shared = &sharedState{budget: s.shared.budget}
	c.shared.backoff.maxPause = s.shared.backoff.maxPause
	return &c
}

// Once makes one call to the service within the budget, the back-off and the time limit of s. A lost answer is not resolved.
func (s *Storer) Once(ctx context.Context, call func(context.Context) Outcome) Outcome {
	return s.call(ctx, call)
}
