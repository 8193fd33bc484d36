package updater

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

const (
	// concurrentChunks is the number of chunks that an agent fetches at a time.
	concurrentChunks = 4
	// peerTimeout bounds the wait for a chunk from one peer, after which the next ancestor in the tree is asked.
	peerTimeout = 10 * time.Second
	// maxChunkAttempts limits the attempts to fetch a chunk; each attempt asks all of its sources.
	maxChunkAttempts = 3
)

// Origin is the platform's weight store.
type Origin interface {
	Chunk(ctx context.Context, m Manifest, i int) ([]byte, bool)
}

// Peers fetches chunks from other agents. Chunk waits until the peer has the chunk or ctx ends.
type Peers interface {
	Chunk(ctx context.Context, from Member, v identifier.Version, i int) ([]byte, bool)
}

// Puller fetches the weights of one agent.
type Puller struct {
	self   Member
	cache  *ChunkCache
	origin Origin
	peers  Peers
	clock  timer.Service
}

// NewPuller returns the Puller of the agent self. It stores the chunks in cache.
func NewPuller(self Member, cache *ChunkCache, origin Origin, peers Peers, clock timer.Service) *Puller {
	return &Puller{self: self, cache: cache, origin: origin, peers: peers, clock: clock}
}

// Prefetch fetches every chunk of the manifest unless the cache has them all. It reports whether the cache then has
// all of them, verified.
func (p *Puller) Prefetch(ctx context.Context, m Manifest, members []Member) bool {
	p.cache.AddVersion(m)
	if p.cache.IsComplete(m.Version) {
		return true
	}
	tree := NewTree(p.self.Region, members)
	queue := worker.NewQueue[int](m.Len())
	for i := range m.Len() {
		queue.Offer(i)
	}
	var remaining atomic.Int64
	remaining.Store(int64(m.Len()))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pool := worker.NewPool(concurrentChunks, queue, func(poolCtx context.Context, i int) {
		chunkCtx, stop := context.WithCancel(ctx)
		defer stop()
		defer context.AfterFunc(poolCtx, stop)()
		if !p.fetch(chunkCtx, m, tree, i) || remaining.Add(-1) == 0 {
			cancel()
		}
	})
	<-ctx.Done()
	pool.Close()
	return p.cache.IsComplete(m.Version)
}

// fetch fetches one chunk from the agents above self in the tree. If a chunk is damaged, the next source is asked. An
// agent at the top of a chunk's tree fetches from the weight store; the others do so only after every ancestor failed.
func (p *Puller) fetch(ctx context.Context, m Manifest, tree Tree, i int) bool {
	ancestors := tree.Ancestors(p.self.Target, i)
	for range maxChunkAttempts {
		for _, from := range ancestors {
			waitCtx, cancel := timer.WithTimeout(ctx, p.clock, peerTimeout)
			data, ok := p.peers.Chunk(waitCtx, from, m.Version, i)
			cancel()
			if ok && p.cache.Put(m.Version, i, data) {
				return true
			}
		}
		if data, ok := p.origin.Chunk(ctx, m, i); ok && p.cache.Put(m.Version, i, data) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}
