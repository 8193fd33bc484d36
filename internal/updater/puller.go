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
	// pullers is the number of chunks that an agent pulls at a time.
	pullers = 4
	// peerWait bounds the wait for a chunk at one peer; then the next one up the tree is asked.
	peerWait = 10 * time.Second
	// chunkTries bounds the rounds over all sources of a chunk.
	chunkTries = 3
)

// Origin is the platform's weight store.
type Origin interface {
	Chunk(ctx context.Context, m Manifest, i int) ([]byte, bool)
}

// Peers reaches other agents. Chunk waits until the peer has the chunk or ctx ends.
type Peers interface {
	Chunk(ctx context.Context, from Member, v identifier.Version, i int) ([]byte, bool)
}

// Puller fetches the weights of one agent.
type Puller struct {
	self   Member
	shelf  *ChunkCache
	origin Origin
	peers  Peers
	clock  timer.Service
}

// NewPuller returns the Puller of an agent, which fills shelf.
func NewPuller(self Member, shelf *ChunkCache, origin Origin, peers Peers, clock timer.Service) *Puller {
	return &Puller{self: self, shelf: shelf, origin: origin, peers: peers, clock: clock}
}

// Prefetch fetches every chunk of the manifest. It reports whether all are here and verified.
func (p *Puller) Prefetch(ctx context.Context, m Manifest, members []Member) bool {
	p.shelf.AddVersion(m)
	if p.shelf.IsComplete(m.Version) {
		return true
	}
	tree := NewTree(p.self.Region, members)
	queue := worker.NewQueue[int](m.Len())
	for i := range m.Len() {
		queue.Offer(i)
	}
	var left atomic.Int64
	left.Store(int64(m.Len()))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pool := worker.NewPool(pullers, queue, func(poolCtx context.Context, i int) {
		chunkCtx, stop := context.WithCancel(ctx)
		defer stop()
		defer context.AfterFunc(poolCtx, stop)()
		if !p.fetch(chunkCtx, m, tree, i) || left.Add(-1) == 0 {
			cancel()
		}
	})
	<-ctx.Done()
	pool.Close()
	return p.shelf.IsComplete(m.Version)
}

// fetch gets one chunk from the tree. A damaged chunk is asked for again at the next source. The agents at the top of
// a chunk's tree go to the weight store; the others do so only after every source above them has failed.
func (p *Puller) fetch(ctx context.Context, m Manifest, tree Tree, i int) bool {
	above := tree.Ancestors(p.self.Target, i)
	for range chunkTries {
		for _, from := range above {
			waitCtx, cancel := timer.WithTimeout(ctx, p.clock, peerWait)
			data, ok := p.peers.Chunk(waitCtx, from, m.Version, i)
			cancel()
			if ok && p.shelf.Put(m.Version, i, data) {
				return true
			}
		}
		if data, ok := p.origin.Chunk(ctx, m, i); ok && p.shelf.Put(m.Version, i, data) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}
