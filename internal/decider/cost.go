package decider

// Cost assigns a cost to an input. Policies that compare candidates choose the one with the lowest cost.
type Cost[In any] interface {
	Cost(in In) float64
}

// CostFunc adapts a function to the Cost interface.
type CostFunc[In any] func(in In) float64

// Cost calls f.
func (f CostFunc[In]) Cost(in In) float64 { return f(in) }

// Sum is the sum of several costs. The zero value is zero for every input.
type Sum[In any] struct {
	costs []Cost[In]
}

// NewSum returns the sum of the given costs.
func NewSum[In any](costs ...Cost[In]) Sum[In] { return Sum[In]{costs: costs} }

// With returns a copy of s with the given costs added.
func (s Sum[In]) With(costs ...Cost[In]) Sum[In] {
	all := make([]Cost[In], 0, len(s.costs)+len(costs))
	return Sum[In]{costs: append(append(all, s.costs...), costs...)}
}

// Cost returns the sum of all costs for in.
func (s Sum[In]) Cost(in In) float64 {
	total := 0.0
	for _, c := range s.costs {
		total += c.Cost(in)
	}
	return total
}
