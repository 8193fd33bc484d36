package runner

import (
	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// ReceiveReports takes over the reports of a question. A node that has a later document is asked for it.
func (d *Distribution) ReceiveReports(q messenger.SyncRequest) {
	now := d.settings.Clock.Boot()
	if !q.Peer {
		d.heardFrom(q.Address)
		d.Relay.Report(q.Address, q.Census, now)
		if q.Zone == d.settings.Self.Zone {
			d.Assembler.AddRows(q.Rows, now)
			d.Assembler.AddBriefs(q.Briefs, now)
		}
		d.Assembler.Merge(q.Summaries)
	}
	if d.Relay.IsBehind(q.Known) {
		select {
		case d.pulls <- q.Address:
		default:
		}
	}
}

// Answer returns the answer to a question at present.
func (d *Distribution) Answer(q messenger.SyncRequest) (messenger.SyncReply, bool, <-chan struct{}) {
	now := d.settings.Clock.Boot()
	var reply messenger.SyncReply
	// The proof is read before the documents: they are then at least as new as it says.
	reply.Age, reply.Proof = d.Relay.Age(now)
	updates, changed := d.Relay.Updates(q.Known)
	some := len(updates) > 0
	reply.Updates, reply.Root = updates, d.Relay.Root()
	if q.Peer {
		reply.Census = d.Relay.Census(d.Layout().Children(d.settings.Self), now)
		return reply, some, changed
	}
	if q.Loads && q.Zone == d.settings.Self.Zone {
		reply.Digest = d.Assembler.Digest(q.Roster, now)
	}
	if q.Wanted {
		reply.Summaries = d.Assembler.Summaries(func(z identifier.Zone) bool { return z != q.Zone })
	}
	return reply, some, changed
}

// question returns the node's question to a parent.
func (d *Distribution) question(round int) messenger.SyncRequest {
	s := d.settings
	now := s.Clock.Boot()
	layout := d.Layout()
	known, _ := d.Relay.Known()
	q := messenger.SyncRequest{
		Envelope: messenger.Envelope{ID: string(s.Self.Node)},
		Node:     s.Self.Node, Zone: s.Self.Zone, Address: s.Self.Address, Wait: s.Period, Known: known,
		Census: d.Relay.Census(layout.Children(s.Self), now),
	}
	wanted := round%summaryRounds == 0
	if d.acting.Load() {
		if wanted {
			q.Wanted = true
			q.Summaries = d.Assembler.Summaries(d.ownRegion(layout))
		}
		return q
	}
	// A question that follows an update within the period carries no reports again.
	if d.reported > 0 && now-d.reported < s.Period/2 {
		return q
	}
	d.reported = now
	q.Rows, q.Briefs = d.Assembler.Forward(now, round)
	if s.Own == nil {
		q.Loads, q.Roster, q.Wanted = true, d.Assembler.Roster(), wanted
	}
	return q
}

// summaryRounds is how many questions apart summaries of other zones are exchanged. They guide only the share of work
// that leaves a zone, and every period they would take a third of a relay's traffic.
const summaryRounds = 5

// ownRegion accepts the zones whose summaries this node passes up: its own, and as the relay of a region all of it.
func (d *Distribution) ownRegion(layout distributor.Layout) func(identifier.Zone) bool {
	self := d.settings.Self
	whole := layout.Role(self) == distributor.RegionRelay
	return func(z identifier.Zone) bool {
		if z == self.Zone {
			return true
		}
		relay, ok := layout.Relay(z)
		return whole && ok && relay.Region == self.Region
	}
}
