package messenger

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/tracker"
)

// SyncRequest tells a node's parent which documents the node has, and carries the reports of its subtree.
type SyncRequest struct {
	Envelope

	Node    identifier.Node
	Zone    identifier.Zone
	Address string
	// Wait is how long the parent may wait for an update before it replies.
	Wait time.Duration
	// Peer marks a comparison of digests with a node that is not the parent; it carries no reports.
	Peer   bool
	Known  [distributor.TopicCount]distributor.Known
	Census distributor.Census
	Rows   []tracker.Row
	Briefs []tracker.Brief
	// Loads asks for the digest of the zone; the reply omits the roster if it equals Roster.
	Loads  bool
	Roster tracker.Roster
	// Summaries holds the summaries that the parent may lack; Wanted asks for those that the node may lack.
	Summaries []tracker.Summary
	Wanted    bool
}

// SyncReply holds the updates that the node lacks.
type SyncReply struct {
	Envelope

	Updates []distributor.Update
	// Age is the time since the last proof of freshness; Proof is false if there is none.
	Age       time.Duration
	Proof     bool
	Root      distributor.Root
	Digest    tracker.Digest
	Summaries []tracker.Summary
	// Census is the census of the subtree below the replying node. Only a reply to a peer has it.
	Census distributor.Census
}
