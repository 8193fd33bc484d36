package rpcserver

import (
	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/meter"
)

// Usage is the net/rpc receiver "Usage": it serves the usage records of one target.
type Usage struct {
	records  *meter.RecordBuffer
	executor *executor.Executor
}

// NewUsage returns the receiver that serves records and the running requests of e.
func NewUsage(records *meter.RecordBuffer, e *executor.Executor) *Usage {
	return &Usage{records: records, executor: e}
}

// Query answers a meter's query. It lists the running requests before the records, so that an attempt that ends in
// between is in at least one of the two lists.
func (u *Usage) Query(args messenger.UsageRequest, reply *messenger.UsageReply) error {
	reply.Envelope = args.Envelope
	running := u.executor.RunningRequests(args.Query.Of)
	reply.Reply = u.records.Answer(args.Query)
	reply.Reply.Running = running
	return nil
}
