// Package container holds the generic containers that aggregates share: ranked locks, tables, queues and windows.
package container

import "sync"

// Lock is a mutual exclusion lock with the rank of R. The zero value is an unlocked lock.
// Builds with the tag lockcheck panic when a goroutine takes locks out of order.
type Lock[R Ranked] struct {
	mu sync.Mutex
}

// Lock takes the lock.
func (l *Lock[R]) Lock() {
	var r R
	beforeLock(r.Rank())
	l.mu.Lock()
	afterLock(r.Rank())
}

// Unlock releases the lock.
func (l *Lock[R]) Unlock() {
	var r R
	l.mu.Unlock()
	afterUnlock(r.Rank())
}
