package bencher

import "time"

// routingEventKind is the kind of an event of the routing simulation.
type routingEventKind int

const (
	eventArrival routingEventKind = iota
	eventDeparture
	eventReport
)

// routingEvent is an event of the routing simulation at a virtual time. Only departures have an attempt.
type routingEvent struct {
	at      time.Duration
	kind    routingEventKind
	attempt routingAttempt
}

// routingEventHeap is a heap of events, earliest first.
type routingEventHeap []routingEvent

func (q routingEventHeap) Len() int           { return len(q) }
func (q routingEventHeap) Less(i, j int) bool { return q[i].at < q[j].at }
func (q routingEventHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends x, which must be a routingEvent.
func (q *routingEventHeap) Push(x any) {
	e, ok := x.(routingEvent)
	if !ok {
		panic("invariant event-queue: only events are queued")
	}
	*q = append(*q, e)
}

// Pop removes and returns the last event.
func (q *routingEventHeap) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
