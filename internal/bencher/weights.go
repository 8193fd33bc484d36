package bencher

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/updater"
)

var _ = Register("weights", benchWeights)

// Parameters of the simulated transfer. Links are simulated in real time; chunks, digests and the tree are the updater's.
const (
	weightChunks     = 64
	weightChunkBytes = 16 << 10
	weightRegions    = 3
	// weightBytesPerSecond is the rate of the weight store, shared by all agents, and of each agent's uplink.
	weightBytesPerSecond = 64 << 20
)

// benchWeights compares the distribution tree with agents that fetch all weights directly from the weight store.
func benchWeights(ctx context.Context) ([]Figure, error) {
	var figures []Figure
	for _, n := range []int{8, 64, 256} {
		direct, directBytes, err := transferWeights(ctx, n, false)
		if err != nil {
			return nil, err
		}
		tree, treeBytes, err := transferWeights(ctx, n, true)
		if err != nil {
			return nil, err
		}
		size := float64(weightChunks * weightChunkBytes)
		figures = append(figures,
			Figure{Name: fmt.Sprintf("weights/time-%d", n), Unit: "s", Value: tree.Seconds(), Baseline: direct.Seconds()},
			Figure{
				Name: fmt.Sprintf("weights/copies-per-region-%d", n), Unit: "copies", Value: float64(treeBytes) / size / weightRegions,
				Baseline: float64(directBytes) / size / weightRegions, Target: AtMost(1),
			})
	}
	return figures, nil
}

// rateLimitedLink is a link that sends at most weightBytesPerSecond.
type rateLimitedLink struct {
	clock  timer.Service
	mu     sync.Mutex
	freeAt time.Duration
	sent   atomic.Int64
}

// send waits until n bytes are sent or ctx ends, and reports whether they were sent.
func (l *rateLimitedLink) send(ctx context.Context, n int) bool {
	l.mu.Lock()
	now := l.clock.Monotonic()
	l.freeAt = max(l.freeAt, now) + time.Duration(n)*time.Second/weightBytesPerSecond
	wait := l.clock.After(l.freeAt - now)
	l.mu.Unlock()
	defer wait.Stop()
	select {
	case <-wait.C():
		l.sent.Add(int64(n))
		return true
	case <-ctx.Done():
		return false
	}
}

// transferNetwork holds the links and chunk caches of a simulated fleet.
type transferNetwork struct {
	data    []byte
	store   *rateLimitedLink
	uplinks map[identifier.Target]*rateLimitedLink
	caches  map[identifier.Target]*updater.ChunkCache
}

// networkOrigin is the updater.Origin that sends over the link of the weight store.
type networkOrigin struct{ *transferNetwork }

func (o networkOrigin) Chunk(ctx context.Context, m updater.Manifest, i int) ([]byte, bool) {
	size := int(m.Chunk)
	return o.data[i*size : (i+1)*size], o.store.send(ctx, size)
}

// networkPeers are the updater.Peers that send from their caches over their uplinks.
type networkPeers struct{ *transferNetwork }

func (p networkPeers) Chunk(ctx context.Context, from updater.Member, v identifier.Version, i int) ([]byte, bool) {
	data, ok := p.caches[from.Target].Wait(ctx, v, i)
	return data, ok && p.uplinks[from.Target].send(ctx, len(data))
}

// transferWeights transfers weights to n agents and returns the time and the bytes that the weight store sent. Each of
// these bytes crosses into a region.
func transferWeights(ctx context.Context, n int, tree bool) (time.Duration, int64, error) {
	clock := timer.NewSystem()
	defer clock.Close()
	network := &transferNetwork{
		data: make([]byte, weightChunks*weightChunkBytes), store: &rateLimitedLink{clock: clock},
		uplinks: make(map[identifier.Target]*rateLimitedLink), caches: make(map[identifier.Target]*updater.ChunkCache),
	}
	members := make([]updater.Member, n)
	for i := range members {
		id := identifier.Target(fmt.Sprint("sampler-", i))
		members[i] = updater.Member{Target: id, Region: identifier.Region(fmt.Sprint("region-", i%weightRegions))}
		network.uplinks[id], network.caches[id] = &rateLimitedLink{clock: clock}, &updater.ChunkCache{}
	}
	m := updater.NewManifest("sortmind", 2, network.data, weightChunkBytes)
	start := clock.Monotonic()
	var done sync.WaitGroup
	var failed atomic.Bool
	for _, self := range members {
		done.Go(func() {
			peers := members
			if !tree {
				peers = []updater.Member{self}
			}
			if !updater.NewPuller(self, network.caches[self.Target], networkOrigin{network}, networkPeers{network}, clock).Prefetch(ctx, m, peers) {
				failed.Store(true)
			}
		})
	}
	done.Wait()
	if failed.Load() {
		return 0, 0, fmt.Errorf("at least one of %d agents did not receive all %d chunks of the weights", n, weightChunks)
	}
	return clock.Monotonic() - start, network.store.sent.Load(), nil
}
