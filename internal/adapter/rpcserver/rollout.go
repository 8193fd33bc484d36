package rpcserver

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/collector"
)

// RunHandler handles calls to training runs.
type RunHandler interface {
	Handle(ctx context.Context, c collector.Call) collector.Reply
}

// Runs is the net/rpc receiver "Runs": it handles calls to the training runs that this entry owns.
type Runs struct {
	handler RunHandler
}

// NewRuns returns the receiver that passes calls to h.
func NewRuns(h RunHandler) *Runs { return &Runs{handler: h} }

// Handle answers a call that another entry has forwarded.
func (r *Runs) Handle(args messenger.RunRequest, reply *messenger.RunReply) error {
	ctx, span := tracer.Start(args.Context(), "run")
	defer span.End()
	reply.Envelope = args.Envelope
	reply.Reply = r.handler.Handle(ctx, args.Call.WithForwarded())
	return nil
}
