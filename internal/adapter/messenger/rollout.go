package messenger

import "github.com/mimosalb/mimosalb/internal/collector"

// RunRequest forwards a trainer's call to the entry that owns its run.
type RunRequest struct {
	Envelope

	Call collector.Call
}

// RunReply answers a RunRequest.
type RunReply struct {
	Envelope

	Reply collector.Reply
}
