// Package reserver bounds the memory that large bodies take in a process.
package reserver

import (
	"context"

	"golang.org/x/sync/semaphore"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Reserver reserves parts of a fixed amount of memory for bodies, in the order in which they are asked for. It only counts: what
// a reservation stands for is up to its holder.
//
// Invariant: the reservations that are held at a time do not exceed the capacity.
type Reserver struct {
	capacity identifier.Bytes
	free     *semaphore.Weighted
}

// NewReserver returns a Reserver of the given capacity. With a capacity of zero it grants every reservation at once.
func NewReserver(capacity identifier.Bytes) *Reserver {
	return &Reserver{capacity: capacity, free: semaphore.NewWeighted(int64(capacity))}
}

// Reserve reserves n bytes, or the whole capacity if that is less. It waits until they are free; the result is false if ctx ends
// first. The caller must call release once.
func (r *Reserver) Reserve(ctx context.Context, n identifier.Bytes) (release func(), ok bool) {
	n = min(n, r.capacity)
	if r.free.Acquire(ctx, int64(n)) != nil {
		return nil, false
	}
	return func() { r.free.Release(int64(n)) }, true
}

// TryReserve is like Reserve, but does not wait: it returns false if n bytes are not free now.
func (r *Reserver) TryReserve(n identifier.Bytes) (release func(), ok bool) {
	n = min(n, r.capacity)
	if !r.free.TryAcquire(int64(n)) {
		return nil, false
	}
	return func() { r.free.Release(int64(n)) }, true
}
