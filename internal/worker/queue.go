package worker

import "context"

// Queue is a bounded first-in, first-out Source.
type Queue[T any] struct {
	jobs chan T
}

// NewQueue returns a queue that holds at most size jobs.
func NewQueue[T any](size int) *Queue[T] {
	return &Queue[T]{jobs: make(chan T, size)}
}

// Offer adds a job and returns true, or returns false if the queue is full.
func (q *Queue[T]) Offer(job T) bool {
	select {
	case q.jobs <- job:
		return true
	default:
		return false
	}
}

// Next waits for a job. It returns false when ctx ends first.
func (q *Queue[T]) Next(ctx context.Context) (T, bool) {
	select {
	case job := <-q.jobs:
		return job, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}
