package rpcserver

import (
	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Evidence is the net/rpc receiver "Evidence": it exchanges crash evidence with other entries.
type Evidence struct {
	isolator *isolator.Isolator
	clock    timer.Service
}

// NewEvidence returns the receiver that exchanges the evidence of i.
func NewEvidence(i *isolator.Isolator, clock timer.Service) *Evidence {
	return &Evidence{isolator: i, clock: clock}
}

// Exchange merges the caller's evidence and returns all evidence of this entry.
func (e *Evidence) Exchange(args messenger.EvidenceMessage, reply *messenger.EvidenceMessage) error {
	e.isolator.Merge(args.Evidence, e.clock.Now())
	reply.Envelope, reply.Evidence = args.Envelope, e.isolator.Evidence()
	return nil
}
