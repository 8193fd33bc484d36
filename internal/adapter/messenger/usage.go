package messenger

import "github.com/mimosalb/mimosalb/internal/meter"

// UsageRequest is a meter's query to the agent that keeps its records.
type UsageRequest struct {
	Envelope

	Query meter.Query
}

// UsageReply answers a UsageRequest.
type UsageReply struct {
	Envelope

	Reply meter.Reply
}
