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

// maxReadWait bounds how long a read may hold a call open.
const maxReadWait = 10 * time.Second

// Agent serves the attempts of one target under the name "Agent".
type Agent struct {
	gate    *gatekeeper.Gatekeeper
	runs    *executor.Executor
	clock   timer.Service
	version func() identifier.Version
	stop    chan struct{}
}

// NewAgent returns the receiver for an agent's gate and executor. version returns the target's weight version.
func NewAgent(gate *gatekeeper.Gatekeeper, runs *executor.Executor, clock timer.Service, version func() identifier.Version) *Agent {
	return &Agent{gate: gate, runs: runs, clock: clock, version: version, stop: make(chan struct{})}
}

// tracer makes the spans of the agent.
var tracer = otel.Tracer("github.com/mimosalb/mimosalb/internal/adapter/rpcserver")

// Start offers an attempt to the gate.
func (a *Agent) Start(args messenger.StartRequest, reply *messenger.StartReply) error {
	ctx, span := tracer.Start(args.Context(), "agent")
	defer span.End()
	reply.Envelope = args.Envelope
	offer := gatekeeper.Offer{Attempt: args.Attempt, Incarnation: args.Incarnation, Issued: args.Issued, Once: args.Call.Once}
	reply.Verdict = a.runs.Start(ctx, offer, args.Call, args.Timeout)
	return nil
}

// Read returns pieces of an answer and waits for one if there is none.
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
	alarm := a.clock.After(min(args.Wait, maxReadWait))
	defer alarm.Stop()
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
		case <-alarm.C():
			return nil
		case <-a.stop:
			return nil
		}
	}
}

// Close ends the reads that wait, so that the server does not wait for them. It must be called once.
func (a *Agent) Close() { close(a.stop) }

// Settle tells what became of an attempt and rules it out if it was not admitted.
func (a *Agent) Settle(args messenger.SettleRequest, reply *messenger.SettleReply) error {
	reply.Envelope = args.Envelope
	offer := gatekeeper.Offer{Attempt: args.Attempt, Incarnation: args.Incarnation, Issued: args.Issued}
	reply.Settlement = a.gate.Settle(offer, a.clock.Now())
	return nil
}

// Cancel stops an attempt.
func (a *Agent) Cancel(args messenger.CancelRequest, reply *messenger.CancelReply) error {
	reply.Envelope = args.Envelope
	a.runs.Cancel(args.Attempt)
	a.gate.MarkRead(args.Attempt)
	return nil
}

// Report returns the agent's load and state.
func (a *Agent) Report(args messenger.ReportRequest, reply *messenger.ReportReply) error {
	reply.Envelope = args.Envelope
	reply.Incarnation = a.gate.Incarnation()
	reply.Running, reply.Draining = a.gate.Load()
	reply.Version = a.version()
	return nil
}
