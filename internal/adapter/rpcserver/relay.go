package rpcserver

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// maxSyncWait bounds how long a question may hold a call open.
const maxSyncWait = 10 * time.Second

// SyncHandler answers the questions of other nodes.
type SyncHandler interface {
	// ReceiveReports takes over the reports of a question.
	ReceiveReports(q messenger.SyncRequest)
	// Answer returns the answer at present, whether it holds an update, and a channel that is closed when there is more.
	Answer(q messenger.SyncRequest) (messenger.SyncReply, bool, <-chan struct{})
}

// Relay serves the relay tree under the name "Relay".
type Relay struct {
	exchange SyncHandler
	clock    timer.Service
}

// NewRelay returns the receiver for a node's exchange.
func NewRelay(x SyncHandler, clock timer.Service) *Relay { return &Relay{exchange: x, clock: clock} }

// Sync answers a question at once when there is an update, else when there is one or the wait is over.
func (r *Relay) Sync(args messenger.SyncRequest, reply *messenger.SyncReply) error {
	r.exchange.ReceiveReports(args)
	alarm := r.clock.After(min(args.Wait, maxSyncWait))
	defer alarm.Stop()
	for over := args.Wait <= 0; ; {
		answer, some, changed := r.exchange.Answer(args)
		if some || over {
			*reply = answer
			reply.Envelope = args.Envelope
			return nil
		}
		select {
		case <-changed:
		case <-alarm.C():
			over = true
		}
	}
}
