package rpcserver

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/collector"
)

// RunHandler answers calls to training runs.
type RunHandler interface {
	Handle(ctx context.Context, c collector.Call) collector.Reply
}

// Runs serves the training runs that an entry owns under the name "Runs".
type Runs struct {
	handler RunHandler
}

// NewRuns returns the receiver for a handler.
func NewRuns(h RunHandler) *Runs { return &Runs{handler: h} }

// Handle answers a call that another entry passes on.
func (r *Runs) Handle(args messenger.RunRequest, reply *messenger.RunReply) error {
	ctx, span := tracer.Start(args.Context(), "run")
	defer span.End()
	reply.Envelope = args.Envelope
	reply.Reply = r.handler.Handle(ctx, args.Call.WithForwarded())
	return nil
}
