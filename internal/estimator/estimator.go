package estimator

import (
	"math"

	"github.com/mimosalb/mimosalb/internal/container"
)

const (
	// minObserved is the number of attempts of a service that a prediction needs. Until then the work of its attempts is unknown.
	minObserved = 8
	// memory is the number of attempts over which a kind is averaged. With shorter ones the spread within a kind shows in the
	// predictions; a change is followed within about as many attempts.
	memory = 32
	// parentWeight is the number of attempts as which the prediction of the wider kind counts, so that the first few attempts of
	// a kind do not decide alone.
	parentWeight = 4
	// outlierLimit is the largest multiple of its kind's mean as which an observation counts: an attempt that waited for a stalled
	// target says nothing about its kind.
	outlierLimit = 8
	// maxKinds bounds the kinds in each of the two generations, about 150 bytes each.
	maxKinds = 1024
)

// average is a decaying mean of the work of one kind.
type average struct {
	mean  Work
	count int
}

func (a average) with(w Work) average {
	a.count = min(a.count+1, memory)
	limit := 0.0
	if a.count > minObserved {
		limit = outlierLimit
	}
	a.mean = a.mean.with(w, 1/float64(a.count), limit)
	return a
}

// Estimator predicts the work of attempts from that of earlier ones. The zero value has observed nothing.
//
// Invariants: the number of kinds is bounded; the work of a service of which less than minObserved attempts were observed is unknown.
// Lock rank: container.RankEstimator.
type Estimator struct {
	lock container.Lock[container.Estimator]
	// A kind that is not observed while the current generation fills is dropped with the previous one.
	current, previous map[kind]average
	// deviation is the decaying mean of the relative error of the predictions.
	deviation float64
	compared  int
}

// NewEstimator returns an Estimator that has observed nothing.
func NewEstimator() *Estimator { return &Estimator{} }

// Predict returns the expected work of an attempt. It is unknown for a nil Estimator and until enough was observed.
func (e *Estimator) Predict(f Features) Work {
	if e == nil {
		return Work{}
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.predict(f.kinds())
}

func (e *Estimator) predict(kinds [levels]kind) Work {
	service, _ := e.average(kinds[0])
	if service.count < minObserved {
		return Work{}
	}
	w := service.mean
	for _, k := range kinds[1:] {
		if a, ok := e.average(k); ok {
			w = w.with(a.mean, float64(a.count)/float64(a.count+parentWeight), 0)
		}
	}
	return w
}

// Observe takes in the work that an attempt turned out to be.
func (e *Estimator) Observe(f Features, w Work) {
	if e == nil || !w.IsKnown() {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	kinds := f.kinds()
	if p := e.predict(kinds); p.IsKnown() {
		e.compare(p, w)
	}
	for _, k := range kinds {
		a, _ := e.average(k)
		e.put(k, a.with(w))
	}
}

// compare takes in the error of a prediction.
func (e *Estimator) compare(predicted, actual Work) {
	total := float64(actual.Total())
	if total <= 0 {
		return
	}
	e.compared = min(e.compared+1, memory)
	e.deviation += (math.Abs(float64(predicted.Total())-total)/total - e.deviation) / float64(e.compared)
}

// Deviation returns the mean relative error of the latest predictions.
func (e *Estimator) Deviation() float64 {
	if e == nil {
		return 0
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.deviation
}

// Count returns the number of kinds that are remembered.
func (e *Estimator) Count() int {
	if e == nil {
		return 0
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	n := len(e.current)
	for k := range e.previous {
		if _, both := e.current[k]; !both {
			n++
		}
	}
	return n
}

func (e *Estimator) average(k kind) (average, bool) {
	if a, ok := e.current[k]; ok {
		return a, true
	}
	a, ok := e.previous[k]
	return a, ok
}

func (e *Estimator) put(k kind, a average) {
	if _, known := e.current[k]; !known {
		k = k.owned()
		if len(e.current) >= maxKinds {
			e.previous, e.current = e.current, nil
		}
	}
	if e.current == nil {
		e.current = make(map[kind]average)
	}
	e.current[k] = a
}
