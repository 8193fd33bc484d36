package decider

// Cost prices an input. Policies that compare candidates choose the cheapest.
type Cost[In any] interface {
	Cost(in In) float64
}

// CostFunc lets a function serve as a Cost.
type CostFunc[In any] func(in In) float64

// Cost calls f.
func (f CostFunc[In]) Cost(in In) float64 { return f(in) }

// Sum adds up costs. The zero value costs nothing.
type Sum[In any] struct {
	parts []Cost[In]
}

// NewSum returns the sum of the given costs.
func NewSum[In any](parts ...Cost[In]) Sum[In] { return Sum[In]{parts: parts} }

// With returns a copy of s with more costs.
func (s Sum[In]) With(parts ...Cost[In]) Sum[In] {
	all := make([]Cost[In], 0, len(s.parts)+len(parts))
	return Sum[In]{parts: append(append(all, s.parts...), parts...)}
}

// Cost returns the sum.
func (s Sum[In]) Cost(in In) float64 {
	total := 0.0
	for _, p := range s.parts {
		total += p.Cost(in)
	}
	return total
}
