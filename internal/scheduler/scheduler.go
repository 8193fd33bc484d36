// Package scheduler shares the entry's workers among teams by hierarchical start-time fair queueing: first between
// ordinary calls and rollouts, then between teams, then between the callers of a team.
package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Class is a strict priority: work of a lower class is served before all work of higher classes, whatever its fair
// share.
type Class int

// Classes of work.
const (
	// ClassScoring is the class of scoring rollouts in training windows.
	ClassScoring Class = -1
	// ClassNormal is the class of all other work.
	ClassNormal Class = 0
)

// Item is queued work with the attributes by which the scheduler orders it.
type Item[T any] struct {
	Class Class
	// Rollout marks work for trainers. RolloutShare is the share of the work that all rollouts together get while
	// ordinary calls wait as well.
	Rollout      bool
	RolloutShare float64
	Team         identifier.Team
	Caller       identifier.Caller
	// Weight is the team's weight; zero counts as one.
	Weight float64
	// Cost is the expected engine work in tokens; less than one counts as one.
	Cost identifier.Tokens
	// Deadline is the monotonic time by which the work must end; zero means no deadline.
	Deadline time.Duration
	Work     T
}

// Decision is the outcome of Offer. The zero value means that the item was queued.
type Decision struct {
	Refused bool
	Reason  string
	// RetryAfter estimates the time until the queue can accept such an item.
	RetryAfter time.Duration
}

// Reasons of a refusal.
const (
	ReasonFull = "queue-full"
	ReasonLate = "queue-too-long"
)

// DefaultCapacity bounds the waiting items of a Scheduler whose Capacity is zero.
const DefaultCapacity = 4096

// defaultRolloutShare is the share of the work that rollouts get if the item sets none.
const defaultRolloutShare = 0.5

// Scheduler is a bounded fair queue. The zero value is an empty queue of DefaultCapacity.
//
// Invariants: within a class the flow with the least weighted work goes first; an idle flow gains no credit. Lock
// rank: container.RankScheduler.
type Scheduler[T any] struct {
	Capacity int

	lock           container.Lock[container.Scheduler]
	classes        []classRoot[T]
	size           int
	backlog        float64
	completionRate completionRate
	runTime        runTimeEstimator
	wake           chan struct{}
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
		return Decision{Refused: true, Reason: ReasonFull, RetryAfter: s.completionRate.timeFor(s.backlog / float64(s.size))}
	}
	wait := s.estimate(item)
	if item.Deadline > 0 {
		maxWait := item.Deadline - now
		maxWait -= max(s.runTime.reserve(item.cost()), time.Duration(float64(maxWait)*minRunShare))
		if wait > max(maxWait, 0) {
			return Decision{Refused: true, Reason: ReasonLate, RetryAfter: wait - max(maxWait, 0)}
		}
	}
	s.root(item.Class).push(item, item.path())
	s.size++
	s.backlog += item.cost()
	s.notify()
	return Decision{}
}

// Next removes the next item in order and returns its work. It waits for an item until ctx ends.
func (s *Scheduler[T]) Next(ctx context.Context) (T, bool) {
	for {
		item, ok, wake := s.tryNext()
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

// Complete corrects the charge to the flows of an item from its expected cost to the tokens that it used, and adds
// those to the completion rate. took is the run time of the work.
func (s *Scheduler[T]) Complete(item Item[T], used identifier.Tokens, took, now time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.completionRate.add(float64(max(used, 0)), now)
	s.runTime.add(took.Seconds() / item.cost())
	s.root(item.Class).charge(item.path(), float64(used)-item.cost())
}

// Len returns the number of waiting items.
func (s *Scheduler[T]) Len() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.size
}

// EstimateWait returns how long an item would probably wait if it were queued now.
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

func (s *Scheduler[T]) tryNext() (Item[T], bool, <-chan struct{}) {
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

// estimate returns how long an item would wait for the work of lower classes and for the work ahead of it in its own
// class at the current completion rate. It is zero while the rate is unknown.
func (s *Scheduler[T]) estimate(item Item[T]) time.Duration {
	ahead := 0.0
	for _, c := range s.classes {
		if c.class < item.Class {
			ahead += c.root.backlog
		}
		if c.class == item.Class {
			ahead += c.root.workAhead(item.path())
		}
	}
	return s.completionRate.timeFor(ahead)
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

// cost returns the expected work, which is at least one token.
func (i Item[T]) cost() float64 { return float64(max(i.Cost, 1)) }

// path returns the flows of the item from the root down.
func (i Item[T]) path() [pathLength]flow {
	kind := flow{name: "calls", weight: 1 - i.rolloutShare()}
	if i.Rollout {
		kind = flow{name: "rollouts", weight: i.rolloutShare()}
	}
	return [pathLength]flow{kind, {name: string(i.Team), weight: i.Weight}, {name: string(i.Caller), weight: 1}}
}

// rolloutShare returns the share of the work that rollouts get; defaultRolloutShare unless the item sets it.
func (i Item[T]) rolloutShare() float64 {
	if i.RolloutShare <= 0 || i.RolloutShare >= 1 {
		return defaultRolloutShare
	}
	return i.RolloutShare
}
