package rpcserver

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/updater"
)

// maxPrefetchWait limits how long Prefetch runs before it replies.
const maxPrefetchWait = time.Minute

// WeightEngine is an engine that can load weights.
type WeightEngine interface {
	// Load switches the engine to v and returns the version that it reports afterwards, or zero if it does not answer.
	Load(ctx context.Context, v identifier.Version, fence identifier.Fence) identifier.Version
}

// Weights is the net/rpc receiver "Weights": it fetches weights, serves their chunks to peers and switches the engine.
type Weights struct {
	cache  *updater.ChunkCache
	origin updater.Origin
	peers  updater.Peers
	engine WeightEngine
	pinned func(v identifier.Version) bool
	clock  timer.Service
}

// NewWeights returns the receiver for an agent's chunk cache and engine. pinned reports whether callers are pinned to
// another version than the given one.
func NewWeights(
	cache *updater.ChunkCache, o updater.Origin, p updater.Peers, e WeightEngine, pinned func(identifier.Version) bool, clock timer.Service,
) *Weights {
	return &Weights{cache: cache, origin: o, peers: p, engine: e, pinned: pinned, clock: clock}
}

// Prefetch fetches the missing chunks of a version and reports whether all are in the cache.
func (w *Weights) Prefetch(args messenger.PrefetchRequest, reply *messenger.PrefetchReply) error {
	reply.Envelope = args.Envelope
	ctx, cancel := timer.WithTimeout(args.Context(), w.clock, min(args.Wait, maxPrefetchWait))
	defer cancel()
	puller := updater.NewPuller(args.Self, w.cache, w.origin, w.peers, w.clock)
	reply.Whole = puller.Prefetch(ctx, args.Manifest.Manifest(), args.Members)
	return nil
}

// Chunk returns a chunk. If it is not in the cache yet, Chunk waits up to args.Wait for it.
func (w *Weights) Chunk(args messenger.ChunkRequest, reply *messenger.ChunkReply) error {
	reply.Envelope = args.Envelope
	ctx, cancel := timer.WithTimeout(args.Context(), w.clock, min(args.Wait, maxReadWait))
	defer cancel()
	reply.Data, reply.Known = w.cache.Wait(ctx, args.Version, args.Index)
	return nil
}

// Switch switches the engine if every chunk of the version is in the cache and no caller is pinned to another version.
func (w *Weights) Switch(args messenger.SwitchRequest, reply *messenger.SwitchReply) error {
	reply.Envelope = args.Envelope
	if w.cache.IsComplete(args.Version) && !w.pinned(args.Version) {
		reply.Reported = w.engine.Load(args.Context(), args.Version, args.Fence)
	}
	return nil
}
