package rpcclient

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/updater"
)

const (
	// prefetchWait bounds one prefetch call; a longer transfer is asked for again and goes on.
	prefetchWait = 30 * time.Second
	// chunkWait is how long a peer may wait for a chunk of its own.
	chunkWait = 5 * time.Second
	// switchWait bounds the switch of an engine.
	switchWait = 10 * time.Second
)

// Weights reaches the agents that hold weights over net/rpc. It is the coordinator's way to them and their way to each
// other.
type Weights struct {
	client *Client
}

// NewWeights returns the way to the agents over c.
func NewWeights(c *Client) Weights { return Weights{client: c} }

// Prefetch lets an agent fetch the weights.
func (w Weights) Prefetch(ctx context.Context, to updater.Member, m updater.Manifest, members []updater.Member) bool {
	args := &messenger.PrefetchRequest{
		Envelope: messenger.NewEnvelope(ctx, string(to.Target)), Self: to, Manifest: messenger.FromManifest(m), Members: members, Wait: prefetchWait,
	}
	reply, err := call[messenger.PrefetchReply](ctx, w.client, to.Address, "Weights.Prefetch", args, prefetchWait+callTimeout)
	return err == nil && reply.Whole
}

// Chunk asks a peer for a chunk.
func (w Weights) Chunk(ctx context.Context, from updater.Member, v identifier.Version, i int) ([]byte, bool) {
	args := &messenger.ChunkRequest{Envelope: messenger.NewEnvelope(ctx, string(from.Target)), Version: v, Index: i, Wait: chunkWait}
	reply, err := call[messenger.ChunkReply](ctx, w.client, from.Address, "Weights.Chunk", args, chunkWait+callTimeout)
	return reply.Data, err == nil && reply.Known
}

// Switch lets an agent switch its engine.
func (w Weights) Switch(ctx context.Context, to updater.Member, v identifier.Version, fence identifier.Fence) identifier.Version {
	args := &messenger.SwitchRequest{Envelope: messenger.NewEnvelope(ctx, string(to.Target)), Version: v, Fence: fence}
	reply, err := call[messenger.SwitchReply](ctx, w.client, to.Address, "Weights.Switch", args, switchWait)
	if err != nil {
		return 0
	}
	return reply.Reported
}
