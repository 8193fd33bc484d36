package container

// minRingLength is the number of elements for which a Queue makes room when it first grows.
const minRingLength = 8

// Queue is a first-in, first-out queue in a ring that grows as needed. The zero value is an empty queue.
// It has no lock; the aggregate that owns it guards it.
type Queue[T any] struct {
	ring []T
	head int
	size int
}

// Push adds v at the end.
func (q *Queue[T]) Push(v T) {
	if q.size == len(q.ring) {
		q.grow()
	}
	q.ring[(q.head+q.size)%len(q.ring)] = v
	q.size++
}

// Pop removes and returns the first element. It returns false when the queue is empty.
func (q *Queue[T]) Pop() (T, bool) {
	var zero T
	if q.size == 0 {
		return zero, false
	}
	v := q.ring[q.head]
	q.ring[q.head] = zero
	q.head = (q.head + 1) % len(q.ring)
	q.size--
	return v, true
}

// Peek returns the first element without removing it. It returns false when the queue is empty.
func (q *Queue[T]) Peek() (T, bool) {
	if q.size == 0 {
		var zero T
		return zero, false
	}
	return q.ring[q.head], true
}

// Len returns the number of elements.
func (q *Queue[T]) Len() int { return q.size }

func (q *Queue[T]) grow() {
	ring := make([]T, max(minRingLength, 2*len(q.ring)))
	for i := range q.size {
		ring[i] = q.ring[(q.head+i)%len(q.ring)]
	}
	q.ring, q.head = ring, 0
}
