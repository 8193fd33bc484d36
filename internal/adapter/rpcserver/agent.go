package rpcserver

import (
	"time"

	"go.opentelemetry.io/otel"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// maxReadWait limits how long Read and Chunk wait before they reply.
const maxReadWait = 10 * time.Second

// Agent is the net/rpc receiver "Agent": it starts, reads, settles and cancels the attempts of one target.
type Agent struct {
	gate     *gatekeeper.Gatekeeper
	executor *executor.Executor
	clock    timer.Service
	version  func() identifier.Version
	release  identifier.Release
	stop     chan struct{}
}

// NewAgent returns the receiver that serves the attempts of gate and e. version returns the target's weight version, and release
// is its software version.
func NewAgent(
	gate *gatekeeper.Gatekeeper, e *executor.Executor, clock timer.Service, version func() identifier.Version, release identifier.Release,
) *Agent {
	return &Agent{gate: gate, executor: e, clock: clock, version: version, release: release, stop: make(chan struct{})}
}

// tracer creates the spans of the receivers.
var tracer = otel.Tracer("github.com/mimosalb/mimosalb/internal/adapter/rpcserver")

// Start offers an attempt to the gate and, if the gate admits it, executes it.
func (a *Agent) Start(args messenger.StartRequest, reply *messenger.StartReply) error {
	ctx, span := tracer.Start(args.Context(), "agent")
	defer span.End()
	reply.Envelope = args.Envelope
	offer := gatekeeper.Offer{Attempt: args.Attempt, Incarnation: args.Incarnation, Issued: args.Issued, Once: args.Call.Once}
	reply.Verdict = a.executor.Start(ctx, offer, args.Call, args.Timeout)
	return nil
}

// Read returns the pieces of an answer from args.From on. If there are none yet, it waits up to args.Wait for the next
// one.
func (a *Agent) Read(args messenger.ReadRequest, reply *messenger.ReadReply) error {
	reply.Envelope = args.Envelope
	if args.Incarnation != a.gate.Incarnation() {
		return nil
	}
	stream, ok := a.gate.Stream(args.Attempt)
	if !ok {
		return nil
	}
	reply.Known = true
	expiry := a.clock.After(min(args.Wait, maxReadWait))
	defer expiry.Stop()
	for {
		chunk, changed := stream.Read(args.From)
		reply.Chunk = chunk
		if chunk.Done() {
			a.gate.MarkRead(args.Attempt)
		}
		if len(chunk.Pieces) > 0 || chunk.Done() {
			return nil
		}
		select {
		case <-changed:
		case <-expiry.C():
			return nil
		case <-a.stop:
			return nil
		}
	}
}

// Close ends the waiting Read calls, so that closing the server does not wait for them. It must be called once.
func (a *Agent) Close() { close(a.stop) }

// Settle returns the state of an attempt and prevents its later admission if it was not admitted.
func (a *Agent) Settle(args messenger.SettleRequest, reply *messenger.SettleReply) error {
	reply.Envelope = args.Envelope
	offer := gatekeeper.Offer{Attempt: args.Attempt, Incarnation: args.Incarnation, Issued: args.Issued}
	reply.Settlement = a.gate.Settle(offer, a.clock.Now())
	return nil
}

// Cancel stops an attempt.
func (a *Agent) Cancel(args messenger.CancelRequest, reply *messenger.CancelReply) error {
	reply.Envelope = args.Envelope
	a.executor.Cancel(args.Attempt)
	a.gate.MarkRead(args.Attempt)
	return nil
}

// Report returns the agent's incarnation, load, drain state, weight version and software version.
func (a *Agent) Report(args messenger.ReportRequest, reply *messenger.ReportReply) error {
	reply.Envelope = args.Envelope
	reply.Incarnation = a.gate.Incarnation()
	reply.Running, reply.Draining = a.gate.Load()
	reply.Version, reply.Release = a.version(), a.release
	return nil
}
