//go:build lockcheck

package container

import (
	"fmt"
	"slices"
	"sync"
)

// holders is the number of parts of the record of held locks. One part, or a goroutine number read from
// runtime.Stack, which takes a lock of the runtime, made the tests with many goroutines six times slower.
const holders = 64

// held records the ranks that each goroutine holds. A goroutine that ends holds none, so that its number may be used
// again.
var held [holders]struct {
	sync.Mutex

	ranks map[uintptr][]Rank
}

func beforeLock(r Rank) {
	id := goroutine()
	h := &held[id>>10%holders]
	h.Lock()
	defer h.Unlock()
	for _, other := range h.ranks[id] {
		if other >= r {
			panic(fmt.Sprintf("invariant lock-order: rank %d taken while rank %d is held", r, other))
		}
	}
}

func afterLock(r Rank) {
	id := goroutine()
	h := &held[id>>10%holders]
	h.Lock()
	defer h.Unlock()
	if h.ranks == nil {
		h.ranks = make(map[uintptr][]Rank)
	}
	h.ranks[id] = append(h.ranks[id], r)
}

func afterUnlock(r Rank) {
	id := goroutine()
	h := &held[id>>10%holders]
	h.Lock()
	defer h.Unlock()
	ranks := h.ranks[id]
	if i := slices.Index(ranks, r); i >= 0 {
		ranks = slices.Delete(ranks, i, i+1)
	}
	if len(ranks) == 0 {
		delete(h.ranks, id)
		return
	}
	h.ranks[id] = ranks
}
