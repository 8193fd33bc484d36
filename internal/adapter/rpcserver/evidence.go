package rpcserver

import (
	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Evidence serves an entry's crash evidence under the name "Evidence".
type Evidence struct {
	isolator *isolator.Isolator
	clock    timer.Service
}

// NewEvidence returns the receiver for an entry's isolator.
func NewEvidence(i *isolator.Isolator, clock timer.Service) *Evidence {
	return &Evidence{isolator: i, clock: clock}
}

// Exchange takes over the caller's evidence and returns all that is known.
func (e *Evidence) Exchange(args messenger.EvidenceMessage, reply *messenger.EvidenceMessage) error {
	e.isolator.Merge(args.Evidence, e.clock.Now())
	reply.Envelope, reply.Evidence = args.Envelope, e.isolator.Evidence()
	return nil
}
