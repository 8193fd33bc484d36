package bencher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/updater"
)

var _ = Register("weights", benchWeights)

// Sizes of the simulated transfer. Links are simulated in real time; chunks, digests and layout are the updater's.
const (
	weightChunks    = 64
	weightChunkSize = 16 << 10
	weightRegions   = 3
	// weightRate is the rate of the weight store for all and of each agent's uplink, in bytes per second.
	weightRate = 64 << 20
)

// benchWeights compares the tree with agents that fetch all weights from the store themselves.
func benchWeights(ctx context.Context) ([]Figure, error) {
	var figures []Figure
	for _, n := range []int{8, 64, 256} {
		alone, aloneBytes, err := transfer(ctx, n, false)
		if err != nil {
			return nil, err
		}
		tree, treeBytes, err := transfer(ctx, n, true)
		if err != nil {
			return nil, err
		}
		size := float64(weightChunks * weightChunkSize)
		figures = append(figures,
			Figure{Name: fmt.Sprintf("weights/time-%d", n), Unit: "s", Value: tree.Seconds(), Baseline: alone.Seconds()},
			Figure{
				Name: fmt.Sprintf("weights/copies-per-region-%d", n), Unit: "copies", Value: float64(treeBytes) / size / weightRegions,
				Baseline: float64(aloneBytes) / size / weightRegions, Target: AtMost(1),
			})
	}
	return figures, nil
}

// link is a sender with a limited rate.
type link struct {
	clock timer.Service
	mu    sync.Mutex
	free  time.Duration
	sent  atomic.Int64
}

// send waits until n bytes have left.
func (l *link) send(ctx context.Context, n int) bool {
	l.mu.Lock()
	now := l.clock.Boot()
	l.free = max(l.free, now) + time.Duration(n)*time.Second/weightRate
	wait := l.clock.After(l.free - now)
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

// net holds the links and shelves of a simulated fleet.
type net struct {
	data    []byte
	store   *link
	uplinks map[identifier.Target]*link
	shelves map[identifier.Target]*updater.ChunkCache
}

type storeLink struct{ *net }

func (s storeLink) Chunk(ctx context.Context, m updater.Manifest, i int) ([]byte, bool) {
	size := int(m.Chunk)
	return s.data[i*size : (i+1)*size], s.store.send(ctx, size)
}

type peerLink struct{ *net }

func (p peerLink) Chunk(ctx context.Context, from updater.Member, v identifier.Version, i int) ([]byte, bool) {
	data, ok := p.shelves[from.Target].Wait(ctx, v, i)
	return data, ok && p.uplinks[from.Target].send(ctx, len(data))
}

// transfer brings weights to n agents and returns the time and the bytes that left the weight store, each of which
// crosses into a region.
func transfer(ctx context.Context, n int, tree bool) (time.Duration, int64, error) {
	clock := timer.NewSystem()
	defer clock.Close()
	fleet := &net{
		data: make([]byte, weightChunks*weightChunkSize), store: &link{clock: clock},
		uplinks: make(map[identifier.Target]*link), shelves: make(map[identifier.Target]*updater.ChunkCache),
	}
	members := make([]updater.Member, n)
	for i := range members {
		id := identifier.Target(fmt.Sprint("sampler-", i))
		members[i] = updater.Member{Target: id, Region: identifier.Region(fmt.Sprint("region-", i%weightRegions))}
		fleet.uplinks[id], fleet.shelves[id] = &link{clock: clock}, &updater.ChunkCache{}
	}
	m := updater.NewManifest("sortmind", 2, fleet.data, weightChunkSize)
	start := clock.Boot()
	var done sync.WaitGroup
	var failed atomic.Bool
	for _, self := range members {
		done.Go(func() {
			peers := members
			if !tree {
				peers = []updater.Member{self}
			}
			if !updater.NewPuller(self, fleet.shelves[self.Target], storeLink{fleet}, peerLink{fleet}, clock).Prefetch(ctx, m, peers) {
				failed.Store(true)
			}
		})
	}
	done.Wait()
	if failed.Load() {
		return 0, 0, errors.New("an agent did not get the weights")
	}
	return clock.Boot() - start, fleet.store.sent.Load(), nil
}
