package messenger

import "github.com/mimosalb/mimosalb/internal/collector"

// RunRequest passes a trainer's call to the owner of its run.
type RunRequest struct {
	Envelope

	Call collector.Call
}

// RunReply is the owner's answer.
type RunReply struct {
	Envelope

	Reply collector.Reply
}
