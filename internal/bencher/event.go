package bencher

import "time"

// simKind tells what happens in a simulation.
type simKind int

const (
	arrival simKind = iota
	departure
	report
)

// simEvent is something that happens at a virtual time.
type simEvent struct {
	at      time.Duration
	kind    simKind
	attempt simAttempt
}

// eventQueue is a heap of events, earliest first.
type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds x, which is a simEvent, at the end.
func (q *eventQueue) Push(x any) {
	e, ok := x.(simEvent)
	if !ok {
		panic("invariant event-queue: only events are queued")
	}
	*q = append(*q, e)
}

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
