//go:build lockcheck

package container

import (
	"fmt"
	"slices"
	"sync"
)

// heldShards is the number of shards of heldRanks. A single shard, or a goroutine ID read from runtime.Stack, which
// takes a lock of the runtime, made the tests with many goroutines six times slower.
const heldShards = 64

// heldRanks records the ranks of the locks that each goroutine holds. A goroutine that ends holds none, so that its ID
// can be reused.
var heldRanks [heldShards]struct {
	sync.Mutex

	ranks map[uintptr][]Rank
}

func beforeLock(r Rank) {
	id := goroutineID()
	shard := &heldRanks[id>>10%heldShards]
	shard.Lock()
	defer shard.Unlock()
	for _, held := range shard.ranks[id] {
		if held >= r {
			panic(fmt.Sprintf("invariant lock-order: rank %d taken while rank %d is held", r, held))
		}
	}
}

func afterLock(r Rank) {
	id := goroutineID()
	shard := &heldRanks[id>>10%heldShards]
	shard.Lock()
	defer shard.Unlock()
	if shard.ranks == nil {
		shard.ranks = make(map[uintptr][]Rank)
	}
	shard.ranks[id] = append(shard.ranks[id], r)
}

func afterUnlock(r Rank) {
	id := goroutineID()
	shard := &heldRanks[id>>10%heldShards]
	shard.Lock()
	defer shard.Unlock()
	ranks := shard.ranks[id]
	if i := slices.Index(ranks, r); i >= 0 {
		ranks = slices.Delete(ranks, i, i+1)
	}
	if len(ranks) == 0 {
		delete(shard.ranks, id)
		return
	}
	shard.ranks[id] = ranks
}
