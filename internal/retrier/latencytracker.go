package retrier

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// minHedgeSamples is the number of observed answers of a service below which it does not hedge, because its latency
	// is not known well enough.
	minHedgeSamples = 20
	// hedgePercentile is the percentile of the time to the first piece that is multiplied by hedgeFactor to give the hedge
	// delay. At twice the 95th percentile well under a twentieth of the requests hedge while targets are healthy.
	hedgePercentile = 95
	hedgeFactor     = 2
	// minHedgeDelay is the shortest hedge delay; below it a hedge costs more than it can save.
	minHedgeDelay = 50 * time.Millisecond
)

// LatencyTracker records the time to the first piece of the answers of each service. The zero value has no observations
// and allows no hedge.
//
// Lock rank: container.RankRetrier.
type LatencyTracker struct {
	lock     container.Lock[container.Retrier]
	services map[identifier.Service]*container.Window[time.Duration]
}

// Observe records the time from an attempt's start to its first piece.
func (t *LatencyTracker) Observe(s identifier.Service, latency time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.services == nil {
		t.services = make(map[identifier.Service]*container.Window[time.Duration])
	}
	w, ok := t.services[s]
	if !ok {
		w = &container.Window[time.Duration]{}
		t.services[s] = w
	}
	w.Add(latency)
}

// HedgeDelay returns how long to wait for a first piece before a second attempt is worth its cost. It returns false
// while the service has fewer than minHedgeSamples observations.
func (t *LatencyTracker) HedgeDelay(s identifier.Service) (time.Duration, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	w, ok := t.services[s]
	if !ok || w.Len() < minHedgeSamples {
		return 0, false
	}
	times := w.Values()
	slices.Sort(times)
	return max(minHedgeDelay, hedgeFactor*times[len(times)*hedgePercentile/100]), true
}
