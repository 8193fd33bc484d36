// Package decider defines the generic types of the system's policies: a policy maps an immutable input to an output,
// and a chain tries its policies in priority order.
package decider

import (
	"cmp"
	"slices"
)

// Policy maps an input to a decision. A false second result leaves the decision to the next policy of a chain.
type Policy[In, Out any] interface {
	Decide(in In) (Out, bool)
}

// Func adapts a function to the Policy interface.
type Func[In, Out any] func(in In) (Out, bool)

// Decide calls f.
func (f Func[In, Out]) Decide(in In) (Out, bool) { return f(in) }

// Prioritized is a value with a priority. Values with a lower Priority come first.
type Prioritized[T any] struct {
	Priority int
	Value    T
}

// WithPriority returns v with the given priority.
func WithPriority[T any](v T, priority int) Prioritized[T] {
	return Prioritized[T]{Priority: priority, Value: v}
}

// Chain tries policies in priority order; the first that decides wins. The zero value never decides.
type Chain[In, Out any] struct {
	policies []Prioritized[Policy[In, Out]]
}

// NewChain returns a chain of the given policies.
func NewChain[In, Out any](policies ...Prioritized[Policy[In, Out]]) Chain[In, Out] {
	return Chain[In, Out]{}.With(policies...)
}

// With returns a copy of c with the given policies added.
func (c Chain[In, Out]) With(policies ...Prioritized[Policy[In, Out]]) Chain[In, Out] {
	all := append(slices.Clone(c.policies), policies...)
	slices.SortStableFunc(all, func(a, b Prioritized[Policy[In, Out]]) int { return cmp.Compare(a.Priority, b.Priority) })
	return Chain[In, Out]{policies: all}
}

// Decide returns the decision of the first policy that decides.
func (c Chain[In, Out]) Decide(in In) (Out, bool) {
	for _, p := range c.policies {
		if out, ok := p.Value.Decide(in); ok {
			return out, true
		}
	}
	var zero Out
	return zero, false
}
