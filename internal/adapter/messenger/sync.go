package messenger

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/tracker"
)

// SyncRequest is a node's question to its parent: what it has, and the reports of its subtree.
type SyncRequest struct {
	Envelope

	Node    identifier.Node
	Zone    identifier.Zone
	Address string
	// Wait is how long the parent may wait for a change.
	Wait time.Duration
	// Peer marks a comparison of digests with a node that is not the parent; it carries no reports.
	Peer   bool
	Known  [distributor.TopicCount]distributor.Known
	Census distributor.Census
	Rows   []tracker.Row
	Briefs []tracker.Brief
	// Loads asks for the digest of the zone, without the roster if it is Roster.
	Loads  bool
	Roster tracker.Roster
	// Summaries are those that the parent may lack; Wanted asks for those that the node may lack.
	Summaries []tracker.Summary
	Wanted    bool
}

// SyncReply is what the node lacks.
type SyncReply struct {
	Envelope

	Updates []distributor.Update
	// Age is the time since the last proof of freshness, if there is one.
	Age       time.Duration
	Proof     bool
	Root      distributor.Root
	Digest    tracker.Digest
	Summaries []tracker.Summary
	// Census is that of the subtree below the node asked, in an answer to a peer.
	Census distributor.Census
}
