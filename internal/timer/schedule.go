package timer

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

// subscription is one entry of a schedule.
type subscription struct {
	owner  *schedule
	due    time.Duration
	period time.Duration
	index  int // in the heap; -1 once removed
	c      chan time.Time
}

func (s *subscription) C() <-chan time.Time { return s.c }

func (s *subscription) Stop() {
	s.owner.lock.Lock()
	defer s.owner.lock.Unlock()
	if s.index >= 0 {
		heap.Remove(&s.owner.queue, s.index)
	}
}

// schedule holds the active subscriptions of a Service, ordered by due time. Due times are values of its Monotonic method.
type schedule struct {
	lock  container.Lock[container.Timer]
	queue dueQueue
}

func (s *schedule) add(now, delay, period time.Duration) *subscription {
	s.lock.Lock()
	defer s.lock.Unlock()
	sub := &subscription{owner: s, due: now + delay, period: period, c: make(chan time.Time, 1)}
	heap.Push(&s.queue, sub)
	return sub
}

// next returns the due time of the earliest subscription, and false if there is none.
func (s *schedule) next() (time.Duration, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.queue) == 0 {
		return 0, false
	}
	return s.queue[0].due, true
}

// fire sends wall to the subscriptions that are due at now.
func (s *schedule) fire(now time.Duration, wall time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for len(s.queue) > 0 && s.queue[0].due <= now {
		sub := s.queue[0]
		select {
		case sub.c <- wall:
		default:
		}
		if sub.period <= 0 {
			heap.Pop(&s.queue)
			continue
		}
		// Skips the ticks that were missed while the process was stopped.
		missed := (now - sub.due) / sub.period
		sub.due += (missed + 1) * sub.period
		heap.Fix(&s.queue, 0)
	}
}

// dueQueue is a heap of subscriptions with the earliest due time first.
type dueQueue []*subscription

func (q dueQueue) Len() int           { return len(q) }
func (q dueQueue) Less(i, j int) bool { return q[i].due < q[j].due }

func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push adds x, which is a *subscription, at the end.
func (q *dueQueue) Push(x any) {
	sub, ok := x.(*subscription)
	if !ok {
		panic(fmt.Sprintf("invariant timer-queue: pushed a %T, want a *subscription", x))
	}
	sub.index = len(*q)
	*q = append(*q, sub)
}

// Pop removes the last element.
func (q *dueQueue) Pop() any {
	old := *q
	sub := old[len(old)-1]
	old[len(old)-1] = nil
	sub.index = -1
	*q = old[:len(old)-1]
	return sub
}
