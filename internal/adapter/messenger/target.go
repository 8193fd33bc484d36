package messenger

import (
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
)

// DrainRequest makes a target admit no new attempts.
type DrainRequest struct {
	Envelope

	Fence identifier.Fence
	// Operator marks a drain that an operator asked for; it has no fencing number.
	Operator bool
}

// DrainReply reports whether the target is idle. Stale means that the fencing number was old and nothing was done.
type DrainReply struct {
	Envelope

	Stale bool
	Idle  bool
}

// EngineRequest sends an order to the engine.
type EngineRequest struct {
	Envelope

	Order orderer.EngineOrder
}

// EngineReply holds the outcome of an order to the engine.
type EngineReply struct {
	Envelope

	Outcome orderer.Outcome
}
