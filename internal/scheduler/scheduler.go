// Package scheduler shares the entry's workers among teams by hierarchical start-time fair queueing: first between
// everyday calls and rollouts, then between teams, then between the callers of a team.
package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Class orders work before fairness does: a lower class is served first.
type Class int

// Classes of work.
const (
	// ClassScoring is for scoring rollouts in training windows.
	ClassScoring Class = -1
	// ClassNormal is for all other work.
	ClassNormal Class = 0
)

// Item is queued work with what the scheduler needs to order it.
type Item[T any] struct {
	Class Class
	// Rollout marks work for trainers; Share is the part of the work that all rollouts get next to everyday calls.
	Rollout      bool
	RolloutShare float64
	Team         identifier.Team
	Caller       identifier.Caller
	// Weight is the team's share; zero counts as one.
	Weight float64
	// Cost is the expected engine work in tokens; less than one counts as one.
	Cost identifier.Tokens
	// Deadline is the boot clock time by which the work must have ended; zero is no bound.
	Deadline time.Duration
	Work     T
}

// Decision is the outcome of offering an item.
type Decision struct {
	Refused bool
	Reason  string
	// RetryAfter estimates when the queue will have room for such an item.
	RetryAfter time.Duration
}

// Reasons of a refusal.
const (
	ReasonFull = "queue-full"
	ReasonLate = "queue-too-long"
)

// DefaultCapacity bounds the items that wait in a scheduler of capacity zero.
const DefaultCapacity = 4096

// Scheduler is a bounded fair queue. The zero value is an empty queue of DefaultCapacity.
//
// Invariants: within a class the flow with the least weighted work goes first; an idle flow gains no credit. Lock
// rank: container.RankScheduler.
type Scheduler[T any] struct {
	Capacity int

	lock    container.Lock[container.Scheduler]
	classes []classRoot[T]
	size    int
	backlog float64
	rate    drainRate
	runs    runTime
	wake    chan struct{}
}

// classRoot is the fair queue of one class.
type classRoot[T any] struct {
	class Class
	root  *node[T]
}

// Offer queues an item unless the queue is full or the item would probably miss its deadline.
func (s *Scheduler[T]) Offer(item Item[T], now time.Duration) Decision {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.size >= s.capacity() {
		return Decision{Refused: true, Reason: ReasonFull, RetryAfter: s.rate.wait(s.backlog / float64(s.size))}
	}
	wait := s.estimate(item)
	if item.Deadline > 0 {
		allowed := item.Deadline - now
		allowed -= max(s.runs.reserve(item.cost()), time.Duration(float64(allowed)*runShare))
		if wait > max(allowed, 0) {
			return Decision{Refused: true, Reason: ReasonLate, RetryAfter: wait - max(allowed, 0)}
		}
	}
	s.root(item.Class).push(item, item.path())
	s.size++
	s.backlog += item.cost()
	s.notify()
	return Decision{}
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

// Complete corrects what the flows of an item were charged, once the work that was really done is known, and counts it
// towards the drain rate. took is how long the work ran.
func (s *Scheduler[T]) Complete(item Item[T], used identifier.Tokens, took, now time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.rate.add(float64(max(used, 0)), now)
	s.runs.add(took.Seconds() / item.cost())
	s.root(item.Class).charge(item.path(), float64(used)-item.cost())
}

// Len returns the number of waiting items.
func (s *Scheduler[T]) Len() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.size
}

// EstimateWait estimates how long an item would wait if it were queued now.
func (s *Scheduler[T]) EstimateWait(item Item[T]) time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.estimate(item)
}

func (s *Scheduler[T]) capacity() int {
	if s.Capacity <= 0 {
		return DefaultCapacity
	}
	return s.Capacity
}

func (s *Scheduler[T]) take() (Item[T], bool, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range s.classes {
		if item, ok := c.root.pop(); ok {
			s.size--
			s.backlog -= item.cost()
			return item, true, nil
		}
	}
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	return Item[T]{}, false, s.wake
}

// estimate returns how long an item would wait: the work of earlier classes and of its own flow's part of its class,
// at the present drain rate. Without a known rate it is zero.
func (s *Scheduler[T]) estimate(item Item[T]) time.Duration {
	ahead := 0.0
	for _, c := range s.classes {
		if c.class < item.Class {
			ahead += c.root.backlog
		}
		if c.class == item.Class {
			ahead += c.root.ahead(item.path())
		}
	}
	return s.rate.wait(ahead)
}

func (s *Scheduler[T]) root(class Class) *node[T] {
	i, ok := slices.BinarySearchFunc(s.classes, class, func(c classRoot[T], class Class) int { return int(c.class - class) })
	if !ok {
		s.classes = slices.Insert(s.classes, i, classRoot[T]{class: class, root: &node[T]{}})
	}
	return s.classes[i].root
}

func (s *Scheduler[T]) notify() {
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}

// cost returns the expected work, at least one token.
func (i Item[T]) cost() float64 { return float64(max(i.Cost, 1)) }

// path returns the flows of the item from the root down.
func (i Item[T]) path() [depth]flow {
	kind := flow{name: "calls", weight: 1 - i.share()}
	if i.Rollout {
		kind = flow{name: "rollouts", weight: i.share()}
	}
	return [depth]flow{kind, {name: string(i.Team), weight: i.Weight}, {name: string(i.Caller), weight: 1}}
}

// share returns the part of the work that rollouts get; a half unless the item sets it.
func (i Item[T]) share() float64 {
	if i.RolloutShare <= 0 || i.RolloutShare >= 1 {
		return 0.5
	}
	return i.RolloutShare
}
