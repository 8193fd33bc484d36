package messenger

import (
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
)

// DrainRequest makes a target take no new work.
type DrainRequest struct {
	Envelope

	Fence identifier.Fence
	// Operator marks a drain that an operator asked for; it has no fencing number.
	Operator bool
}

// DrainReply tells whether the target is idle. Stale means that the fencing number was old and nothing was done.
type DrainReply struct {
	Envelope

	Stale bool
	Idle  bool
}

// EngineRequest is an order to the engine.
type EngineRequest struct {
	Envelope

	Order orderer.EngineOrder
}

// EngineReply is the outcome of an order to the engine.
type EngineReply struct {
	Envelope

	Outcome orderer.Outcome
}
