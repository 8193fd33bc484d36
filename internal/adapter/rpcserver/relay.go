package rpcserver

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// maxSyncWait limits how long Sync waits for an update before it replies.
const maxSyncWait = 10 * time.Second

// SyncHandler processes the sync requests of other nodes.
type SyncHandler interface {
	// ReceiveReports stores the reports that a sync request carries.
	ReceiveReports(q messenger.SyncRequest)
	// Answer returns the current reply, whether it holds an update, and a channel that is closed at the next change.
	Answer(q messenger.SyncRequest) (messenger.SyncReply, bool, <-chan struct{})
}

// Relay is the net/rpc receiver "Relay": it answers the sync requests of the relay tree.
type Relay struct {
	handler SyncHandler
	clock   timer.Service
}

// NewRelay returns the receiver that passes sync requests to h.
func NewRelay(h SyncHandler, clock timer.Service) *Relay { return &Relay{handler: h, clock: clock} }

// Sync replies as soon as there is an update, or without one when the requested wait has passed.
func (r *Relay) Sync(args messenger.SyncRequest, reply *messenger.SyncReply) error {
	r.handler.ReceiveReports(args)
	expiry := r.clock.After(min(args.Wait, maxSyncWait))
	defer expiry.Stop()
	for expired := args.Wait <= 0; ; {
		answer, updated, changed := r.handler.Answer(args)
		if updated || expired {
			*reply = answer
			reply.Envelope = args.Envelope
			return nil
		}
		select {
		case <-changed:
		case <-expiry.C():
			expired = true
		}
	}
}
