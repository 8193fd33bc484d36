package rpcclient

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/updater"
)

const (
	// prefetchWait limits one prefetch call; the caller repeats the call to continue a longer transfer.
	prefetchWait = 30 * time.Second
	// chunkWait is how long a peer may wait for a chunk that it does not have yet.
	chunkWait = 5 * time.Second
	// switchTimeout limits the switch of an engine.
	switchTimeout = 10 * time.Second
)

// Weights calls the agents that hold weights over net/rpc, on behalf of the coordinator or of another agent.
type Weights struct {
	client *Client
}

// NewWeights returns a Weights that calls the agents through c.
func NewWeights(c *Client) Weights { return Weights{client: c} }

// Prefetch makes an agent fetch the weights of m and reports whether it has every chunk.
func (w Weights) Prefetch(ctx context.Context, to updater.Member, m updater.Manifest, members []updater.Member) bool {
	args := &messenger.PrefetchRequest{
		Envelope: messenger.NewEnvelope(ctx, string(to.Target)), Self: to, Manifest: messenger.FromManifest(m), Members: members, Wait: prefetchWait,
	}
	reply, err := call[messenger.PrefetchReply](ctx, w.client, to.Address, "Weights.Prefetch", args, prefetchWait+callTimeout)
	return err == nil && reply.Whole
}

// Chunk fetches a chunk from a peer. It returns false if the peer did not answer or has no such chunk.
func (w Weights) Chunk(ctx context.Context, from updater.Member, v identifier.Version, i int) ([]byte, bool) {
	args := &messenger.ChunkRequest{Envelope: messenger.NewEnvelope(ctx, string(from.Target)), Version: v, Index: i, Wait: chunkWait}
	reply, err := call[messenger.ChunkReply](ctx, w.client, from.Address, "Weights.Chunk", args, chunkWait+callTimeout)
	return reply.Data, err == nil && reply.Known
}

// Switch makes an agent switch its engine and returns the version that the engine reports; zero if there is no answer.
func (w Weights) Switch(ctx context.Context, to updater.Member, v identifier.Version, fence identifier.Fence) identifier.Version {
	args := &messenger.SwitchRequest{Envelope: messenger.NewEnvelope(ctx, string(to.Target)), Version: v, Fence: fence}
	reply, err := call[messenger.SwitchReply](ctx, w.client, to.Address, "Weights.Switch", args, switchTimeout)
	if err != nil {
		return 0
	}
	return reply.Reported
}
