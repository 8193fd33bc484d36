// Package scheduler shares the entry's workers among teams by start-time fair queueing.
package scheduler

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Item is queued work with what the scheduler needs to order it.
type Item[T any] struct {
	Team identifier.Team
	// Weight is the team's share; zero counts as one.
	Weight float64
	// Cost is the expected engine work in tokens; less than one counts as one.
	Cost identifier.Tokens
	// Class orders work before fairness does: a lower class is served first.
	Class int
	// Latest is the last moment at which starting still makes sense; zero is no bound.
	Latest time.Time
	Work   T
}

// DefaultCapacity bounds the items that wait in a scheduler of capacity zero.
const DefaultCapacity = 4096

// Scheduler is a bounded fair queue. The zero value is an empty queue of DefaultCapacity.
//
// Invariants: within a class the team with the least weighted work goes first; an idle team gains no credit. Lock
// rank: container.RankScheduler.
type Scheduler[T any] struct {
	Capacity int

	lock    container.Lock[container.Scheduler]
	flows   map[flowKey]*flow[T]
	virtual float64
	size    int
	wake    chan struct{}
}

type flowKey struct {
	class int
	team  identifier.Team
}

// flow is the backlog of one team in one class. start is the virtual time at which its first item starts.
type flow[T any] struct {
	items container.Queue[Item[T]]
	start float64
	end   float64
}

// Offer queues an item. It reports false when the queue is full.
func (s *Scheduler[T]) Offer(item Item[T]) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	capacity := s.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	if s.size >= capacity {
		return false
	}
	f := s.flow(flowKey{class: item.Class, team: item.Team})
	if f.items.Len() == 0 {
		f.start = max(s.virtual, f.end)
	}
	f.items.Push(item)
	s.size++
	s.notify()
	return true
}

// Next waits for the item that is due next until ctx ends.
func (s *Scheduler[T]) Next(ctx context.Context) (T, bool) {
	for {
		item, ok, wake := s.take()
		if ok {
			return item.Work, true
		}
		select {
		case <-wake:
		case <-ctx.Done():
			var zero T
			return zero, false
		}
	}
}

// Len returns the number of waiting items.
func (s *Scheduler[T]) Len() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.size
}

func (s *Scheduler[T]) take() (Item[T], bool, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	f, ok := s.first()
	if !ok {
		if s.wake == nil {
			s.wake = make(chan struct{})
		}
		return Item[T]{}, false, s.wake
	}
	item, _ := f.items.Pop()
	s.size--
	s.virtual = max(s.virtual, f.start)
	f.end = f.start + float64(max(item.Cost, 1))/weight(item.Weight)
	f.start = f.end
	return item, true, nil
}

// first returns the backlogged flow of the lowest class that has the earliest start.
func (s *Scheduler[T]) first() (*flow[T], bool) {
	var best *flow[T]
	var bestKey flowKey
	for k, f := range s.flows {
		if f.items.Len() == 0 {
			if f.end <= s.virtual {
				delete(s.flows, k)
			}
			continue
		}
		if best == nil || k.class < bestKey.class || k.class == bestKey.class && before(f.start, k, best.start, bestKey) {
			best, bestKey = f, k
		}
	}
	return best, best != nil
}

// before orders flows by start; the name breaks ties so that the order does not depend on the map.
func before(start float64, k flowKey, otherStart float64, other flowKey) bool {
	if start != otherStart {
		return start < otherStart
	}
	return k.team < other.team
}

func (s *Scheduler[T]) flow(k flowKey) *flow[T] {
	if s.flows == nil {
		s.flows = make(map[flowKey]*flow[T])
	}
	f, ok := s.flows[k]
	if !ok {
		f = &flow[T]{}
		s.flows[k] = f
	}
	return f
}

func (s *Scheduler[T]) notify() {
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}

func weight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}
