package rpcserver

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/updater"
)

// maxPrefetchWait bounds how long a prefetch may hold a call open.
const maxPrefetchWait = time.Minute

// WeightEngine switches an engine and returns the version that it reports afterwards; zero when it does not answer.
type WeightEngine interface {
	Load(ctx context.Context, v identifier.Version, fence identifier.Fence) identifier.Version
}

// Weights serves the weight transfer of one agent under the name "Weights".
type Weights struct {
	shelf  *updater.ChunkCache
	origin updater.Origin
	peers  updater.Peers
	engine WeightEngine
	pinned func(v identifier.Version) bool
	clock  timer.Service
}

// NewWeights returns the receiver for an agent's shelf and engine. pinned reports whether callers need another version
// than the given one.
func NewWeights(
	s *updater.ChunkCache, o updater.Origin, p updater.Peers, e WeightEngine, pinned func(identifier.Version) bool, clock timer.Service,
) *Weights {
	return &Weights{shelf: s, origin: o, peers: p, engine: e, pinned: pinned, clock: clock}
}

// Prefetch fetches the chunks of a version.
func (w *Weights) Prefetch(args messenger.PrefetchRequest, reply *messenger.PrefetchReply) error {
	reply.Envelope = args.Envelope
	ctx, cancel := timer.WithTimeout(args.Context(), w.clock, min(args.Wait, maxPrefetchWait))
	defer cancel()
	puller := updater.NewPuller(args.Self, w.shelf, w.origin, w.peers, w.clock)
	reply.Whole = puller.Prefetch(ctx, args.Manifest.Manifest(), args.Members)
	return nil
}

// Chunk returns a chunk and waits for it if it is not there yet.
func (w *Weights) Chunk(args messenger.ChunkRequest, reply *messenger.ChunkReply) error {
	reply.Envelope = args.Envelope
	ctx, cancel := timer.WithTimeout(args.Context(), w.clock, min(args.Wait, maxReadWait))
	defer cancel()
	reply.Data, reply.Known = w.shelf.Wait(ctx, args.Version, args.Index)
	return nil
}

// Switch switches the engine if every chunk of the version is there and no caller is pinned to another version.
func (w *Weights) Switch(args messenger.SwitchRequest, reply *messenger.SwitchReply) error {
	reply.Envelope = args.Envelope
	if w.shelf.IsComplete(args.Version) && !w.pinned(args.Version) {
		reply.Reported = w.engine.Load(args.Context(), args.Version, args.Fence)
	}
	return nil
}
