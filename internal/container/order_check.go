//go:build lockcheck

package container

import (
	"bytes"
	"fmt"
	"runtime"
	"slices"
	"sync"
)

// held records the ranks that each goroutine holds, by goroutine number.
var held = struct {
	sync.Mutex
	ranks map[string][]Rank
}{ranks: map[string][]Rank{}}

// goroutine returns the number of the calling goroutine, read from its stack header.
func goroutine() string {
	var buf [64]byte
	n := runtime.Stack(buf[:], false)
	fields := bytes.Fields(buf[:n])
	return string(fields[1])
}

func beforeLock(r Rank) {
	id := goroutine()
	held.Lock()
	defer held.Unlock()
	for _, h := range held.ranks[id] {
		if h >= r {
			panic(fmt.Sprintf("invariant lock-order: rank %d taken while rank %d is held", r, h))
		}
	}
}

func afterLock(r Rank) {
	id := goroutine()
	held.Lock()
	defer held.Unlock()
	held.ranks[id] = append(held.ranks[id], r)
}

func afterUnlock(r Rank) {
	id := goroutine()
	held.Lock()
	defer held.Unlock()
	ranks := held.ranks[id]
	if i := slices.Index(ranks, r); i >= 0 {
		ranks = slices.Delete(ranks, i, i+1)
	}
	if len(ranks) == 0 {
		delete(held.ranks, id)
		return
	}
	held.ranks[id] = ranks
}
