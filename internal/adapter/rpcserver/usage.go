package rpcserver

import (
	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/meter"
)

// Usage serves the usage records of one target under the name "Usage".
type Usage struct {
	keeper *meter.RecordBuffer
	runs   *executor.Executor
}

// NewUsage returns the receiver for an agent's records.
func NewUsage(keeper *meter.RecordBuffer, runs *executor.Executor) *Usage {
	return &Usage{keeper: keeper, runs: runs}
}

// Query answers a meter's query. The running requests are listed before the records, so that an attempt that ends in
// between is in one of the two lists.
func (u *Usage) Query(args messenger.UsageRequest, reply *messenger.UsageReply) error {
	reply.Envelope = args.Envelope
	running := u.runs.RunningFrom(args.Query.Of)
	reply.Reply = u.keeper.Answer(args.Query)
	reply.Reply.Running = running
	return nil
}
