package retrier

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// hedgeSamples is the number of answers after which the pace of a service is known well enough to hedge.
	hedgeSamples = 20
	// hedgeFactor times the 95th percentile of the time to the first piece is the wait before a hedge. At twice the
	// percentile well under a twentieth of the requests hedge while targets are healthy.
	hedgeFactor = 2
	// hedgeFloor is the shortest wait before a hedge; below it a hedge costs more than it can save.
	hedgeFloor = 50 * time.Millisecond
)

// LatencyTracker knows how soon the answers of each service begin. The zero value knows nothing and hedges nothing.
//
// Lock rank: container.RankRetrier.
type LatencyTracker struct {
	lock     container.Lock[container.Retrier]
	services map[identifier.Service]*container.Window[time.Duration]
}

// Observe records the time from an attempt's start to its first piece.
func (p *LatencyTracker) Observe(s identifier.Service, first time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.services == nil {
		p.services = make(map[identifier.Service]*container.Window[time.Duration])
	}
	w, ok := p.services[s]
	if !ok {
		w = &container.Window[time.Duration]{}
		p.services[s] = w
	}
	w.Add(first)
}

// HedgeDelay returns how long to wait for a first piece before a second attempt is worth its cost. A false second
// result means that too little is known.
func (p *LatencyTracker) HedgeDelay(s identifier.Service) (time.Duration, bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	w, ok := p.services[s]
	if !ok || w.Len() < hedgeSamples {
		return 0, false
	}
	times := w.Values()
	slices.Sort(times)
	return max(hedgeFloor, hedgeFactor*times[len(times)*95/100]), true
}
