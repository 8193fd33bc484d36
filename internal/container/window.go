package container

// Window keeps the most recent values up to its capacity. The zero value keeps DefaultWindow values.
// It has no lock; the aggregate that owns it guards it.
type Window[T any] struct {
	Capacity int
	ring     []T
	next     int // index of the oldest value of a full ring
}

// DefaultWindow is the capacity of a window whose Capacity is zero.
const DefaultWindow = 64

// Add appends v and drops the oldest value when the window is full.
func (w *Window[T]) Add(v T) {
	capacity := w.Capacity
	if capacity <= 0 {
		capacity = DefaultWindow
	}
	if len(w.ring) < capacity {
		w.ring = append(w.ring, v)
		return
	}
	w.ring[w.next] = v
	w.next = (w.next + 1) % capacity
}

// Values returns the kept values, oldest first.
func (w *Window[T]) Values() []T {
	vs := make([]T, 0, len(w.ring))
	vs = append(vs, w.ring[w.next:]...)
	return append(vs, w.ring[:w.next]...)
}

// Len returns the number of kept values.
func (w *Window[T]) Len() int { return len(w.ring) }
