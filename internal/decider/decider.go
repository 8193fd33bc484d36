// Package decider holds the generic form of the system's policies: a policy maps an immutable input to an output, and
// a chain asks its policies in priority order.
package decider

import (
	"cmp"
	"slices"
)

// Policy decides on an input. A false second result leaves the decision to the next policy of a chain.
type Policy[In, Out any] interface {
	Decide(in In) (Out, bool)
}

// Func lets a function serve as a Policy.
type Func[In, Out any] func(in In) (Out, bool)

// Decide calls f.
func (f Func[In, Out]) Decide(in In) (Out, bool) { return f(in) }

// Prioritized is a part with its priority. Parts with lower priority come first.
type Prioritized[T any] struct {
	Priority int
	Value    T
}

// WithPriority returns v as a part with the given priority.
func WithPriority[T any](v T, priority int) Prioritized[T] {
	return Prioritized[T]{Priority: priority, Value: v}
}

// Chain asks policies in priority order; the first that decides wins. The zero value decides nothing.
type Chain[In, Out any] struct {
	parts []Prioritized[Policy[In, Out]]
}

// NewChain returns a chain of the given policies.
func NewChain[In, Out any](parts ...Prioritized[Policy[In, Out]]) Chain[In, Out] {
	return Chain[In, Out]{}.With(parts...)
}

// With returns a copy of c that asks the given policies too.
func (c Chain[In, Out]) With(parts ...Prioritized[Policy[In, Out]]) Chain[In, Out] {
	all := append(slices.Clone(c.parts), parts...)
	slices.SortStableFunc(all, func(a, b Prioritized[Policy[In, Out]]) int { return cmp.Compare(a.Priority, b.Priority) })
	return Chain[In, Out]{parts: all}
}

// Decide returns the decision of the first policy that decides.
func (c Chain[In, Out]) Decide(in In) (Out, bool) {
	for _, p := range c.parts {
		if out, ok := p.Value.Decide(in); ok {
			return out, true
		}
	}
	var zero Out
	return zero, false
}
