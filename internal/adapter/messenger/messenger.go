// Package messenger defines the net/rpc messages between the system's own processes.
package messenger

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// Envelope is embedded in every request and reply. A reply has the ID of its request.
type Envelope struct {
	// ID identifies the call; the client closes the connection when a reply has another ID.
	ID string
	// Trace is the trace context in W3C form.
	Trace map[string]string
}

// Identity returns the ID of the call.
func (e Envelope) Identity() string { return e.ID }

// NewEnvelope returns an envelope with the trace context of ctx.
func NewEnvelope(ctx context.Context, id string) Envelope {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return Envelope{ID: id, Trace: carrier}
}

// Context returns a context with the trace context of the envelope.
func (e Envelope) Context() context.Context {
	return propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier(e.Trace))
}

// StartRequest asks an agent to admit and execute an attempt.
type StartRequest struct {
	Envelope

	Attempt     identifier.Attempt
	Incarnation identifier.Incarnation
	Issued      time.Time
	Timeout     time.Duration
	Call        executor.Call
}

// StartReply holds the verdict of the agent's gatekeeper.
type StartReply struct {
	Envelope

	Verdict gatekeeper.Verdict
}

// ReadRequest asks for the pieces of an answer after the first From ones. If there are none, the agent waits up to Wait
// for the next.
type ReadRequest struct {
	Envelope

	Attempt     identifier.Attempt
	Incarnation identifier.Incarnation
	From        int
	Wait        time.Duration
}

// ReadReply holds pieces of an answer. Known is false if the agent has no record of the attempt.
type ReadReply struct {
	Envelope

	Known bool
	Chunk streamer.Chunk
}

// SettleRequest asks for the state of an attempt. Issued is the value from its StartRequest.
type SettleRequest struct {
	Envelope

	Attempt     identifier.Attempt
	Incarnation identifier.Incarnation
	Issued      time.Time
}

// SettleReply holds the state of an attempt.
type SettleReply struct {
	Envelope

	Settlement gatekeeper.Settlement
}

// CancelRequest stops an attempt.
type CancelRequest struct {
	Envelope

	Attempt identifier.Attempt
}

// CancelReply confirms a CancelRequest.
type CancelReply struct {
	Envelope
}

// ReportRequest asks an agent for its report. It also serves as the connection's probe.
type ReportRequest struct {
	Envelope
}

// ReportReply is the report of an agent.
type ReportReply struct {
	Envelope

	Incarnation identifier.Incarnation
	Running     int
	Draining    bool
	Version     identifier.Version
	Release     identifier.Release
}

// PingRequest probes a connection.
type PingRequest struct{}

// PingReply answers a PingRequest.
type PingReply struct{}

// EvidenceMessage carries crash evidence between entries, as the request and as the reply.
type EvidenceMessage struct {
	Envelope

	Evidence isolator.Evidence
}
